package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// MaxSize is the length in bytes of the longest file that is read.
const MaxSize = 1 << 20

// maxDepth is the number of objects and arrays that may be open at once.
const maxDepth = 64

// maxDigits is the length in bytes of the longest number.
const maxDigits = 20

// maxProblems is the number of problems that are reported at once.
const maxProblems = 100

// document is a parsed file that finds the line and column of its values and
// collects problems.
type document struct {
	name string
	data []byte
	root hujson.Value
	// standard is the text as plain JSON.
	standard []byte
	problems Problems
}

func newDocument(name string, data []byte) *document {
	d := &document{name: name, data: data}
	switch {
	case len(data) > MaxSize:
		d.reportOffset(0, "", fmt.Sprintf("at most %d bytes", MaxSize), fmt.Sprintf("%d bytes", len(data)))
	case !utf8.Valid(data):
		d.reportOffset(invalidOffset(data), "", "UTF-8 text", "an invalid byte")
	default:
		if offset, ok := tooDeep(data); ok {
			d.reportOffset(offset, "", fmt.Sprintf("at most %d nested values", maxDepth), "a deeper one")
		} else {
			d.parse()
		}
	}
	return d
}

func (d *document) parse() {
	root, err := hujson.Parse(d.data)
	if err != nil {
		d.reportSyntax(err)
		return
	}
	d.root = root
	plain := root.Clone()
	plain.Standardize()
	d.standard = plain.Pack()
	d.walk(&d.root, "")
}

// decode fills v, whose shape the schema has already approved.
func (d *document) decode(v any) error {
	if err := json.Unmarshal(d.standard, v); err != nil {
		return fmt.Errorf("decode %s: %w", d.name, err)
	}
	return nil
}

// err returns the collected problems in the order of the text, or nil.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &InvalidError{Problems: d.problems}
}

// report adds a problem with the value at a JSON pointer; a value that is left
// out is looked for in the object that lacks it.
func (d *document) report(pointer, want, got string) {
	d.reportOffset(d.offset(pointer), fieldPath(pointer), want, got)
}

func (d *document) offset(pointer string) int {
	for {
		if value := d.root.Find(pointer); value != nil {
			return value.StartOffset
		}
		end := strings.LastIndexByte(pointer, '/')
		if end < 0 {
			return 0
		}
		pointer = pointer[:end]
	}
}

// reportValue adds a problem with the value at a JSON pointer, quoting it.
func (d *document) reportValue(pointer, want string) {
	got := "nothing"
	if value := d.root.Find(pointer); value != nil {
		got = excerpt(d.data[value.StartOffset:value.EndOffset])
	}
	d.report(pointer, want, got)
}

// reportName adds a problem with the name of a member of the object at a JSON
// pointer.
func (d *document) reportName(pointer, name, want string) {
	offset := 0
	if value := d.root.Find(pointer); value != nil {
		offset = value.StartOffset
		if object, ok := value.Value.(*hujson.Object); ok {
			offset = nameOffset(object, name, offset)
		}
	}
	d.reportOffset(offset, fieldPath(pointer+"/"+escapePointer(name)), want, strconv.Quote(name))
}

func (d *document) reportOffset(offset int, field, want, got string) {
	if len(d.problems) >= maxProblems {
		return
	}
	before := d.data[:min(offset, len(d.data))]
	d.problems = append(d.problems, Problem{
		File:   d.name,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Field:  field,
		Want:   want,
		Got:    got,
	})
}

// reportSyntax takes the line and column from the parser's own message.
func (d *document) reportSyntax(err error) {
	problem := Problem{File: d.name, Line: 1, Column: 1, Want: "JSON with comments", Got: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &problem.Line, &problem.Column); scanErr == nil {
		if cause := errors.Unwrap(err); cause != nil {
			problem.Got = cause.Error()
		}
	}
	d.problems = append(d.problems, problem)
}

// walk adds a problem for each name that an object holds twice and each number
// that is too long to be read cheaply.
func (d *document) walk(value *hujson.Value, pointer string) {
	switch composite := value.Value.(type) {
	case hujson.Literal:
		if composite.Kind() == '0' && (len(composite) > maxDigits || bytes.ContainsAny(composite, "eE")) {
			d.reportValue(pointer, fmt.Sprintf("a number of at most %d characters without an exponent", maxDigits))
		}
	case *hujson.Array:
		for i := range composite.Elements {
			d.walk(&composite.Elements[i], pointer+"/"+strconv.Itoa(i))
		}
	case *hujson.Object:
		seen := make(map[string]bool, len(composite.Members))
		for i := range composite.Members {
			member := &composite.Members[i]
			name := literalString(&member.Name)
			inner := pointer + "/" + escapePointer(name)
			if seen[name] {
				d.reportOffset(member.Name.StartOffset, fieldPath(inner), "each name once", "a second "+strconv.Quote(name))
			}
			seen[name] = true
			d.walk(&member.Value, inner)
		}
	}
}

func literalString(value *hujson.Value) string {
	if literal, ok := value.Value.(hujson.Literal); ok {
		return literal.String()
	}
	return ""
}

func nameOffset(object *hujson.Object, name string, otherwise int) int {
	for i := range object.Members {
		if literalString(&object.Members[i].Name) == name {
			return object.Members[i].Name.StartOffset
		}
	}
	return otherwise
}

// excerpt returns the value's text in one short line.
func excerpt(text []byte) string {
	const maxLength = 60
	if len(text) > 4*maxLength {
		text = text[:4*maxLength]
	}
	line := strings.Join(strings.Fields(string(text)), " ")
	if len(line) <= maxLength {
		return line
	}
	cut := maxLength
	for cut > 0 && !utf8.RuneStart(line[cut]) {
		cut--
	}
	return line[:cut] + "…"
}

// fieldPath turns a JSON pointer into a path such as services[0].kinds[2].wait.
func fieldPath(pointer string) string {
	var path strings.Builder
	for part := range strings.SplitSeq(strings.TrimPrefix(pointer, "/"), "/") {
		if _, err := strconv.Atoi(part); err == nil && path.Len() > 0 {
			path.WriteString("[" + part + "]")
			continue
		}
		if path.Len() > 0 {
			path.WriteByte('.')
		}
		path.WriteString(strings.ReplaceAll(strings.ReplaceAll(part, "~1", "/"), "~0", "~"))
	}
	return path.String()
}

func escapePointer(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

func invalidOffset(data []byte) int {
	offset := 0
	for offset < len(data) {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			break
		}
		offset += size
	}
	return offset
}

// tooDeep returns the offset of the first value that is nested too deeply. It
// runs before the parser, which recurses.
func tooDeep(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"', '/':
			i += skip(data[i:])
		case '{', '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skip returns the distance from the first byte of a string or comment to its
// last.
func skip(data []byte) int {
	end := 0
	switch {
	case data[0] == '"':
		end = 1
		for end < len(data) && data[end] != '"' {
			if data[end] == '\\' {
				end++
			}
			end++
		}
	case bytes.HasPrefix(data, []byte("//")):
		if end = bytes.IndexByte(data, '\n'); end < 0 {
			end = len(data)
		}
	case bytes.HasPrefix(data, []byte("/*")):
		if end = bytes.Index(data[2:], []byte("*/")); end < 0 {
			return len(data)
		}
		end += 3
	}
	return end
}
