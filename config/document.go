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

// MaxSize is the maximum size of a file in bytes.
const MaxSize = 1 << 20

// maxDepth is the maximum nesting depth of objects and arrays.
const maxDepth = 64

// maxNumberLen is the maximum length of a number in bytes.
const maxNumberLen = 20

// maxProblems is the maximum number of problems reported for one file.
const maxProblems = 100

// document is a parsed file. It locates the line and column of values and
// collects problems.
type document struct {
	name string
	data []byte
	root hujson.Value
	// plainJSON is the text without comments and trailing commas.
	plainJSON []byte
	problems  Problems
}

func newDocument(name string, data []byte) *document {
	d := newTree(name, data)
	if len(d.problems) > 0 {
		return d
	}
	plain := d.root.Clone()
	plain.Standardize()
	d.plainJSON = plain.Pack()
	d.checkValues(&d.root, "")
	return d
}

// newTree parses the syntax only; plainJSON is not set.
func newTree(name string, data []byte) *document {
	d := &document{name: name, data: data}
	switch {
	case len(data) > MaxSize:
		d.reportOffset(0, "", fmt.Sprintf("at most %d bytes", MaxSize), fmt.Sprintf("%d bytes", len(data)))
	case !utf8.Valid(data):
		d.reportOffset(invalidUTF8Offset(data), "", "UTF-8 text", "an invalid byte")
	default:
		if offset, ok := excessNesting(data); ok {
			d.reportOffset(offset, "", fmt.Sprintf("at most %d nested values", maxDepth), "a more deeply nested value")
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
}

// decode unmarshals the document into v. The document must have been validated
// against the schema.
func (d *document) decode(v any) error {
	if err := json.Unmarshal(d.plainJSON, v); err != nil {
		return fmt.Errorf("decode %s: %w", d.name, err)
	}
	return nil
}

// err returns the collected problems in the order of their positions, or nil if
// there are none.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	d.sort()
	return &InvalidError{Problems: d.problems}
}

// sort orders the problems by their positions.
func (d *document) sort() {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// report adds a problem with the value at a JSON pointer. For a missing value,
// the position is that of the innermost existing object around it.
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

// reportValue adds a problem with the value at a JSON pointer, with an excerpt
// of the value as the actual text.
func (d *document) reportValue(pointer, want string) {
	got := "nothing"
	if value := d.root.Find(pointer); value != nil {
		got = excerpt(d.data[value.StartOffset:value.EndOffset])
	}
	d.report(pointer, want, got)
}

// reportMemberName adds a problem with the name of a member of the object at a
// JSON pointer.
func (d *document) reportMemberName(pointer, name, want string) {
	offset := 0
	if value := d.root.Find(pointer); value != nil {
		offset = value.StartOffset
		if object, ok := value.Value.(*hujson.Object); ok {
			offset = memberNameOffset(object, name, offset)
		}
	}
	d.reportOffset(offset, fieldPath(pointer+"/"+escapePointerToken(name)), want, strconv.Quote(name))
}

func (d *document) reportOffset(offset int, field, want, got string) {
	if len(d.problems) >= maxProblems {
		return
	}
	d.problems = append(d.problems, d.problemAt(offset, field, want, got))
}

func (d *document) problemAt(offset int, field, want, got string) Problem {
	before := d.data[:min(offset, len(d.data))]
	return Problem{
		File:   d.name,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Field:  field,
		Want:   want,
		Got:    got,
	}
}

// reportSyntax adds a syntax error, with the line and column from the parser's
// message.
func (d *document) reportSyntax(err error) {
	problem := Problem{File: d.name, Line: 1, Column: 1, Want: "JSON with comments", Got: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &problem.Line, &problem.Column); scanErr == nil {
		if cause := errors.Unwrap(err); cause != nil {
			problem.Got = cause.Error()
		}
	}
	d.problems = append(d.problems, problem)
}

// checkValues adds a problem for each duplicate name in an object, and for each
// number that would be expensive to parse because it is long or has an exponent.
func (d *document) checkValues(value *hujson.Value, pointer string) {
	switch content := value.Value.(type) {
	case hujson.Literal:
		if content.Kind() == '0' && (len(content) > maxNumberLen || bytes.ContainsAny(content, "eE")) {
			d.reportValue(pointer, fmt.Sprintf("a number of at most %d characters without an exponent", maxNumberLen))
		}
	case *hujson.Array:
		for i := range content.Elements {
			d.checkValues(&content.Elements[i], pointer+"/"+strconv.Itoa(i))
		}
	case *hujson.Object:
		seen := make(map[string]bool, len(content.Members))
		for i := range content.Members {
			member := &content.Members[i]
			name := literalText(&member.Name)
			memberPointer := pointer + "/" + escapePointerToken(name)
			if seen[name] {
				d.reportOffset(member.Name.StartOffset, fieldPath(memberPointer), "each name once", "a second "+strconv.Quote(name))
			}
			seen[name] = true
			d.checkValues(&member.Value, memberPointer)
		}
	}
}

func literalText(value *hujson.Value) string {
	if literal, ok := value.Value.(hujson.Literal); ok {
		return literal.String()
	}
	return ""
}

func memberNameOffset(object *hujson.Object, name string, fallback int) int {
	for i := range object.Members {
		if literalText(&object.Members[i].Name) == name {
			return object.Members[i].Name.StartOffset
		}
	}
	return fallback
}

// excerpt returns the text of a value on one line, truncated to 60 bytes.
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

// fieldPath converts a JSON pointer into a path such as services[0].kinds[2].wait.
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

func escapePointerToken(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

func invalidUTF8Offset(data []byte) int {
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

// excessNesting returns the offset of the first value nested deeper than maxDepth.
// It runs before the parser, which is recursive and could exhaust the stack.
func excessNesting(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"', '/':
			i += lastByteOffset(data[i:])
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

// lastByteOffset returns the offset of the last byte of the string or comment at
// the start of data.
func lastByteOffset(data []byte) int {
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
