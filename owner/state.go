package owner

import (
	"context"
	"sync/atomic"
	"time"

	"fulmarrun/config"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// ServingState is what request handling needs to know about this daemon. It is
// immutable; the control goroutine publishes a new one after each change.
type ServingState struct {
	Generation wire.Generation
	Service    string
	Instance   string
	Domain     string
	Snapshot   *routes.Snapshot
	// Table is nil until the first configuration is in force.
	Table *config.Table
	// NoWitness is true if no other daemon can be a witness, or only daemons that are
	// leaving. No keyed request may start; those that run may finish.
	NoWitness bool
	// Closing is true once this daemon may admit no more requests.
	Closing bool
}

// leaseClock holds the end of the lease in nanoseconds of the clock, so that
// request goroutines can read it without a lock.
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

// cancelContext cancels all requests that run under the lease that has ended.
func (l *leaseClock) cancelContext() {
	l.context.Swap(newLeaseContext()).cancel()
}
