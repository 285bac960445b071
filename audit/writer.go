package audit

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"fulmarrun/storage"
)

const (
	// DefaultQueue is the capacity of the queue, in entries.
	DefaultQueue = 4096
	// DefaultDrain is how long Run continues after its context ended, to write the
	// queued entries.
	DefaultDrain = 2 * time.Second
	// initialBackoff is the delay before the first retry of a write.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is the longest delay between two retries.
	maxBackoff = 5 * time.Second
)

// Counts holds the numbers of entries by their result; see the package comment.
type Counts struct {
	Written   int64
	Dropped   int64
	Rejected  int64
	Unwritten int64
}

// Writer writes entries in the order in which they were added.
type Writer struct {
	store     *storage.Store
	queue     chan Entry
	closed    atomic.Bool
	drain     time.Duration
	backoff   []storage.BackoffOption
	written   metrics.Counter
	dropped   metrics.Counter
	rejected  metrics.Counter
	unwritten metrics.Counter
}

// Option configures a Writer.
type Option func(*Writer)

// WithQueue is a functional option that sets the capacity of the queue, in entries.
func WithQueue(n int) Option {
	return func(w *Writer) { w.queue = make(chan Entry, n) }
}

// WithDrain is a functional option that sets how long Run continues to write queued
// entries after its context ended.
func WithDrain(d time.Duration) Option {
	return func(w *Writer) { w.drain = d }
}

// WithBackoff is a functional option that configures the delays between the retries
// of a write.
func WithBackoff(opts ...storage.BackoffOption) Option {
	return func(w *Writer) { w.backoff = append(w.backoff, opts...) }
}

// WithRegistry is a functional option that registers the counters audit.written,
// audit.dropped, audit.rejected and audit.left.
func WithRegistry(r metrics.Registry) Option {
	return func(w *Writer) {
		w.written = metrics.GetOrRegisterCounter("audit.written", r)
		w.dropped = metrics.GetOrRegisterCounter("audit.dropped", r)
		w.rejected = metrics.GetOrRegisterCounter("audit.rejected", r)
		w.unwritten = metrics.GetOrRegisterCounter("audit.left", r)
	}
}

// NewWriter returns a Writer that writes to store. Entries are written by Run.
func NewWriter(store *storage.Store, opts ...Option) *Writer {
	w := &Writer{store: store, drain: DefaultDrain}
	WithBackoff(storage.WithDelays(initialBackoff, maxBackoff))(w)
	WithQueue(DefaultQueue)(w)
	WithRegistry(metrics.NewRegistry())(w)
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Add queues e and reports whether it was added. It never blocks. It adds nothing if
// the queue is full or Run is finishing or has ended.
func (w *Writer) Add(e Entry) bool {
	if w.closed.Load() {
		w.dropped.Inc(1)
		return false
	}
	select {
	case w.queue <- e:
		return true
	default:
		w.dropped.Inc(1)
		return false
	}
}

// Counts returns the counts since the start.
func (w *Writer) Counts() Counts {
	return Counts{
		Written:   w.written.Count(),
		Dropped:   w.dropped.Count(),
		Rejected:  w.rejected.Count(),
		Unwritten: w.unwritten.Count(),
	}
}

// Run writes entries until ctx ends, and then the queued entries within the drain
// time. It returns an error if entries remain unwritten.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return w.finish(ctx)
		case e := <-w.queue:
			if w.writeEntry(ctx, e) != nil {
				return w.finish(ctx, e)
			}
		}
	}
}

// finish writes the given entries and then the queued ones, within the drain time.
func (w *Writer) finish(ctx context.Context, entries ...Entry) error {
	w.closed.Store(true)
	for len(w.queue) > 0 {
		entries = append(entries, <-w.queue)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.drain)
	defer cancel()
	for i, e := range entries {
		if err := w.writeEntry(ctx, e); err != nil {
			n := len(entries) - i
			w.unwritten.Inc(int64(n))
			return fmt.Errorf("%d audit entries not written: %w", n, err)
		}
	}
	return nil
}

// writeEntry writes e and retries during outages until e is written or rejected. It
// returns an error only if ctx ends.
func (w *Writer) writeEntry(ctx context.Context, e Entry) error {
	data, err := e.encode()
	if err != nil || e.Change == "" {
		w.rejected.Inc(1)
		return nil
	}
	err = storage.Retry(ctx, func() error { return w.store.PutObject(ctx, e.Name(), data) }, w.backoff...)
	switch {
	case err == nil:
		w.written.Inc(1)
	case errors.Is(err, storage.ErrUnavailable):
		return fmt.Errorf("put audit entry: %w", err)
	default:
		w.rejected.Inc(1)
	}
	return nil
}
