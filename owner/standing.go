package owner

import (
	"context"
	"sync/atomic"
	"time"

	"fulmarrun/config"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// ServingState is what traffic needs to know of this daemon. It never changes; the
// control goroutine publishes a new one.
type ServingState struct {
	Generation wire.Generation
	Service    string
	Instance   string
	Domain     string
	Snapshot   *routes.Snapshot
	// Table is nil before the first configuration is in force.
	Table *config.Table
	// NoWitness is true if there is no other daemon that could be a witness, or none
	// that stays. No keyed request may begin; those that run may end.
	NoWitness bool
	// Closing is true once no more work may be admitted here.
	Closing bool
}

// leaseClock holds the end of the lease where traffic reads it without a lock, as
// nanoseconds of the clock.
type leaseClock struct {
	now     func() time.Time
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

func newLeaseClock(now func() time.Time) *leaseClock {
	l := &leaseClock{now: now}
	l.context.Store(newLeaseContext())
	return l
}

func (l *leaseClock) set(until time.Time) {
	if until.IsZero() {
		l.until.Store(0)
		return
	}
	l.until.Store(until.UnixNano())
}

func (l *leaseClock) end() time.Time {
	until := l.until.Load()
	if until == 0 {
		return time.Time{}
	}
	return time.Unix(0, until)
}

func (l *leaseClock) valid() bool {
	return l.now().UnixNano() < l.until.Load()
}

// lapse cancels everything that runs under the lease that has ended.
func (l *leaseClock) lapse() {
	l.context.Swap(newLeaseContext()).cancel()
}
