package explain_test

import (
	"bytes"
	"testing"

	"fulmarrun/explain"
)

// FuzzRead checks that no log, however broken, fails to be read, and that each line that
// is read has a time and an event.
func FuzzRead(f *testing.F) {
	f.Add([]byte(ingress))
	f.Add([]byte(owner))
	f.Add([]byte("time=2026-06-24T10:00:00Z msg=\"unfinished\ntime= msg=x\n\x00\xff=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		lines := 0
		skipped, err := explain.Read("log", bytes.NewReader(text), func(l explain.Line) {
			lines++
			if l.At.IsZero() || l.Event == "" || l.Process == "" {
				t.Errorf("line %+v", l)
			}
		})
		if err != nil || lines+skipped > bytes.Count(text, []byte("\n"))+1 {
			t.Errorf("%d lines, %d skipped, %v", lines, skipped, err)
		}
	})
}
