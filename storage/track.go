package storage

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// TrackOption configures Track.
type TrackOption func(*tracker)

// WithAvailabilityObserver is a functional option that names what is called when a call has no answer
// after one that had, with its error, and with nil when calls are answered again.
func WithAvailabilityObserver(changed func(error)) TrackOption {
	return func(t *tracker) { t.changed = changed }
}

// Track returns a store that passes all calls on to s and whose LastAnswer tells
// when one of them was last answered, by the clock now.
func Track(s *Store, now func() time.Time, opts ...TrackOption) *Store {
	t := &tracker{now: now, changed: func(error) {}}
	for _, opt := range opts {
		opt(t)
	}
	return &Store{
		Get: func(ctx context.Context, key string) (Row, error) {
			row, err := s.Get(ctx, key)
			return row, t.note(err)
		},
		List: func(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
			rows, err := s.List(ctx, prefix, after, limit)
			return rows, t.note(err)
		},
		Transact: func(ctx context.Context, tx Transaction) (Result, error) {
			result, err := s.Transact(ctx, tx)
			return result, t.note(err)
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			return t.note(s.PutObject(ctx, name, data))
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			data, err := s.GetObject(ctx, name)
			return data, t.note(err)
		},
		ListObjects: func(ctx context.Context, prefix, after string, limit int) ([]string, error) {
			names, err := s.ListObjects(ctx, prefix, after, limit)
			return names, t.note(err)
		},
		LastAnswer: t.last,
	}
}

// tracker remembers the time of the latest answer.
type tracker struct {
	now func() time.Time
	at  atomic.Pointer[time.Time]
	// silent is true while the last call had no answer.
	silent  atomic.Bool
	changed func(error)
}

// note records an answer if err is one, and returns err.
func (t *tracker) note(err error) error {
	if err != nil && !errors.Is(err, ErrMissing) && !errors.Is(err, ErrRejected) {
		// A call that its own caller has given up tells nothing.
		if !errors.Is(err, context.Canceled) && !t.silent.Swap(true) {
			t.changed(err)
		}
		return err
	}
	if t.silent.Swap(false) {
		t.changed(nil)
	}
	now := t.now()
	for {
		old := t.at.Load()
		if old != nil && !now.After(*old) {
			return err
		}
		if t.at.CompareAndSwap(old, &now) {
			return err
		}
	}
}

func (t *tracker) last() time.Time {
	if at := t.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
