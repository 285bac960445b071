package http1

import (
	"fmt"
	"net/http"

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

const (
	// versionForm is the form of a status line up to the status; digits stand for any digit.
	versionForm = "HTTP/1.1 "
	// statusEnd is the offset of the byte behind the status in its line, in bytes.
	statusEnd = len(versionForm) + 3
	// maxStatus is the greatest status that HTTP defines a class for.
	maxStatus = 599
)

// head checks the head of an answer and those of the interim answers before it. The zero value
// expects the first byte of an answer.
type head struct {
	state headState
	// line is the number of complete lines and column the number of bytes of the current one.
	line, column int
	// status is the status of the answer, or its digits that have arrived.
	status int
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
	if h.state == inStatusLine && h.column <= statusEnd {
		if err := h.nextOfStatus(b); err != nil {
			return err
		}
	}
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
		h.advance(h.state)
	}
	return nil
}

// nextOfStatus checks one byte of a status line, up to the one behind the status.
func (h *head) nextOfStatus(b byte) error {
	switch {
	case h.column < len(versionForm):
		if form := versionForm[h.column]; b != form && (!isDigit(form) || !isDigit(b)) {
			return fmt.Errorf("byte %q in place of %q", b, versionForm)
		}
	case h.column < statusEnd:
		if !isDigit(b) {
			return fmt.Errorf("byte %q in a status", b)
		}
		h.status = 10*h.status + int(b-'0')
	case b != ' ' && b != '\r' && b != '\n':
		return fmt.Errorf("byte %q behind status %03d", b, h.status)
	case !validStatus(h.status):
		return fmt.Errorf("status %03d", h.status)
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// validStatus reports whether an answer may have a status. No request asks for another protocol.
func validStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
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
	case h.status < http.StatusOK:
		h.state, h.status = inStatusLine, 0
	default:
		h.state = inBody
	}
	h.line, h.column = h.line+1, 0
}
