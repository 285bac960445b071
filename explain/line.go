package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"

	"fulmarrun/logs"
)

// maxLine is the maximum length of a log line, in bytes; longer lines are skipped.
const maxLine = 1 << 20

// Field is one key and value of a line.
type Field struct {
	Key, Value string
}

// Line is one log line of a process. It records one event.
type Line struct {
	At time.Time
	// Process is the instance that wrote the line, or the name of the log file if the
	// line does not name an instance.
	Process string
	Event   string
	Fields  []Field
}

// Get returns the value of a field, or an empty string if the line has no such field.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Read calls handle with each line of a log, in order, and returns the number of lines
// that could not be parsed. It ignores any text before "time=", because log collectors
// add prefixes.
func Read(name string, r io.Reader, handle func(Line)) (skipped int, err error) {
	reader := bufio.NewReaderSize(r, maxLine)
	for {
		text, err := reader.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			skipped++
			if err := discardLine(reader); err != nil {
				return skipped, fmt.Errorf("read %s: %w", name, err)
			}
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return skipped, fmt.Errorf("read %s: %w", name, err)
		}
		if line, ok := parseLine(name, text); ok {
			handle(line)
		} else if len(bytes.TrimSpace(text)) > 0 {
			skipped++
		}
		if err != nil {
			return skipped, nil
		}
	}
}

// discardLine skips the rest of a line.
func discardLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err == nil, errors.Is(err, io.EOF):
			return nil
		default:
			return fmt.Errorf("skip line: %w", err)
		}
	}
}

// parseLine parses one line. ok is false if the line has no time or no event, or is not
// valid logfmt.
func parseLine(name string, text []byte) (line Line, ok bool) {
	start := bytes.Index(text, []byte("time="))
	if start < 0 {
		return Line{}, false
	}
	line.Process = name
	decoder := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			line.At = at
		case "msg":
			line.Event = value
		case "level":
		case logs.FieldInstance:
			if value != "" {
				line.Process = value
			}
		default:
			line.Fields = append(line.Fields, Field{Key: key, Value: value})
		}
	}
	return line, decoder.Err() == nil && !line.At.IsZero() && line.Event != ""
}

// String returns the event and its non-empty fields, without the request ID.
func (l *Line) String() string {
	var b strings.Builder
	b.WriteString(l.Event)
	for _, f := range l.Fields {
		if f.Key == logs.FieldID || f.Value == "" {
			continue
		}
		value := f.Value
		if strings.ContainsAny(value, " =\"") {
			value = fmt.Sprintf("%q", value)
		}
		b.WriteString("  " + f.Key + "=" + value)
	}
	return b.String()
}
