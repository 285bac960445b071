// Package tcp opens connections that notice when the other side has gone: a machine
// without power, one behind a partition, or a connection that has been forgotten on
// the way answers nothing, and only a time-out shows it.
//
// # Usage
//
//	dialer := tcp.NewDialer(time.Second)
//	conn, err := dialer.DialContext(ctx, "tcp", address)
//
//	conn, err := listener.Accept()
//	tcp.SetTimeouts(conn)
//	if tcp.ClosedByPeer(conn) { ... }
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// idleProbe is how long a connection is quiet before the other side is asked
	// whether it is there, probeInterval is the time between two questions, and
	// probeCount how many go unanswered before the connection is given up.
	idleProbe     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is how long sent bytes may stay unacknowledged; it is as long as
	// the probes of a quiet connection take.
	userTimeout = 3 * time.Second
)

// PeerAckTimeout is how long bytes to another daemon may stay unacknowledged. Daemons are
// near each other, and each request that goes to one without power is lost; a second and
// a half leaves room for three lost packets in a row.
const PeerAckTimeout = 1500 * time.Millisecond

// Option configures a connection.
type Option func(*options)

type options struct {
	silence time.Duration
}

// WithAckTimeout is a functional option that sets how long sent bytes may stay
// unacknowledged before the connection ends.
func WithAckTimeout(d time.Duration) Option {
	return func(o *options) { o.silence = d }
}

func newOptions(opts []Option) options {
	o := options{silence: userTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idleProbe, Interval: probeInterval, Count: probeCount}
}

// NewDialer returns a dialer that gives up after the timeout, and whose connections
// end a few seconds after the other side has gone silent.
func NewDialer(timeout time.Duration, opts ...Option) *net.Dialer {
	o := newOptions(opts)
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: o.control}
}

func (o options) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = o.setUserTimeout(int(fd)) })
	if err != nil {
		return err //nolint:wrapcheck // The dialer wraps it.
	}
	return failed
}

func (o options) setUserTimeout(fd int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.silence.Milliseconds()))
}

// SetTimeouts has an accepted connection end a few seconds after the other side has gone
// silent. A connection that is not TCP is left as it is.
func SetTimeouts(conn net.Conn, opts ...Option) {
	o := newOptions(opts)
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	// A connection that has just ended takes no options; its reader sees that.
	_ = c.SetKeepAliveConfig(keepAlive())
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = o.setUserTimeout(int(fd)) })
	}
}

// ClosedByPeer tells whether the other side has closed the connection or broken it off. It
// does not wait, and takes nothing that has arrived.
func ClosedByPeer(conn net.Conn) bool {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		broken := errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.ETIMEDOUT)
		gone = broken || err == nil && n == 0
	})
	return gone || err != nil
}
