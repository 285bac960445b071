package handover

import (
	"math"
	"sync"
	"time"
)

// rateDecayTime is the time in which a rate decays to 1/e once the requests stop.
const rateDecayTime = 2 * time.Second

// Rates measures the request rate of each slot. It is safe for concurrent use.
type Rates struct {
	mu        sync.Mutex
	lastDecay time.Time
	slots     map[uint32]float64
}

// NewRates returns Rates without observations.
func NewRates() *Rates { return &Rates{slots: make(map[uint32]float64)} }

// Observe counts one request to a slot.
func (r *Rates) Observe(slot uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots[slot] += 1 / rateDecayTime.Seconds()
}

// Decay decays the rates by the time since the last call and returns them.
func (r *Rates) Decay(now time.Time) []Rate {
	r.mu.Lock()
	defer r.mu.Unlock()
	decayFactor := math.Exp(-now.Sub(r.lastDecay).Seconds() / rateDecayTime.Seconds())
	r.lastDecay = now
	rates := make([]Rate, 0, len(r.slots))
	for slot, rate := range r.slots {
		if rate *= decayFactor; rate < 1e-3 {
			delete(r.slots, slot)
			continue
		}
		r.slots[slot] = rate
		rates = append(rates, Rate{Slot: slot, PerSecond: rate})
	}
	return rates
}
