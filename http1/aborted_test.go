package http1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/http1"
)

// unframedHead and unframedBody are an answer that ends with its connection.
const (
	unframedHead = "HTTP/1.1 200 OK\r\n\r\n"
	unframedBody = "part"
)

// ending ends a connection on which an answer was sent, with the request unread.
type ending struct {
	name string
	end  func(*net.TCPConn)
	// whole is true if the connection ends in order.
	whole bool
}

func endings() []ending {
	return []ending{
		{"reset", func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, false},
		{"close", func(c *net.TCPConn) { _ = c.Close() }, false},
		{"close of the sending side, then reset", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
			_ = c.Close()
		}, true},
	}
}

// listenUnread accepts connections, sends an answer on each of them once a request begins, and lets
// end close them.
func listenUnread(t *testing.T, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, unframedHead+unframedBody)
				if tcp, ok := conn.(*net.TCPConn); ok {
					end(tcp)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// dialTCP connects to a server of listenUnread.
func dialTCP(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("connection of type %T", conn)
	}
	return tcp
}

// writeUntilError writes until the connection fails, however much the sockets buffer.
func writeUntilError(w io.Writer) error {
	for p := make([]byte, 64<<10); ; {
		if _, err := w.Write(p); err != nil {
			return err //nolint:wrapcheck // The test looks at the error itself.
		}
	}
}

// expectEnd fails the test if an answer was not cut though its connection was aborted, or the reverse.
func expectEnd(t *testing.T, body string, err error, whole bool) {
	t.Helper()
	switch {
	case whole && (err != nil || body != unframedBody):
		t.Errorf("body %q, error %v; want a whole answer", body, err)
	case !whole && !errors.Is(err, http1.ErrAborted):
		t.Errorf("body %q, error %v; want %v", body, err, http1.ErrAborted)
	}
}

// TestResetDuringWrite checks that a read does not take a connection for closed in order whose reset
// a write has received.
func TestResetDuringWrite(t *testing.T) {
	for _, tc := range endings() {
		t.Run(tc.name, func(t *testing.T) {
			conn := http1.NewConn(dialTCP(t, listenUnread(t, tc.end)))
			t.Logf("write: %v", writeUntilError(conn))
			answer, err := io.ReadAll(conn)
			expectEnd(t, string(answer[min(len(unframedHead), len(answer)):]), err, tc.whole)
		})
	}
}

// lateConn is a connection on which a write receives the error, and returns it only after a read has
// found the end of the connection.
type lateConn struct {
	*net.TCPConn
	// left is the number of bytes that are read before the write has failed.
	left          int
	failed, ended chan struct{}
	failOnce      sync.Once
	endOnce       sync.Once
}

func newLateConn(conn *net.TCPConn) *lateConn {
	return &lateConn{TCPConn: conn, left: len(unframedHead + unframedBody), failed: make(chan struct{}), ended: make(chan struct{})}
}

func (c *lateConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.failOnce.Do(func() { close(c.failed) })
		<-c.ended
	}
	return n, err //nolint:wrapcheck // A Conn looks at the error itself.
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		<-c.failed
	}
	n, err := c.TCPConn.Read(p)
	c.left -= n
	if err != nil {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err //nolint:wrapcheck // A Conn looks at the error itself.
}

// endlessBody is a request body without end.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// postEndless sends a request without end on the connection and returns the body of its answer.
func postEndless(t *testing.T, address string, conn net.Conn) (string, error) {
	t.Helper()
	transport := http1.NewTransport(&http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	})
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Post("http://"+address, "", endlessBody{})
	if err != nil {
		return "", err //nolint:wrapcheck // The test looks at the error itself.
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err //nolint:wrapcheck // The test looks at the error itself.
}

// TestWriteReturnsAfterRead checks that an answer is cut by a reset also if a read finds the end of
// the connection before the write that has received the error returns it.
func TestWriteReturnsAfterRead(t *testing.T) {
	for _, tc := range endings() {
		t.Run(tc.name, func(t *testing.T) {
			address := listenUnread(t, tc.end)
			body, err := postEndless(t, address, newLateConn(dialTCP(t, address)))
			expectEnd(t, body, err, tc.whole)
		})
	}
}

// TestUnreadRequest checks that an answer whose connection was closed in order is whole while the
// request is still written, and that the write ends.
func TestUnreadRequest(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	end := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-stop
		_ = c.Close()
	}
	address := listenUnread(t, end)
	body, err := postEndless(t, address, dialTCP(t, address))
	expectEnd(t, body, err, true)

	conn, written := http1.NewConn(dialTCP(t, address)), make(chan error, 1)
	go func() { written <- writeUntilError(conn) }()
	answer, err := io.ReadAll(conn)
	expectEnd(t, string(answer[min(len(unframedHead), len(answer)):]), err, true)
	_ = conn.Close()
	if err := <-written; err == nil {
		t.Error("the write did not end")
	}
}

// failedConn is a connection whose write receives an error, after which reads find its end.
type failedConn struct {
	net.Conn
	err error
}

func (c failedConn) Write([]byte) (int, error) { return 0, c.err }
func (failedConn) Read([]byte) (int, error)    { return 0, io.EOF }

// TestErrorsOfWrites checks which errors of a write show that a connection was aborted.
func TestErrorsOfWrites(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want error
	}{
		{"none", nil, io.EOF},
		{"reset", syscall.ECONNRESET, http1.ErrAborted},
		{"bytes not acknowledged", syscall.ETIMEDOUT, http1.ErrAborted},
		{"no route", syscall.EHOSTUNREACH, http1.ErrAborted},
		{"wrapped", &net.OpError{Op: "write", Err: syscall.ECONNRESET}, http1.ErrAborted},
		{"reset behind a regular close", &net.OpError{Op: "write", Err: syscall.EPIPE}, io.EOF},
		{"closed on this side", net.ErrClosed, io.EOF},
		{"deadline", os.ErrDeadlineExceeded, io.EOF},
	} {
		conn := http1.NewConn(failedConn{err: tc.err})
		_, _ = conn.Write([]byte("request"))
		for range 2 {
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, tc.want) {
				t.Errorf("%s: error %v, want %v", tc.name, err, tc.want)
			}
		}
	}
}
