package targethttp_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http/httpguts"

	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// FuzzAnswer answers a request with arbitrary bytes and closes the connection. The client
// must pass on exactly what net/http reads there: the complete first final answer, with a status and
// field names that HTTP allows.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okAnswer + okAnswer))
	f.Add([]byte(chunkedHead + "2;a=b\r\nok\r\n0\r\nT: x\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nIdempotency-Key: other\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok"))
	var text atomic.Pointer[[]byte]
	address := listen(f, func(_ int, c net.Conn) {
		if readRequest(c) {
			_, _ = c.Write(*text.Load())
		}
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		text.Store(&data)
		client := targethttp.NewClient(targethttp.WithMaxBody(1 << 16))
		defer client.Close()
		client.SetDestination(targethttp.Destination{Address: address})
		resp, err := client.Do(t.Context(), newRequest(), targethttp.Fence{})
		if (err == nil) != (resp.Outcome == wire.OutcomeAnswered) {
			t.Fatalf("outcome %v, error %v", resp.Outcome, err)
		}
		if resp.Outcome == wire.OutcomeNotRun {
			t.Fatalf("a request that the target read is reported as not run: %v", err)
		}
		if err != nil {
			return
		}
		status, body, ok := firstAnswer(data)
		if !ok || status != int(resp.Status) || !bytes.Equal(body, resp.Body) {
			t.Fatalf("answer %q was passed on as status %d, body %q", data, resp.Status, resp.Body)
		}
		if status < 200 || status > 599 {
			t.Fatalf("status %d was passed on", status)
		}
		for _, h := range resp.Headers {
			if !httpguts.ValidHeaderFieldName(h.Name) {
				t.Fatalf("field name %q was passed on", h.Name)
			}
		}
	})
}

// firstAnswer returns the first final answer in data; ok is false if it is not complete.
func firstAnswer(data []byte) (status int, body []byte, ok bool) {
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
