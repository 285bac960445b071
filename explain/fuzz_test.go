package explain_test

import (
	"bytes"
	"testing"

	"fulmarrun/explain"
)

// FuzzRead checks that Read returns no error for any malformed log, and that each parsed
// line has a process, a time and an event.
func FuzzRead(f *testing.F) {
	f.Add([]byte(ingressLog))
	f.Add([]byte(ownerLog))
	f.Add([]byte("time=2026-06-24T10:00:00Z msg=\"unfinished\ntime= msg=x\n\x00\xff=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		lines := 0
		skipped, err := explain.Read("log", bytes.NewReader(text), func(l explain.Line) {
			lines++
			if l.At.IsZero() || l.Event == "" || l.Process == "" {
				t.Errorf("incomplete line %+v", l)
			}
		})
		if err != nil || lines+skipped > bytes.Count(text, []byte("\n"))+1 {
			t.Errorf("%d lines parsed, %d skipped, error %v", lines, skipped, err)
		}
	})
}
