package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/http1"
)

// TestTransport checks that many answers on one connection pass, also if a server answers before it
// has read the whole body, and that a malformed head ends a connection.
func TestTransport(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/malformed" {
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 0\r\n\r\n")
			_, _ = buffered.ReadByte()
			_ = conn.Close()
			return
		}
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, " early : \r\n")
		_, _ = io.Copy(w, r.Body)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	transport := http1.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	body := strings.Repeat("a b\r\n", 20_000)
	for range 10 {
		resp, err := client.Post(server.URL, "", bufio.NewReader(strings.NewReader(body)))
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(data) != " early : \r\n"+body {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections for requests one after another", n)
	}
	resp, err := client.Post(server.URL+"/malformed", "", nil)
	if !errors.Is(err, http1.ErrHead) {
		t.Errorf("malformed head: %+v, %v", resp, err)
	}
	if err == nil {
		_ = resp.Body.Close()
	}
}
