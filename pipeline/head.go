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
	// size is the length of the whole request, including its body, in bytes.
	size int64
	// hasBody is true if the request has a body.
	hasBody bool
	// closes is true if the caller announced that it sends no further request.
	closes bool
}

// headStatus is the result of looking for a head at the start of some bytes.
type headStatus uint8

const (
	// incomplete means that the head may be complete once more bytes have arrived.
	incomplete headStatus = iota
	// complete means that the bytes start with a complete head.
	complete
	// unsupported means that the bytes have to be left to net/http.
	unsupported
)

// readHead parses the head at the start of data.
func readHead(data []byte) (head, headStatus) {
	size, status := findHeadEnd(data)
	if status != complete {
		return head{}, status
	}
	h, ok := parseHead(data[:size])
	if !ok {
		return head{}, unsupported
	}
	return h, complete
}

// findHeadEnd returns the length of the head at the start of data. The head is complete
// if each line ends with CR LF and the first empty line ends the head: only then
// net/http is sure to find the same end.
func findHeadEnd(data []byte) (int, headStatus) {
	for pos := 0; ; {
		length := bytes.IndexByte(data[pos:], '\n')
		if length < 0 && len(data) < maxHeadBytes {
			return 0, incomplete
		}
		if length < 0 {
			return 0, unsupported
		}
		line, hasCR := bytes.CutSuffix(data[pos:pos+length], []byte("\r"))
		pos += length + 1
		switch {
		case !hasCR:
			return 0, unsupported
		case len(line) == 0 && pos > len("\r\n"):
			return pos, complete
		case len(bytes.TrimSpace(line)) == 0:
			return 0, unsupported
		}
	}
}

// parseHead parses a complete head. It reports false for a request whose end is hard
// to determine, that must not be served out of order, or that net/http would reject.
func parseHead(data []byte) (head, bool) {
	source := bytes.NewReader(data)
	buffered := bufio.NewReaderSize(source, parseBufferSize)
	r, err := http.ReadRequest(buffered)
	if err != nil || buffered.Buffered()+source.Len() > 0 {
		return head{}, false
	}
	h := r.Header
	// net/http answers "OPTIONS *" itself, without calling the handler.
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.ContentLength < 0 || len(r.TransferEncoding) > 0 ||
		r.Method == http.MethodConnect || r.RequestURI == "*" || h.Get("Expect") != "" || h.Get("Upgrade") != "" {
		return head{}, false
	}
	return head{
		request: r, size: int64(len(data)) + r.ContentLength, hasBody: r.ContentLength > 0,
		closes: r.Close,
	}, true
}

// sameRequest reports whether a and b were parsed from the same request.
func sameRequest(a, b *http.Request) bool {
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
