package config

import (
	"strings"

	"github.com/tailscale/hujson"
)

// Text is a parsed file of JSON with comments. It is for packages that read a format of
// their own and report its problems as this package does.
type Text struct{ d *document }

// ParseText parses the syntax of a file, within the same limits of size and depth as the
// operators' file. The name is used in problems only. For invalid text, ParseText returns an
// [*InvalidError].
//
// Values of the file may be secret: a problem contains at most one character of them.
func ParseText(name string, data []byte) (*Text, error) {
	d := newTree(name, data)
	for i := range d.problems {
		// The parser's message for a literal such as an unquoted string repeats it.
		if strings.Contains(d.problems[i].Got, "invalid literal") {
			d.problems[i].Got = "an invalid literal"
		}
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return &Text{d: d}, nil
}

// Root returns the outermost value.
func (t *Text) Root() *hujson.Value { return &t.d.root }

// Problem returns a problem at an offset of the file.
func (t *Text) Problem(offset int, field, want, got string) Problem {
	return t.d.problemAt(offset, field, want, got)
}

// Report adds a problem at an offset of the file. At most 100 are kept.
func (t *Text) Report(offset int, field, want, got string) {
	t.d.reportOffset(offset, field, want, got)
}

// Problems returns the reported problems in the order of their positions.
func (t *Text) Problems() Problems {
	t.d.sort()
	return t.d.problems
}
