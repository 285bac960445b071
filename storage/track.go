package storage

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// TrackOption configures Track.
type TrackOption func(*tracker)

// WithAvailabilityObserver is a functional option that sets a function to notify of
// changes in availability. It is called with the error of the first call that gets no
// answer, and with nil when a call is answered again.
func WithAvailabilityObserver(observe func(error)) TrackOption {
	return func(t *tracker) { t.observe = observe }
}

// Track returns a store that forwards all calls to s and whose LastAnswer returns
// the time of the last answer to any of them, by the clock now. If s has no Timeline, the
// platform counts as never restored.
func Track(s *Store, now func() time.Time, opts ...TrackOption) *Store {
	t := &tracker{now: now, observe: func(error) {}}
	for _, opt := range opts {
		opt(t)
	}
	timeline := s.Timeline
	if timeline == nil {
		timeline = func() uint64 { return 0 }
	}
	return &Store{
		Get: func(ctx context.Context, key string) (Row, error) {
			row, err := s.Get(ctx, key)
			return row, t.record(err)
		},
		List: func(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
			rows, err := s.List(ctx, prefix, after, limit)
			return rows, t.record(err)
		},
		Transact: func(ctx context.Context, tx Transaction) (Result, error) {
			result, err := s.Transact(ctx, tx)
			return result, t.record(err)
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			return t.record(s.PutObject(ctx, name, data))
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			data, err := s.GetObject(ctx, name)
			return data, t.record(err)
		},
		ListObjects: func(ctx context.Context, prefix, after string, limit int) ([]string, error) {
			names, err := s.ListObjects(ctx, prefix, after, limit)
			return names, t.record(err)
		},
		LastAnswer: t.lastAnswerTime,
		Timeline:   timeline,
	}
}

// tracker records the time of the latest answer.
type tracker struct {
	now        func() time.Time
	lastAnswer atomic.Pointer[time.Time]
	// unanswered is true if the last call got no answer.
	unanswered atomic.Bool
	observe    func(error)
}

// record records whether a call that returned err was answered, and returns err.
func (t *tracker) record(err error) error {
	if err != nil && !errors.Is(err, ErrMissing) && !errors.Is(err, ErrRejected) {
		// A call that its caller canceled says nothing about the platform.
		if !errors.Is(err, context.Canceled) && !t.unanswered.Swap(true) {
			t.observe(err)
		}
		return err
	}
	if t.unanswered.Swap(false) {
		t.observe(nil)
	}
	now := t.now()
	for {
		old := t.lastAnswer.Load()
		if old != nil && !now.After(*old) {
			return err
		}
		if t.lastAnswer.CompareAndSwap(old, &now) {
			return err
		}
	}
}

func (t *tracker) lastAnswerTime() time.Time {
	if lastAnswer := t.lastAnswer.Load(); lastAnswer != nil {
		return *lastAnswer
	}
	return time.Time{}
}
