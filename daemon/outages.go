package daemon

import (
	"sync"
	"time"

	"fulmarrun/wire"
)

// outages notes since when other daemons can't be reached. It is safe for concurrent
// use; the zero value knows of none.
type outages struct {
	mu    sync.RWMutex
	since map[wire.Generation]time.Time
}

// begin notes that a daemon can't be reached, and reports whether that is new.
func (o *outages) begin(g wire.Generation, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.since[g]; known {
		return false
	}
	if o.since == nil {
		o.since = make(map[wire.Generation]time.Time)
	}
	o.since[g] = now
	return true
}

// end notes that a daemon can be reached, and returns since when it could not be; ok is
// false if that was not noted.
func (o *outages) end(g wire.Generation) (since time.Time, ok bool) {
	o.mu.RLock()
	since, ok = o.since[g]
	o.mu.RUnlock()
	if !ok {
		return time.Time{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// Another may have noted it meanwhile.
	since, ok = o.since[g]
	delete(o.since, g)
	return since, ok
}

// retain forgets the daemons for which keep is false.
func (o *outages) retain(keep func(wire.Generation) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for g := range o.since {
		if !keep(g) {
			delete(o.since, g)
		}
	}
}
