package storage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// InitialBackoff is the delay before the first retry.
	InitialBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest delay between two retries.
	MaxBackoff = time.Second
)

// Backoff delays the retries of a call. The delay doubles with each retry up to a
// limit and is shortened by a random amount of up to one half.
type Backoff struct {
	delay   time.Duration
	longest time.Duration
	sleep   func(context.Context, time.Duration) error
	random  func() float64
}

// BackoffOption configures a Backoff.
type BackoffOption func(*Backoff)

// WithDelays is a functional option that sets the initial and the maximum delay.
func WithDelays(first, longest time.Duration) BackoffOption {
	return func(b *Backoff) { b.delay, b.longest = first, longest }
}

// WithSleep is a functional option that replaces Sleep. The function returns an
// error if the context ends before the delay is over.
func WithSleep(sleep func(context.Context, time.Duration) error) BackoffOption {
	return func(b *Backoff) { b.sleep = sleep }
}

// WithRandom is a functional option that replaces the source of random jitter,
// which returns numbers in [0, 1).
func WithRandom(random func() float64) BackoffOption {
	return func(b *Backoff) { b.random = random }
}

// NewBackoff returns a Backoff for the retries of one call.
func NewBackoff(opts ...BackoffOption) *Backoff {
	b := &Backoff{delay: InitialBackoff, longest: MaxBackoff, sleep: Sleep, random: rand.Float64}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Wait waits until the next retry is due. It returns an error if ctx ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	half := b.delay / 2
	delay := half + time.Duration(b.random()*float64(half))
	b.delay = min(2*b.delay, b.longest)
	return b.sleep(ctx, delay)
}

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("sleep: %w", err)
	}
	return nil
}

// Retry calls f until it returns nil or an error other than ErrUnavailable, or until
// ctx ends.
func Retry(ctx context.Context, f func() error, opts ...BackoffOption) error {
	backoff := NewBackoff(opts...)
	for {
		err := f()
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
		if waitErr := backoff.Wait(ctx); waitErr != nil {
			return fmt.Errorf("%w: %w", waitErr, err)
		}
	}
}
