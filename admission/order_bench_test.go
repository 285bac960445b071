package admission_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarrun/admission"
)

// requestKind is one kind of request that the simulations draw from.
type requestKind struct {
	name      string
	timeout   time.Duration
	share     float64
	served    int
	submitted int
}

// mostlyShortMix is a mix in which most requests have a short timeout.
func mostlyShortMix() []requestKind {
	return []requestKind{
		{name: "status", timeout: 100 * time.Millisecond, share: 0.4},
		{name: "slots", timeout: 300 * time.Millisecond, share: 0.2},
		{name: "booking", timeout: time.Second, share: 0.2},
		{name: "order", timeout: 3 * time.Second, share: 0.1},
		{name: "record", timeout: 3 * time.Second, share: 0.1},
	}
}

// evenMix is a mix of half short and half long timeouts.
func evenMix() []requestKind {
	return []requestKind{
		{name: "short", timeout: 100 * time.Millisecond, share: 0.5},
		{name: "long", timeout: 2 * time.Second, share: 0.5},
	}
}

// orderRun is the result of one simulation of an Order.
type orderRun struct {
	servedShare float64
	kinds       []requestKind
	waits       []time.Duration
}

// serveInOrder offers load times the capacity of a target with 20 slots and a mean
// service time of 20 ms, for 30 s.
func serveInOrder(seed uint64, mix []requestKind, load float64, order admission.Order) orderRun {
	const slots, service, length = 20, 20 * time.Millisecond, 30 * time.Second
	s := newSim(seed)
	st := newStation(s, &targetModel{sim: s, capacity: func() float64 { return slots }},
		admission.WithFixedLimit(slots), admission.WithOrder(order))
	run := orderRun{kinds: mix}
	var submitted, served float64
	s.arrivals(load*slots/service.Seconds(), length, func() {
		draw, i := s.random.Float64(), 0
		for draw -= run.kinds[0].share; draw > 0 && i < len(run.kinds)-1; i++ {
			draw -= run.kinds[i+1].share
		}
		k := &run.kinds[i]
		k.submitted++
		submitted++
		deadline := s.now.Add(k.timeout)
		j := &job{
			ticket:  admission.Ticket{Deadline: deadline},
			service: s.exponential(service),
		}
		j.onFinal = func(d admission.Decision, _ admission.Completion) {
			if d.Verdict != admission.Admitted || s.now.After(deadline) {
				return
			}
			k.served++
			served++
			run.waits = append(run.waits, s.now.Sub(j.submittedAt))
		}
		st.submit(j)
	})
	s.run(length + 10*time.Second)
	run.servedShare = served / submitted
	return run
}

func BenchmarkOrder(b *testing.B) {
	orders := []struct {
		name  string
		order admission.Order
	}{
		{"earliest", admission.EarliestDeadline},
		{"fifo", admission.FIFO},
		{"lifo", admission.LIFO},
	}
	mixes := []struct {
		name string
		mix  func() []requestKind
	}{{"usual", mostlyShortMix}, {"even", evenMix}}
	for _, m := range mixes {
		for _, load := range []float64{0.8, 1, 1.3, 2} {
			for _, o := range orders {
				b.Run(fmt.Sprintf("mix=%s/load=%.1f/%s", m.name, load, o.name), func(b *testing.B) {
					for b.Loop() {
						reportOrder(b, func(seed uint64) orderRun {
							return serveInOrder(seed, m.mix(), load, o.order)
						})
					}
				})
			}
		}
	}
}

// reportOrder reports the means of two seeds.
func reportOrder(b *testing.B, serve func(seed uint64) orderRun) {
	const seeds = 2
	var servedShare, p99, worstShare float64
	for seed := range uint64(seeds) {
		run := serve(seed)
		servedShare += run.servedShare / seeds
		p99 += percentile(run.waits, 0.99) / seeds
		worst := 1.0
		for _, k := range run.kinds {
			worst = min(worst, float64(k.served)/float64(k.submitted))
		}
		worstShare += worst / seeds
	}
	b.ReportMetric(100*servedShare, "%served")
	b.ReportMetric(100*worstShare, "%worst-kind")
	b.ReportMetric(p99, "p99-ms")
	b.ReportMetric(0, "ns/op")
}
