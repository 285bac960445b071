package http1

import (
	"fmt"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrHead is returned for an answer whose head is malformed.
var ErrHead = errors.New("malformed head of an answer")

// headState is the position of a head in the grammar.
type headState int

const (
	// inStatusLine is the first line of an answer.
	inStatusLine headState = iota
	// atLineStart is the first byte of a line after the first.
	atLineStart
	inName
	inValue
	// atLineEnd is behind a carriage return that ends a line, atHeadEnd behind that of the
	// empty line that ends the head.
	atLineEnd
	atHeadEnd
	// inBody is behind the head of the final answer.
	inBody
)

// interimLeader is the first digit of the status of an interim answer, which another one follows.
const interimLeader = '1'

// statusOffset is the offset of the status in the first line, in bytes.
const statusOffset = len("HTTP/1.1 ")

// head checks the head of an answer and those of the interim answers before it. The zero value
// expects the first byte of an answer.
type head struct {
	state headState
	// line is the number of complete lines and column the number of bytes of the current one.
	line, column int
	// interim is true for the head of an interim answer.
	interim bool
}

// check checks the next bytes of the connection; those behind the head are ignored.
func (h *head) check(p []byte) error {
	for _, b := range p {
		if h.state == inBody {
			return nil
		}
		if err := h.next(b); err != nil {
			return fmt.Errorf("%w: line %d, column %d: %w", ErrHead, h.line+1, h.column+1, err)
		}
	}
	return nil
}

// next checks one byte.
func (h *head) next(b byte) error {
	switch {
	case h.state == atLineEnd || h.state == atHeadEnd:
		if b != '\n' {
			return fmt.Errorf("byte %q behind a carriage return", b)
		}
		h.endLine()
	case h.state == inName && b == ':':
		h.advance(inValue)
	case h.state == inName || h.state == atLineStart && b != '\r' && b != '\n':
		if !httpguts.IsTokenRune(rune(b)) {
			return fmt.Errorf("byte %q in a field name", b)
		}
		h.advance(inName)
	case b == '\n':
		h.endLine()
	case b == '\r' && h.state == atLineStart:
		h.advance(atHeadEnd)
	case b == '\r':
		h.advance(atLineEnd)
	case b < ' ' && b != '\t' || b == 0x7f:
		return fmt.Errorf("control byte %q", b)
	default:
		if h.state == inStatusLine && h.column == statusOffset {
			h.interim = b == interimLeader
		}
		h.advance(h.state)
	}
	return nil
}

// advance records a byte within a line.
func (h *head) advance(state headState) {
	h.state = state
	h.column++
}

// endLine records the end of a line.
func (h *head) endLine() {
	switch {
	case h.state != atLineStart && h.state != atHeadEnd:
		h.state = atLineStart
	case h.interim:
		h.state = inStatusLine
	default:
		h.state = inBody
	}
	h.line, h.column = h.line+1, 0
}
