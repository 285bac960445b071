package admission_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarrun/admission"
)

// kind is one line of the price list that the simulations draw from.
type kind struct {
	name   string
	wait   time.Duration
	share  float64
	served int
	asked  int
}

// usual is a mix in which most requests can't wait long.
func usual() []kind {
	return []kind{
		{name: "status", wait: 100 * time.Millisecond, share: 0.4},
		{name: "slots", wait: 300 * time.Millisecond, share: 0.2},
		{name: "booking", wait: time.Second, share: 0.2},
		{name: "order", wait: 3 * time.Second, share: 0.1},
		{name: "record", wait: 3 * time.Second, share: 0.1},
	}
}

// even is a mix of half short and half long waits.
func even() []kind {
	return []kind{
		{name: "short", wait: 100 * time.Millisecond, share: 0.5},
		{name: "long", wait: 2 * time.Second, share: 0.5},
	}
}

// orderRun is what one simulation of an Order gave.
type orderRun struct {
	count float64
	kinds []kind
	waits []time.Duration
}

// serveInOrder offers load times the capacity of a target with 20 slots and a
// mean service time of 20 ms, for 30 s.
func serveInOrder(seed uint64, mix []kind, load float64, order admission.Order) orderRun {
	const slots, service, length = 20, 20 * time.Millisecond, 30 * time.Second
	s := newSim(seed)
	st := newStation(s, &model{sim: s, bear: func() float64 { return slots }},
		admission.WithFixedLimit(slots), admission.WithOrder(order))
	run := orderRun{kinds: mix}
	var asked, served float64
	s.arrivals(load*slots/service.Seconds(), length, func() {
		draw, i := s.random.Float64(), 0
		for draw -= run.kinds[0].share; draw > 0 && i < len(run.kinds)-1; i++ {
			draw -= run.kinds[i+1].share
		}
		k := &run.kinds[i]
		k.asked++
		asked++
		deadline := s.now.Add(k.wait)
		j := &job{
			ticket:  admission.Ticket{Deadline: deadline},
			service: s.exponential(service),
		}
		j.final = func(d admission.Decision, _ admission.Completion) {
			if d.Verdict != admission.Admitted || s.now.After(deadline) {
				return
			}
			k.served++
			served++
			run.waits = append(run.waits, s.now.Sub(j.asked))
		}
		st.submit(j)
	})
	s.run(length + 10*time.Second)
	run.count = served / asked
	return run
}

func BenchmarkOrder(b *testing.B) {
	orders := []struct {
		name  string
		order admission.Order
	}{
		{"earliest", admission.EarliestDeadline},
		{"fifo", admission.FirstIn},
		{"lifo", admission.LastIn},
	}
	mixes := []struct {
		name string
		mix  func() []kind
	}{{"usual", usual}, {"even", even}}
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
	var count, p99, least float64
	for seed := range uint64(seeds) {
		run := serve(seed)
		count += run.count / seeds
		p99 += percentile(run.waits, 0.99) / seeds
		worst := 1.0
		for _, k := range run.kinds {
			worst = min(worst, float64(k.served)/float64(k.asked))
		}
		least += worst / seeds
	}
	b.ReportMetric(100*count, "%served")
	b.ReportMetric(100*least, "%worst-kind")
	b.ReportMetric(p99, "p99-ms")
	b.ReportMetric(0, "ns/op")
}
