package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
)

// WithWrongHeadEnd makes each head end at the first empty line with CR, whereas it ends
// at the first empty line with or without CR for net/http.
func WithWrongHeadEnd() Option {
	return func(s *settings) {
		s.read = func(data []byte) (head, headStatus) {
			at := bytes.Index(data, []byte("\r\n\r\n"))
			if at < 0 {
				return head{}, incomplete
			}
			size := at + len("\r\n\r\n")
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data[:size])))
			if err != nil {
				return head{}, unsupported
			}
			return head{request: r, size: int64(size)}, complete
		}
	}
}

// WithoutRequestComparison sends the answer of a request that was started early to
// whichever request net/http serves next.
func WithoutRequestComparison() Option {
	return func(s *settings) { s.sameRequest = func(_, _ *http.Request) bool { return true } }
}
