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
	// DefaultQueue is the number of entries that may wait.
	DefaultQueue = 4096
	// DefaultDrain is how long Run goes on after its context ended, to write
	// what waits.
	DefaultDrain = 2 * time.Second
	// firstBackoff is the delay before the first repetition of a write.
	firstBackoff = 100 * time.Millisecond
	// longestBackoff is the longest delay between two repetitions.
	longestBackoff = 5 * time.Second
)

// Counts are the numbers of entries by what became of them.
type Counts struct {
	Written  int64
	Dropped  int64
	Rejected int64
	Left     int64
}

// Writer writes entries in the order in which they were added.
type Writer struct {
	store    *storage.Store
	queue    chan Entry
	ended    atomic.Bool
	drain    time.Duration
	backoff  []storage.BackoffOption
	written  metrics.Counter
	dropped  metrics.Counter
	rejected metrics.Counter
	left     metrics.Counter
}

// Option configures a Writer.
type Option func(*Writer)

// WithQueue is a functional option that bounds the entries that may wait.
func WithQueue(n int) Option {
	return func(w *Writer) { w.queue = make(chan Entry, n) }
}

// WithDrain is a functional option that bounds the time that Run goes on after
// its context ended.
func WithDrain(d time.Duration) Option {
	return func(w *Writer) { w.drain = d }
}

// WithBackoff is a functional option that configures the waits between the
// repetitions of a write.
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
		w.left = metrics.GetOrRegisterCounter("audit.left", r)
	}
}

// NewWriter returns a Writer to store. Run makes it write.
func NewWriter(store *storage.Store, opts ...Option) *Writer {
	w := &Writer{store: store, drain: DefaultDrain}
	WithBackoff(storage.WithDelays(firstBackoff, longestBackoff))(w)
	WithQueue(DefaultQueue)(w)
	WithRegistry(metrics.NewRegistry())(w)
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Add queues e and reports whether there was room for it. It never blocks. Once
// Run has ended there is no room.
func (w *Writer) Add(e Entry) bool {
	if w.ended.Load() {
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
		Written:  w.written.Count(),
		Dropped:  w.dropped.Count(),
		Rejected: w.rejected.Count(),
		Left:     w.left.Count(),
	}
}

// Run writes entries until ctx ends, and then what waits for as long as the
// drain allows. It returns the reason if entries are left.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return w.finish(ctx)
		case e := <-w.queue:
			if w.put(ctx, e) != nil {
				return w.finish(ctx, e)
			}
		}
	}
}

// finish writes the entries given and then those that wait.
func (w *Writer) finish(ctx context.Context, entries ...Entry) error {
	w.ended.Store(true)
	for len(w.queue) > 0 {
		entries = append(entries, <-w.queue)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.drain)
	defer cancel()
	for i, e := range entries {
		if err := w.put(ctx, e); err != nil {
			n := len(entries) - i
			w.left.Inc(int64(n))
			return fmt.Errorf("%d audit entries left: %w", n, err)
		}
	}
	return nil
}

// put writes e, through outages, until it is written or rejected. It fails only
// if ctx ends.
func (w *Writer) put(ctx context.Context, e Entry) error {
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
