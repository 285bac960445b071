package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
)

// WithWrongHeadEnd takes each head to end at the first empty line with CR, unlike net/http,
// to which the first empty line is the end.
func WithWrongHeadEnd() Option {
	return func(s *settings) {
		s.read = func(data []byte) (head, verdict) {
			at := bytes.Index(data, []byte("\r\n\r\n"))
			if at < 0 {
				return head{}, partial
			}
			size := at + len("\r\n\r\n")
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data[:size])))
			if err != nil {
				return head{}, odd
			}
			return head{request: r, size: int64(size)}, whole
		}
	}
}

// WithoutRequestComparison gives a begun request's answer to whichever request comes next.
func WithoutRequestComparison() Option {
	return func(s *settings) { s.same = func(_, _ *http.Request) bool { return true } }
}
