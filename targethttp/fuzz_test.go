package targethttp_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// FuzzAnswer answers a request with any bytes and ends the connection. What is passed on
// must be what net/http reads there: the whole of the first final answer.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + whole + whole))
	f.Add([]byte(chunkedHead + "2;a=b\r\nok\r\n0\r\nT: x\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nIdempotency-Key: other\r\n\r\nok"))
	var text atomic.Pointer[[]byte]
	address := scripted(f, func(_ int, c net.Conn) {
		if readRequest(c) {
			_, _ = c.Write(*text.Load())
		}
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		text.Store(&data)
		client := targethttp.NewClient(targethttp.WithMaxBody(1 << 16))
		defer client.Close()
		client.SetDestination(targethttp.Destination{Address: address})
		resp, err := client.Do(t.Context(), booking(), targethttp.Fence{})
		if (err == nil) != (resp.Outcome == wire.OutcomeAnswered) {
			t.Fatalf("outcome %v, error %v", resp.Outcome, err)
		}
		if resp.Outcome == wire.OutcomeNotRun {
			t.Fatalf("a request that was read is said not to have run: %v", err)
		}
		if err != nil {
			return
		}
		status, body, ok := first(data)
		if !ok || status != int(resp.Status) || !bytes.Equal(body, resp.Body) {
			t.Fatalf("%q is passed on as %d %q", data, resp.Status, resp.Body)
		}
	})
}

// first returns the first final answer in data; ok is false if it is not whole.
func first(data []byte) (status int, body []byte, ok bool) {
	in := bufio.NewReader(bytes.NewReader(data))
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, nil, false
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, body, err == nil
	}
}
