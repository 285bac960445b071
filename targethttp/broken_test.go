package targethttp_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/http1"
	"fulmarrun/targethttp"
)

// brokenReports are health reports, reports of load and replies to grants with a broken head.
var brokenReports = []string{
	"HTTP/1.1 503 Ill\r\nContent-Length: 2\r\nX-Odd : 1\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 7\r\n\r\n2\r\n{}\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n X-Odd: 1\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-O\tdd: 1\r\n\r\n{}",
	"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 700 Ill\r\nContent-Length: 2\r\n\r\n{}",
}

// newReporter returns a client of a target that answers the request for a path with the text, and
// other requests with an empty report.
func newReporter(t *testing.T, path, text string) *targethttp.Client {
	t.Helper()
	client := targethttp.NewClient()
	t.Cleanup(client.Close)
	client.SetDestination(targethttp.Destination{ChecksFences: true, Address: listen(t, func(_ int, c net.Conn) {
		head := make([]byte, 1<<10)
		for {
			n, err := c.Read(head)
			if err != nil {
				return
			}
			report := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
			if strings.Contains(string(head[:n]), " "+path+" ") {
				report = text
			}
			if _, err := io.WriteString(c, report); err != nil {
				return
			}
		}
	})})
	return client
}

// TestBrokenReportIsNone checks that a target's health, load and reply to a grant are not taken
// from an answer with a broken head.
func TestBrokenReportIsNone(t *testing.T) {
	for _, text := range brokenReports {
		for _, path := range []string{targethttp.HealthPath, targethttp.LoadPath} {
			if status, err := newReporter(t, path, text).Status(t.Context()); !errors.Is(err, http1.ErrHead) {
				t.Errorf("%s, %q: status %+v, error %v", path, text, status, err)
			}
		}
		if reply, err := newReporter(t, targethttp.GrantPath, text).PushGrant(t.Context(), targethttp.Grant{}); !errors.Is(err, http1.ErrHead) {
			t.Errorf("grant, %q: reply %+v, error %v", text, reply, err)
		}
	}
}
