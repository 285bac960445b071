package logs_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarrun/logs"
)

func TestWriter(t *testing.T) {
	var out bytes.Buffer
	w := logs.NewWriter(&out)
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close()
	if lines := strings.Count(out.String(), "\n"); lines != 100 || !strings.HasPrefix(out.String(), "line 0\n") {
		t.Errorf("%d lines written, starting with %.10q", lines, out.String())
	}
}

// TestWriteNeverBlocks checks that logging does not block if nobody reads the output. It
// logs far more than fits in the buffer of a pipe.
func TestWriteNeverBlocks(t *testing.T) {
	r, pipe, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	w := logs.NewWriter(pipe, logs.WithQueue(16), logs.WithFlush(time.Millisecond))
	line := bytes.Repeat([]byte("x"), 1000)
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			_, _ = w.Write(line)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks until the pipe is read")
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped, although the pipe has no room for all of them")
	}
	w.Close()
	_ = r.Close()
	_ = pipe.Close()
}

// blockedWriter blocks each write until the channel release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// TestDroppedLinesAreReported checks that the log contains a line about dropped lines.
func TestDroppedLinesAreReported(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	w := logs.NewWriter(s, logs.WithQueue(2), logs.WithFlush(10*time.Second))
	for i := range 50 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	close(s.release)
	w.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if text := s.out.String(); !strings.Contains(text, "log lines left out") || !strings.Contains(text, "line 0\n") {
		t.Errorf("log has no line about dropped lines, or lacks the first line: %q", text)
	}
}
