// Package logs writes the log without ever blocking the code that logs: lines go through
// a bounded queue to one goroutine. Lines that do not fit in the queue are dropped and
// counted.
//
// # Usage
//
//	out := logs.NewWriter(os.Stdout)
//	defer out.Close()
//	logger := log.New(out)
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultQueueLines is the capacity of the queue, in lines. At 300 bytes per line,
	// it holds about 300 KB.
	defaultQueueLines = 1024
	// defaultFlushTimeout is how long Close waits for the queued lines to be written.
	defaultFlushTimeout = 500 * time.Millisecond
)

// Option configures a Writer.
type Option func(*Writer)

// WithQueue is a functional option that sets the capacity of the queue, in lines.
func WithQueue(lines int) Option {
	return func(w *Writer) { w.lines = make(chan []byte, lines) }
}

// WithFlush is a functional option that sets how long Close waits for queued lines.
func WithFlush(d time.Duration) Option {
	return func(w *Writer) { w.flushTimeout = d }
}

// Writer forwards lines to another writer through a queue. It is safe for concurrent
// use.
type Writer struct {
	out          io.Writer
	flushTimeout time.Duration
	lines        chan []byte
	dropped      atomic.Uint64
	closing      chan struct{}
	done         chan struct{}
	once         sync.Once
}

// NewWriter returns a Writer that forwards lines to out.
func NewWriter(out io.Writer, opts ...Option) *Writer {
	w := &Writer{
		out: out, flushTimeout: defaultFlushTimeout, lines: make(chan []byte, defaultQueueLines),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(w)
	}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails; if the queue is full, the line
// is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	lineCopy := append([]byte(nil), line...)
	select {
	case w.lines <- lineCopy:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that the log does not mention yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written, or until the flush timeout. Lines that
// are written later are lost.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(w.flushTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.drainQueue()
			return
		}
	}
}

func (w *Writer) drainQueue() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line. If lines were dropped before it, writeLine first writes a
// line with their number.
func (w *Writer) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "level=warn msg=\"log lines left out\" count=%d\n", n)
	}
	// An error is ignored: there is no other place to report that the log can't be
	// written.
	_, _ = w.out.Write(line)
}
