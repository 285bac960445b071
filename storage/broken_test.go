package storage_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/storage"
)

// listenRaw serves each connection by the function.
func listenRaw(t *testing.T, serve func(net.Conn)) netip.AddrPort {
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
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestBrokenAnswerOfStore checks that nothing is taken from an answer of the store with a broken
// head, that its call may have been done, and that its connection serves no other call.
func TestBrokenAnswerOfStore(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nStore-Era: 9\r\nContent-Length: 2\r\n",
		"HTTP/1.1 700 OK\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\nContent-Length: 2\r\n",
		"HTTP/1.1 412 Changed\r\nContent-Length: 2\r\nX-Odd : 1\r\n",
		"HTTP/1.1 404 Missing\r\nX Odd: 1\r\nContent-Length: 2\r\n",
		"HTTP/1.1 400 Bad\r\nContent-Length: 2\r\n X-Odd: 1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Odd\t: 1\r\n",
	} {
		reused := make(chan bool, 1)
		address := listenRaw(t, func(conn net.Conn) {
			in := bufio.NewReader(conn)
			if r, err := http.ReadRequest(in); err != nil {
				return
			} else if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			_, _ = io.WriteString(conn, head+"\r\n{}")
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err := http.ReadRequest(in)
			reused <- err == nil
		})
		exchange := storage.NewExchange(address)
		if reply, err := exchange.Do(t.Context(), http.MethodPost, "/x", nil, "", []byte("{}")); !errors.Is(err, storage.ErrUnavailable) {
			t.Errorf("%q: reply %+v, error %v", head, reply, err)
		}
		if _, err := exchange.Do(t.Context(), http.MethodPost, "/x", nil, "", []byte("{}")); !errors.Is(err, storage.ErrUnavailable) {
			t.Errorf("%q: second call: %v", head, err)
		}
		if <-reused {
			t.Errorf("%q: the connection served another call", head)
		}
		if _, err := storage.NewHTTP(address).Transact(t.Context(), storage.Transaction{}); !errors.Is(err, storage.ErrUnavailable) {
			t.Errorf("%q: transaction: %v", head, err)
		}
	}
}
