package daemon

import (
	"sync"
	"time"

	"fulmarrun/wire"
)

// outages records since when other daemons have been unreachable. It is safe for
// concurrent use; the zero value is empty.
type outages struct {
	mu sync.RWMutex
	// since is when each unreachable daemon became unreachable.
	since map[wire.Generation]time.Time
}

// begin records that a daemon is unreachable and reports whether that is new.
func (o *outages) begin(g wire.Generation, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, recorded := o.since[g]; recorded {
		return false
	}
	if o.since == nil {
		o.since = make(map[wire.Generation]time.Time)
	}
	o.since[g] = now
	return true
}

// end records that a daemon is reachable and returns since when it was not. ok is false
// if no outage was recorded.
func (o *outages) end(g wire.Generation) (since time.Time, ok bool) {
	o.mu.RLock()
	since, ok = o.since[g]
	o.mu.RUnlock()
	if !ok {
		return time.Time{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// Another goroutine may have ended the outage before the write lock was acquired.
	since, ok = o.since[g]
	delete(o.since, g)
	return since, ok
}

// retain drops the daemons for which keep returns false.
func (o *outages) retain(keep func(wire.Generation) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for g := range o.since {
		if !keep(g) {
			delete(o.since, g)
		}
	}
}
