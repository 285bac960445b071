package targethttp

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"fulmarrun/http1"
)

var (
	errFinished  = errors.New("write after the end of the request")
	errEarlyData = errors.New("target sent data before the request was written")
	errReplay    = errors.New("request was already sent on another connection")
	errRefusedID = errors.New("target has already refused the request on this connection")
)

// maxRefusals is the number of refusals after which a connection is used no more.
const maxRefusals = 64

// attempt tracks what one request writes to the network. Only the connection that the
// transport assigned last may write, and none may after another one wrote a byte.
type attempt struct {
	mu sync.Mutex
	// id is the ID of the request.
	id string
	// sendCheck is called once, right before the first byte is written. checkErr is its
	// error.
	sendCheck func() error
	checked   bool
	// conn is the connection that the transport assigned to the request.
	conn   *conn
	reused bool
	// writing is true during a write, wrote after a write of at least one byte. No write
	// is allowed once sealed is true.
	writing  bool
	wrote    bool
	sealed   bool
	checkErr error
	// received is true once bytes have arrived from the network after the first write.
	received bool
	// crossed is true if the answer starts with bytes that arrived before the request
	// was written.
	crossed bool
	// headErr is the error of an answer with a malformed head.
	headErr error
}

// assignConn notes that the transport assigned c to the request. It reports false for
// a replay, that is if another connection may have written a byte already.
func (a *attempt) assignConn(c *conn, reused bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wrote || a.writing {
		a.sealed = true
	}
	a.conn, a.reused = c, reused
	return !a.sealed
}

// beforeWrite is called before each write on c. It returns an error if the request must
// not be written.
func (a *attempt) beforeWrite(c *conn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return errFinished
	}
	if a.conn != c {
		return errReplay
	}
	if !a.checked && a.sendCheck != nil {
		a.checked = true
		if err := a.sendCheck(); err != nil {
			a.checkErr, a.sealed = err, true
			return err
		}
	}
	a.writing = true
	return nil
}

// afterWrite is called after a write of n bytes.
func (a *attempt) afterWrite(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	a.wrote = a.wrote || n > 0
}

// seal forbids further writes and reports whether a byte may have been written.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.wrote || a.writing
}

// noteReceived notes that bytes arrived from the network. It reports false if nothing
// of the request was written before.
func (a *attempt) noteReceived() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.wrote && !a.writing {
		return false
	}
	a.received = true
	return true
}

// noteAnswerStart notes that the transport read the first byte of the answer. If no
// byte has arrived from the network since the request was written, that byte is left
// over from an earlier request.
func (a *attempt) noteAnswerStart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crossed = a.crossed || !a.received
}

// isCrossed reports whether the answer belongs to an earlier request.
func (a *attempt) isCrossed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crossed
}

// noteHeadError notes that the head of the answer is malformed.
func (a *attempt) noteHeadError(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.headErr = err
}

// headError returns the error of an answer with a malformed head; nil if there was none.
func (a *attempt) headError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.headErr
}

// closeConn closes the connection, whose answers no longer match its requests.
func (a *attempt) closeConn() {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// noteRefusal notes that the target refused the request. A later copy of that refusal on the same
// connection could not be told from the answer to a repetition of the request.
func (a *attempt) noteRefusal() {
	a.mu.Lock()
	c, id := a.conn, a.id
	a.mu.Unlock()
	if c != nil && !c.addRefusal(id) {
		_ = c.Close()
	}
}

// conn is a connection whose writes belong to one attempt at a time.
type conn struct {
	*http1.Conn
	mu      sync.Mutex
	attempt *attempt
	// refused are the IDs of the requests that the target refused on the connection.
	refused []string
}

// addRefusal records a request that was refused, and reports whether there is room for more.
func (c *conn) addRefusal(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, id)
	return len(c.refused) < maxRefusals
}

// hasRefused reports whether the target refused a request with the ID on the connection.
func (c *conn) hasRefused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.refused, id)
}

// setAttempt makes a the attempt that may write to the connection.
func (c *conn) setAttempt(a *attempt) {
	c.ExpectAnswer()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = a
}

// Read rejects data that the target sends before the current request was written, since
// it belongs to an earlier request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	a := c.attempt
	c.mu.Unlock()
	if n > 0 && (a == nil || !a.noteReceived()) {
		return 0, errEarlyData
	}
	if a != nil && errors.Is(err, http1.ErrHead) {
		a.noteHeadError(err)
	}
	return n, err
}

// Write writes p if the attempt allows it.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	a := c.attempt
	c.mu.Unlock()
	if a == nil {
		return 0, errFinished
	}
	if err := a.beforeWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	a.afterWrite(n)
	return n, err
}
