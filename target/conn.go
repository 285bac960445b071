package target

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

var (
	errSealed = errors.New("the request is over")
	errReplay = errors.New("the request was sent before on another connection")
)

// attempt follows one request to the network. Only the connection that was got
// last may write, and none after a byte went out on another.
type attempt struct {
	mu sync.Mutex
	// check is asked once, right before the first byte is written.
	check   func() error
	checked bool
	// conn is the connection that the request uses.
	conn   *conn
	reused bool
	// writing is true during a write; wrote after one that moved any byte.
	writing bool
	wrote   bool
	sealed  bool
	refusal error
}

// use notes that the request goes to c. It reports false for a replay.
func (a *attempt) use(c *conn, reused bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wrote || a.writing {
		a.sealed = true
	}
	a.conn, a.reused = c, reused
	return !a.sealed
}

// open is called before a write on c.
func (a *attempt) open(c *conn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return errSealed
	}
	if a.conn != c {
		return errReplay
	}
	if !a.checked && a.check != nil {
		a.checked = true
		if err := a.check(); err != nil {
			a.refusal, a.sealed = err, true
			return err
		}
	}
	a.writing = true
	return nil
}

// shut is called after a write that moved n bytes.
func (a *attempt) shut(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	a.wrote = a.wrote || n > 0
}

// seal forbids any further write and reports whether a byte can have gone out.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.wrote || a.writing
}

// conn is a connection whose writes belong to one attempt at a time.
type conn struct {
	net.Conn
	mu      sync.Mutex
	attempt *attempt
}

func (c *conn) begin(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = a
}

// Write passes p on while the attempt allows it.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	a := c.attempt
	c.mu.Unlock()
	if a == nil {
		return 0, errSealed
	}
	if err := a.open(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	a.shut(n)
	return n, err
}
