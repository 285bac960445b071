package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"fulmarrun/wire"
)

const (
	// lostWindow is how long after a request was lost at a target the end of that target may be noticed.
	lostWindow = 10 * time.Second
	// maxLost bounds the lost requests that are remembered.
	maxLost = 1024
)

// lostRequest is a request whose connection to a process of the target broke.
type lostRequest struct {
	fingerprint wire.Fingerprint
	process     string
	at          time.Time
}

// Target follows the requests of one target.
type Target struct {
	ledger *Ledger

	mu      sync.Mutex
	running map[wire.Fingerprint]int
	lost    []lostRequest
	// ended is the process that has ended last, and endedUnder the requests that it had at work.
	ended      string
	endedUnder []wire.Fingerprint
	// left is closed when a request leaves while another one waits.
	left chan struct{}
}

// NewTarget returns a Target without requests.
func NewTarget(l *Ledger) *Target {
	return &Target{ledger: l, running: make(map[wire.Fingerprint]int)}
}

// Enter admits a request, unless it is shut out, or is a suspect while another one is at work. It
// then returns a channel that is closed when Enter may be called again. An admitted request must call
// Leave.
func (t *Target) Enter(now time.Time, f wire.Fingerprint) (wait <-chan struct{}, v Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v = t.ledger.Verdict(now, f)
	switch {
	case v.ShutOut():
		return nil, v
	case v.Suspect() && t.suspectAtWork(now):
		if t.left == nil {
			t.left = make(chan struct{})
		}
		return t.left, v
	}
	t.running[f]++
	return nil, v
}

// suspectAtWork reports whether a suspect is at work. The caller holds the lock.
func (t *Target) suspectAtWork(now time.Time) bool {
	for f := range t.running {
		if t.ledger.Verdict(now, f).Suspect() {
			return true
		}
	}
	return false
}

// Leave ends a request that was admitted.
func (t *Target) Leave(f wire.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[f]--; t.running[f] <= 0 {
		delete(t.running, f)
	}
	if t.left != nil {
		close(t.left)
		t.left = nil
	}
}

// Lost records that the connection of a request to a process of the target broke before the answer
// was complete.
func (t *Target) Lost(now time.Time, f wire.Fingerprint, process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lost) >= maxLost {
		t.lost = t.lost[1:]
	}
	t.lost = append(t.lost, lostRequest{fingerprint: f, process: process, at: now})
}

// Alive records that the target accepts connections: the requests lost before were lost with their
// connections alone.
func (t *Target) Alive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = nil
}

// Ended records that a process of the target has ended. It returns the requests that were lost with it
// since the last call, and the others that it had or may have had at work.
func (t *Target) Ended(now time.Time, process string) (lost, others []wire.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended != process {
		t.ended, t.endedUnder = process, nil
	}
	others = append(slices.Collect(maps.Keys(t.running)), t.endedUnder...)
	for _, l := range t.lost {
		if l.process == process && now.Sub(l.at) <= lostWindow && len(t.endedUnder) < maxLost {
			lost, t.endedUnder = append(lost, l.fingerprint), append(t.endedUnder, l.fingerprint)
		}
	}
	t.lost = nil
	return lost, others
}
