package operator_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/operator"
)

// newRawClient returns a client of a daemon that reads a request on each connection and then lets
// the function answer.
func newRawClient(t *testing.T, answer func(net.Conn)) *operator.Client {
	t.Helper()
	return newClientOf(t, func(conn net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			answer(conn)
		}
	})
}

// newClientOf returns a client of a daemon that serves each connection by the function.
func newClientOf(t *testing.T, serve func(net.Conn)) *operator.Client {
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
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return operator.NewClient(netip.MustParseAddrPort(l.Addr().String()))
}

// TestBrokenAnswerOfDaemon checks that the operators' commands take nothing from an answer with a
// broken head: what was asked for may have been done.
func TestBrokenAnswerOfDaemon(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Odd : 1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n X-Odd: 1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-\x01Odd: 1\r\n",
	} {
		client := newRawClient(t, func(conn net.Conn) { _, _ = io.WriteString(conn, head+"\r\n{}") })
		if reply, err := client.Apply(t.Context(), operator.ApplyRequest{}); !errors.Is(err, operator.ErrUnreachable) {
			t.Errorf("%q: reply %+v, error %v", head, reply, err)
		}
		if err := client.Leave(t.Context()); !errors.Is(err, operator.ErrUnreachable) {
			t.Errorf("%q: leave: %v", head, err)
		}
	}
}
