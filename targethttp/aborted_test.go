package targethttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/http1"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// abortedTries is how often a target resets the connection of an upload, as the error is received
	// by a write in some of them only.
	abortedTries = 20
	// abortDelay is how long a target waits between its answer and the end of the connection.
	abortDelay = 5 * time.Millisecond
)

// answerUnread answers a request of which it has read only the head, without a length, and lets end
// close the connection.
func answerUnread(end func(net.Conn)) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
			time.Sleep(abortDelay)
			end(c)
		}
	}
}

// TestResetDuringUpload checks that an answer without a length is cut if the target resets the
// connection while the request is written, and whole if the target closes its sending side.
func TestResetDuringUpload(t *testing.T) {
	dialect := targethttp.NewDialect()
	dialect.AllowUnframed = true
	for _, tc := range []struct {
		name    string
		end     func(net.Conn)
		outcome wire.Outcome
		reason  string
	}{
		{"reset", reset, wire.OutcomeUnknown, targethttp.ReasonCut},
		{"close", func(c net.Conn) { _ = c.Close() }, wire.OutcomeUnknown, targethttp.ReasonCut},
		{"end in order", func(c net.Conn) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			_, _ = io.Copy(io.Discard, c)
		}, wire.OutcomeAnswered, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := targethttp.NewClient(targethttp.WithDialect(dialect))
			defer client.Close()
			client.SetDestination(targethttp.Destination{Address: listen(t, answerUnread(tc.end))})
			aborted := 0
			for range abortedTries {
				request := newRequest()
				request.Body = make([]byte, 16<<20)
				response, err := client.Do(t.Context(), request, targethttp.Fence{})
				if response.Outcome != tc.outcome || response.Reason != tc.reason {
					t.Errorf("outcome %v, reason %q, body %q, error %v", response.Outcome, response.Reason, response.Body, err)
				}
				if errors.Is(err, http1.ErrAborted) {
					aborted++
				}
			}
			t.Logf("%d of %d errors were received by a write", aborted, abortedTries)
		})
	}
}
