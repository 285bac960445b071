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
	value  float64
	share  float64
	served int
	asked  int
}

// usual is a mix in which the requests that can wait long are worth the most,
// as in the letters of the users.
func usual() []kind {
	return []kind{
		{name: "status", wait: 100 * time.Millisecond, value: 1, share: 0.4},
		{name: "slots", wait: 300 * time.Millisecond, value: 3, share: 0.2},
		{name: "booking", wait: time.Second, value: 10, share: 0.2},
		{name: "order", wait: 3 * time.Second, value: 10, share: 0.1},
		{name: "record", wait: 3 * time.Second, value: 2, share: 0.1},
	}
}

// crossed is a mix in which wait and value tell nothing of each other.
func crossed() []kind {
	return []kind{
		{name: "short cheap", wait: 100 * time.Millisecond, value: 1, share: 0.25},
		{name: "short dear", wait: 100 * time.Millisecond, value: 10, share: 0.25},
		{name: "long cheap", wait: 2 * time.Second, value: 1, share: 0.25},
		{name: "long dear", wait: 2 * time.Second, value: 10, share: 0.25},
	}
}

// orderRun is what one simulation of an Order gave.
type orderRun struct {
	count, value float64
	kinds        []kind
	waits        []time.Duration
}

// serveInOrder offers load times the capacity of a target with 20 slots and a
// mean service time of 20 ms, for 30 s.
func serveInOrder(seed uint64, mix []kind, load float64, order admission.Order, opts ...admission.Option) orderRun {
	const slots, service, length = 20, 20 * time.Millisecond, 30 * time.Second
	s := newSim(seed)
	st := newStation(s, &model{sim: s, bear: func() float64 { return slots }},
		append(opts, admission.WithFixedLimit(slots), admission.WithOrder(order))...)
	run := orderRun{kinds: mix}
	var asked, askedValue, served, servedValue float64
	s.arrivals(load*slots/service.Seconds(), length, func() {
		draw, i := s.random.Float64(), 0
		for draw -= run.kinds[0].share; draw > 0 && i < len(run.kinds)-1; i++ {
			draw -= run.kinds[i+1].share
		}
		k := &run.kinds[i]
		k.asked++
		asked++
		askedValue += k.value
		deadline := s.now.Add(k.wait)
		j := &job{
			ticket:  admission.Ticket{Deadline: deadline, Value: k.value},
			service: s.exponential(service),
		}
		j.final = func(d admission.Decision, _ admission.Completion) {
			if d.Verdict != admission.Admitted || s.now.After(deadline) {
				return
			}
			k.served++
			served++
			servedValue += k.value
			run.waits = append(run.waits, s.now.Sub(j.asked))
		}
		st.submit(j)
	})
	s.run(length + 10*time.Second)
	run.count, run.value = served/asked, servedValue/askedValue
	return run
}

func BenchmarkOrder(b *testing.B) {
	blind := admission.WithClassify(func(ticket admission.Ticket) admission.Ticket {
		ticket.Value = 0
		return ticket
	})
	orders := []struct {
		name  string
		order admission.Order
		opts  []admission.Option
	}{
		{"earliest", admission.EarliestDeadline, nil},
		{"earliest-blind", admission.EarliestDeadline, []admission.Option{blind}},
		{"fifo", admission.FirstIn, nil},
		{"fifo-blind", admission.FirstIn, []admission.Option{blind}},
		{"lifo", admission.LastIn, nil},
		{"lifo-blind", admission.LastIn, []admission.Option{blind}},
		{"greedy", admission.GreatestValue, nil},
	}
	mixes := []struct {
		name string
		mix  func() []kind
	}{{"usual", usual}, {"crossed", crossed}}
	for _, m := range mixes {
		for _, load := range []float64{0.8, 1, 1.3, 2} {
			for _, o := range orders {
				b.Run(fmt.Sprintf("mix=%s/load=%.1f/%s", m.name, load, o.name), func(b *testing.B) {
					for b.Loop() {
						reportOrder(b, func(seed uint64) orderRun {
							return serveInOrder(seed, m.mix(), load, o.order, o.opts...)
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
	var count, value, p99, least float64
	for seed := range uint64(seeds) {
		run := serve(seed)
		count += run.count / seeds
		value += run.value / seeds
		p99 += percentile(run.waits, 0.99) / seeds
		worst := 1.0
		for _, k := range run.kinds {
			worst = min(worst, float64(k.served)/float64(k.asked))
		}
		least += worst / seeds
	}
	b.ReportMetric(100*count, "%served")
	b.ReportMetric(100*value, "%value")
	b.ReportMetric(100*least, "%worst-kind")
	b.ReportMetric(p99, "p99-ms")
	b.ReportMetric(0, "ns/op")
}
