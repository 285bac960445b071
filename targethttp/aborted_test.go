package targethttp_test

import (
	"io"
	"net"
	"slices"
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
	// abortDelay is how long a target waits between every second answer and the end of the connection.
	abortDelay = 5 * time.Millisecond
)

// unframedHeads are the heads of answers without a length.
var unframedHeads = []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n"}

// answerUnread answers requests without a length and lets end close the connections. Most of the head
// stays unread, so that a close resets the connection. It waits before every second end.
func answerUnread(end func(net.Conn)) func(int, net.Conn) {
	return func(n int, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, unframedHeads[n%len(unframedHeads)]+"\r\nok")
		time.Sleep(time.Duration(n%2) * abortDelay)
		end(c)
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
		// reasons are the reasons that the outcome may have: a reset may come before the answer.
		reasons []string
	}{
		{"reset", reset, wire.OutcomeUnknown, []string{targethttp.ReasonCut, targethttp.ReasonLost}},
		{"close", func(c net.Conn) { _ = c.Close() }, wire.OutcomeUnknown, []string{targethttp.ReasonCut, targethttp.ReasonLost}},
		{"end in order", func(c net.Conn) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			_, _ = io.Copy(io.Discard, c)
		}, wire.OutcomeAnswered, []string{""}},
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
				if response.Outcome != tc.outcome || !slices.Contains(tc.reasons, response.Reason) {
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

// TestUnframedReportIsNone checks that a target's health, load and reply to a grant are not taken from
// an answer without a length, however its connection ends.
func TestUnframedReportIsNone(t *testing.T) {
	for _, head := range unframedHeads {
		text := head + "\r\n{}"
		for _, path := range []string{targethttp.HealthPath, targethttp.LoadPath} {
			if status, err := newReporter(t, path, text).Status(t.Context()); err == nil {
				t.Errorf("%s, %q: status %+v", path, head, status)
			}
		}
		if reply, err := newReporter(t, targethttp.GrantPath, text).PushGrant(t.Context(), targethttp.Grant{}); err == nil {
			t.Errorf("grant, %q: reply %+v", head, reply)
		}
	}
}
