// Package tcp opens connections that detect when the other side is gone. A machine
// without power, a machine behind a partition, or a connection whose state was lost in
// the network sends no reply, so that only a time-out detects it.
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
	// keepAliveIdle is how long a connection is idle before the kernel sends the first
	// keep-alive probe, keepAliveInterval is the time between two probes, and
	// keepAliveCount is how many probes go unanswered before the connection is closed.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultAckTimeout is how long sent bytes may stay unacknowledged. It equals the time
	// that the probes of an idle connection take.
	defaultAckTimeout = 3 * time.Second
)

// PeerAckTimeout is how long bytes sent to another daemon may stay unacknowledged.
// Daemons are close to each other, and each request that is sent to a machine without
// power is lost; 1.5 seconds allow for three lost packets in a row.
const PeerAckTimeout = 1500 * time.Millisecond

// Option configures a connection.
type Option func(*options)

type options struct {
	ackTimeout time.Duration
}

// WithAckTimeout is a functional option that sets how long sent bytes may stay
// unacknowledged before the connection is closed.
func WithAckTimeout(d time.Duration) Option {
	return func(o *options) { o.ackTimeout = d }
}

func newOptions(opts []Option) options {
	o := options{ackTimeout: defaultAckTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// NewDialer returns a dialer that gives up after the timeout. Its connections are
// closed a few seconds after the other side has stopped responding.
func NewDialer(timeout time.Duration, opts ...Option) *net.Dialer {
	o := newOptions(opts)
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: o.control}
}

func (o options) control(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) { setErr = o.setAckTimeout(int(fd)) })
	if err != nil {
		return err //nolint:wrapcheck // The dialer wraps it.
	}
	return setErr
}

func (o options) setAckTimeout(fd int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.ackTimeout.Milliseconds()))
}

// SetTimeouts makes an accepted connection close a few seconds after the other side has
// stopped responding. It does nothing for a connection that is not TCP.
func SetTimeouts(conn net.Conn, opts ...Option) {
	o := newOptions(opts)
	c, ok := unwrap(conn)
	if !ok {
		return
	}
	// Setting options fails on a connection that has just been closed. The error is
	// ignored, since a read reports the close.
	_ = c.SetKeepAliveConfig(keepAliveConfig())
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = o.setAckTimeout(int(fd)) })
	}
}

// ClosedByPeer reports whether the other side has closed or reset the connection, or it
// has timed out. It does not block and does not consume received bytes.
func ClosedByPeer(conn net.Conn) bool {
	c, ok := unwrap(conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		broken := errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.ETIMEDOUT)
		closed = broken || err == nil && n == 0
	})
	return closed || err != nil
}

// unwrap returns the TCP connection within a connection. It reports false if there is none.
func unwrap(conn net.Conn) (*net.TCPConn, bool) {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			c, ok := conn.(*net.TCPConn)
			return c, ok
		}
		conn = wrapper.NetConn()
	}
}
