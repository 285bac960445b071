package owner

import (
	"context"
	"sync/atomic"
	"time"

	"fulmarrun/config"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// Standing is what traffic needs to know of this daemon. It never changes; the
// control goroutine publishes a new one.
type Standing struct {
	Generation wire.Generation
	Service    string
	Instance   string
	Domain     string
	Snapshot   *routes.Snapshot
	// Table is nil before the first configuration is in force.
	Table *config.Table
	// Alone is true if there is no other daemon that could be a witness, or none
	// that stays. No keyed request may begin; those that run may end.
	Alone bool
	// Closing is true once no more work may be admitted here.
	Closing bool
}

// leaseClock holds the end of the lease where traffic reads it without a lock.
// Times are kept relative to base, on the monotonic clock.
type leaseClock struct {
	base    time.Time
	until   atomic.Int64
	context atomic.Pointer[leaseContext]
}

type leaseContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newLeaseContext() *leaseContext {
	ctx, cancel := context.WithCancel(context.Background())
	return &leaseContext{ctx: ctx, cancel: cancel}
}

func newLeaseClock() *leaseClock {
	l := &leaseClock{base: time.Now()}
	l.context.Store(newLeaseContext())
	return l
}

func (l *leaseClock) set(until time.Time) {
	if until.IsZero() {
		l.until.Store(0)
		return
	}
	l.until.Store(int64(until.Sub(l.base)))
}

func (l *leaseClock) end() time.Time {
	until := l.until.Load()
	if until == 0 {
		return time.Time{}
	}
	return l.base.Add(time.Duration(until))
}

func (l *leaseClock) valid() bool {
	return time.Since(l.base) < time.Duration(l.until.Load())
}

// lapse cancels everything that runs under the lease that has ended.
func (l *leaseClock) lapse() {
	l.context.Swap(newLeaseContext()).cancel()
}
