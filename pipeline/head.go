package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// head is the head of a request.
type head struct {
	request *http.Request
	// size is the length of the whole request, with its body, in bytes.
	size int64
	// body tells whether it has one.
	body bool
	// last tells that the caller sends nothing behind it.
	last bool
}

// verdict is what the beginning of some bytes is.
type verdict uint8

const (
	// partial is a head that may be whole once more has arrived.
	partial verdict = iota
	// whole is a head.
	whole
	// odd is what is left to net/http.
	odd
)

// readHead reads the head at the start of data.
func readHead(data []byte) (head, verdict) {
	size, v := endOfHead(data)
	if v != whole {
		return head{}, v
	}
	h, ok := parseHead(data[:size])
	if !ok {
		return head{}, odd
	}
	return h, whole
}

// endOfHead returns the length of the head at the start of data. It is whole if each
// line ends with CR LF and the first empty one ends the head: only then net/http is sure
// to see the same end.
func endOfHead(data []byte) (int, verdict) {
	for at := 0; ; {
		length := bytes.IndexByte(data[at:], '\n')
		if length < 0 && len(data) < maxHead {
			return 0, partial
		}
		if length < 0 {
			return 0, odd
		}
		line, ended := bytes.CutSuffix(data[at:at+length], []byte("\r"))
		at += length + 1
		switch {
		case !ended:
			return 0, odd
		case len(line) == 0 && at > len("\r\n"):
			return at, whole
		case len(bytes.TrimSpace(line)) == 0:
			return 0, odd
		}
	}
}

// parseHead reads a whole head. It reports false for one whose end or order among
// others is not plain, or that net/http would not accept.
func parseHead(data []byte) (head, bool) {
	source := bytes.NewReader(data)
	buffered := bufio.NewReaderSize(source, parseBytes)
	r, err := http.ReadRequest(buffered)
	if err != nil || buffered.Buffered()+source.Len() > 0 {
		return head{}, false
	}
	h := r.Header
	// net/http answers "OPTIONS *" without the handler.
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.ContentLength < 0 || len(r.TransferEncoding) > 0 ||
		r.Method == http.MethodConnect || r.RequestURI == "*" || h.Get("Expect") != "" || h.Get("Upgrade") != "" {
		return head{}, false
	}
	return head{
		request: r, size: int64(len(data)) + r.ContentLength, body: r.ContentLength > 0,
		last: r.Close,
	}, true
}

// same tells whether two readings of a request are of the same one.
func same(a, b *http.Request) bool {
	if a.Method != b.Method || a.RequestURI != b.RequestURI || a.Host != b.Host || len(a.Header) != len(b.Header) {
		return false
	}
	for name, values := range a.Header {
		if strings.Join(values, "\n") != strings.Join(b.Header[name], "\n") {
			return false
		}
	}
	return true
}
