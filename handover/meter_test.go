package handover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fulmarrun/handover"
	"fulmarrun/wire"
)

// meteredTarget is a simulated target that accepts a certain rate of requests.
type meteredTarget struct {
	slots     map[uint32]bool
	rateLimit float64
	offered   float64
	meter     handover.LoadMeter
	load      handover.Load
}

// perSecond returns the rate of the requests for the target's slots, and the rate of those
// that it runs with this many requests at once, each for workTime.
func (m *meteredTarget) perSecond(rates []float64, limit int, workTime time.Duration) (offered, served float64) {
	for slot := range m.slots {
		offered += rates[slot]
	}
	served = min(offered, float64(limit)/workTime.Seconds())
	if m.rateLimit > 0 {
		served = min(served, m.rateLimit)
	}
	return offered, served
}

// TestLimitedTargetsSeemIdle simulates a service of which three of four targets begin to
// limit their rate to less than half of what is offered to them. What they run is then less
// than what the fourth runs, so that by this alone it would give them keys. The fourth must
// get keys instead, until most requests are served.
func TestLimitedTargetsSeemIdle(t *testing.T) {
	const (
		slots, offered, limit = 1024, 520.0, 18
		workTime              = 60 * time.Millisecond
		rounds                = 75
	)
	random := rand.New(rand.NewPCG(1, 1))
	rates, sum := make([]float64, slots), 0.0
	for i := range rates {
		rates[i] = random.ExpFloat64()
		sum += rates[i]
	}
	for i := range rates {
		rates[i] *= offered / sum
	}
	targets := make([]meteredTarget, 4)
	for i := range targets {
		targets[i].slots = make(map[uint32]bool)
		targets[i].rateLimit = []float64{66.8, 52.4, 60, 0}[i]
	}
	for slot := range uint32(slots) {
		targets[slot%4].slots[slot] = true
	}
	now := time.Unix(100, 0)
	share, late := 0.0, 0
	for round := range rounds {
		// Load is sampled every 100 ms, and relief is planned every 400 ms.
		for range 4 {
			now = now.Add(handover.LoadSampleInterval)
			share = 0
			for i := range targets {
				m := &targets[i]
				perSecond, served := m.perSecond(rates, limit, workTime)
				m.offered += perSecond * handover.LoadSampleInterval.Seconds()
				sample := m.meter.Sample(handover.TargetLoad{
					InFlight: int(served * workTime.Seconds()), Limit: limit, Offered: uint64(m.offered), RateLimit: m.rateLimit,
				}, now)
				m.load = m.load.Update(sample)
				m.load.Generation = wire.Generation(i + 1)
				share += served / offered
			}
		}
		moved := relieveMetered(targets, rates)
		if round >= rounds/2 {
			late += moved
		}
	}
	if share < 0.85 {
		t.Errorf("%.2f of the requests are served, want 0.85: the targets could serve 0.92", share)
	}
	if late > slots/10 {
		t.Errorf("%d of %d slots moved in the second half", late, slots)
	}
}

// relieveMetered applies the moves that PlanRelief returns for each target, and counts them.
func relieveMetered(targets []meteredTarget, rates []float64) (moved int) {
	for i := range targets {
		var others []handover.Load
		for j := range targets {
			if j != i {
				others = append(others, targets[j].load)
			}
		}
		own := make([]handover.Rate, 0, len(targets[i].slots))
		for slot := range targets[i].slots {
			own = append(own, handover.Rate{Slot: slot, PerSecond: rates[slot]})
		}
		for _, m := range handover.PlanRelief("s", targets[i].load, own, others) {
			delete(targets[i].slots, m.Slot)
			targets[m.To-1].slots[m.Slot] = true
			moved++
		}
	}
	return moved
}
