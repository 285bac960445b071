package handover

import (
	"math"
	"sync"
	"time"
)

// rateWindow is the time in which a rate falls to 1/e once the requests stop.
const rateWindow = 2 * time.Second

// Rates measures how many requests each slot gets. It is safe for concurrent use.
type Rates struct {
	mu    sync.Mutex
	at    time.Time
	slots map[uint32]float64
}

// NewRates returns Rates that have seen nothing.
func NewRates() *Rates { return &Rates{slots: make(map[uint32]float64)} }

// Observe notes one request.
func (r *Rates) Observe(slot uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots[slot] += 1 / rateWindow.Seconds()
}

// Decay returns the rates at now and lets them decay since the last call.
func (r *Rates) Decay(now time.Time) []Rate {
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := math.Exp(-now.Sub(r.at).Seconds() / rateWindow.Seconds())
	r.at = now
	out := make([]Rate, 0, len(r.slots))
	for slot, rate := range r.slots {
		if rate *= keep; rate < 1e-3 {
			delete(r.slots, slot)
			continue
		}
		r.slots[slot] = rate
		out = append(out, Rate{Slot: slot, PerSecond: rate})
	}
	return out
}
