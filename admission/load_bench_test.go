package admission_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/wire"
)

// ingress is one daemon through which callers reach an unkeyed service.
type ingress struct {
	pool   *admission.Pool
	budget admission.RetryBudget
	hedge  *admission.Hedge
}

// shape is the size of a fleet and what it is asked for.
type shape struct {
	targets, ingresses int
	rate               float64
	service            func(s *sim) time.Duration
	// factor and delay are what the straggler's requests take longer.
	factor float64
	delay  time.Duration
	wait   time.Duration
	// from is when the target begins to straggle, for fleetSlow.
	from time.Duration
}

// busy is a fleet at half of its capacity, and sparse one of which each ingress
// sees few requests.
func busy() shape {
	return shape{
		targets: fleetSize, ingresses: fleetSize, rate: 0.5 * fleetSize * fleetSlots / fleetService.Seconds(),
		service: func(s *sim) time.Duration { return s.exponential(fleetService) },
		factor:  10, wait: 2 * time.Second, from: 10 * time.Second,
	}
}

func sparse() shape {
	return shape{
		targets: 3, ingresses: 10, rate: 200,
		service: func(s *sim) time.Duration { return 5*time.Millisecond + s.exponential(time.Millisecond) },
		factor:  1, delay: 200 * time.Millisecond, wait: time.Second, from: 2 * time.Second,
	}
}

// fleet is an unkeyed service of several targets, each with its daemon.
type fleet struct {
	shape
	sim       *sim
	stations  []*station
	entries   []*ingress
	waits     []time.Duration
	straggled []time.Duration
	asked     int
	tries     int
	lost      int
	imbalance []float64
}

const (
	fleetSize    = 6
	fleetSlots   = 20
	fleetService = 20 * time.Millisecond
	warmUp       = 5 * time.Second
	fleetSlow    = 10 * time.Second
	fleetLength  = 30 * time.Second
)

func newFleet(seed uint64, of shape, opts ...admission.Option) *fleet {
	s := newSim(seed)
	f := &fleet{sim: s, shape: of}
	for i := range f.targets {
		target := &model{sim: s, bear: func() float64 { return fleetSlots }, power: 1}
		if i == 2 {
			target.factor = func() float64 {
				if f.straggling() {
					return f.factor
				}
				return 1
			}
		}
		f.stations = append(f.stations, newStation(s, target, opts...))
	}
	for i := range f.ingresses {
		in := &ingress{
			pool:   admission.NewPool(append(opts, admission.WithSeed(seed+uint64(i)))...),
			budget: admission.NewRetryBudget(opts...),
			hedge:  admission.NewHedge(opts...),
		}
		in.pool.SetMembers(generations(f.targets), s.now)
		f.entries = append(f.entries, in)
	}
	return f
}

// slow tells whether one target straggles at this time.
func (f *fleet) slow(at time.Duration) bool {
	return at >= f.from && at < f.from+fleetSlow
}

// straggling tells whether one target straggles now.
func (f *fleet) straggling() bool {
	return f.slow(f.sim.elapsed())
}

// call is one request to a fleet, with its tries.
type call struct {
	fleet    *fleet
	in       *ingress
	asked    time.Time
	deadline time.Time
	service  time.Duration
	tried    []wire.Generation
	pending  int
	over     bool
	cancels  []func()
}

func (f *fleet) submit() {
	c := &call{
		fleet:    f,
		in:       f.entries[f.sim.random.IntN(f.ingresses)],
		asked:    f.sim.now,
		deadline: f.sim.now.Add(f.wait),
		service:  f.service(f.sim),
	}
	f.asked++
	c.in.budget.RecordRequest(f.sim.now)
	c.try()
	if delay, ok := c.in.hedge.Delay(1); ok {
		f.sim.after(delay, func() {
			if !c.over && c.in.budget.AllowRetry(f.sim.now) {
				c.try()
			}
		})
	}
}

func (c *call) try() {
	f, began := c.fleet, c.fleet.sim.now
	g, ok := c.in.pool.Pick(began, c.tried...)
	if !ok {
		return
	}
	f.tries++
	c.pending++
	c.tried = append(c.tried, g)
	c.in.pool.Start(g, began)
	j := &job{ticket: admission.Ticket{Deadline: c.deadline}, service: c.service}
	if g == 3 && f.straggling() {
		j.service += f.delay
	}
	j.final = func(d admission.Decision, done admission.Completion) {
		c.pending--
		c.in.pool.Done(g, admission.Completion{Latency: f.sim.now.Sub(began), Result: result(d, done)}, f.sim.now)
		c.end(began, result(d, done))
	}
	c.cancels = append(c.cancels, func() { f.stations[g-1].cancel(j) })
	f.stations[g-1].submit(j)
}

// result tells the ingress how a try ended.
func result(d admission.Decision, done admission.Completion) admission.Result {
	if d.Verdict == admission.Refused {
		return admission.Shed
	}
	return done.Result
}

func (c *call) end(began time.Time, r admission.Result) {
	f := c.fleet
	if c.over {
		return
	}
	if r != admission.OK {
		if c.pending == 0 && !c.in.budget.AllowRetry(f.sim.now) {
			c.over = true
			f.count(c, f.wait, true)
		} else if c.pending == 0 {
			c.try()
		}
		return
	}
	c.over = true
	c.in.hedge.Record(f.sim.now.Sub(began))
	f.count(c, f.sim.now.Sub(c.asked), false)
	for _, cancel := range c.cancels {
		cancel()
	}
}

// count takes in how a request ended. One that was lost counts as if it had
// waited as long as it might.
func (f *fleet) count(c *call, wait time.Duration, lost bool) {
	at := c.asked.Sub(epoch)
	if at < f.from/2 {
		return
	}
	f.waits = append(f.waits, wait)
	if !f.slow(at) {
		return
	}
	f.straggled = append(f.straggled, wait)
	if lost {
		f.lost++
	}
}

// observe samples how unevenly the work in flight is spread before any target
// straggles.
func (f *fleet) observe() {
	if f.sim.elapsed() >= f.from {
		return
	}
	sum, most := 0, 0
	for _, st := range f.stations {
		n := st.core.Stats(f.sim.now)
		sum, most = sum+n.InFlight+n.Queued, max(most, n.InFlight+n.Queued)
	}
	if sum > 0 {
		f.imbalance = append(f.imbalance, float64(most*f.targets)/float64(sum))
	}
	f.sim.after(10*time.Millisecond, f.observe)
}

// BenchmarkStraggler has one of six targets be ten times slower for 10 s, while
// no report says so, at half of the capacity.
func BenchmarkStraggler(b *testing.B) {
	noHedge := admission.WithMaxHedgeCost(-1)
	cases := []struct {
		name string
		opts []admission.Option
	}{
		{"round-robin-fixed-limit", []admission.Option{
			admission.WithRoundRobin(), admission.WithMaxEjectShare(0), noHedge, admission.WithFixedLimit(fleetSlots),
		}},
		{"round-robin", []admission.Option{admission.WithRoundRobin(), admission.WithMaxEjectShare(0), noHedge}},
		{"two-choices", []admission.Option{admission.WithMaxEjectShare(0), noHedge}},
		{"ejection", []admission.Option{noHedge}},
		{"hedge", nil},
	}
	for _, c := range cases {
		b.Run("busy/"+c.name, func(b *testing.B) {
			for b.Loop() {
				reportStraggler(b, 12, busy(), c.opts)
			}
		})
	}
	for _, c := range cases {
		b.Run("sparse/"+c.name, func(b *testing.B) {
			for b.Loop() {
				reportStraggler(b, 20, sparse(), c.opts)
			}
		})
	}
}

// reportStraggler takes the runs of so many seeds together.
func reportStraggler(b *testing.B, seeds uint64, of shape, opts []admission.Option) {
	var all fleet
	for seed := range seeds {
		f := newFleet(seed, of, append([]admission.Option{admission.WithCeiling(fleetSlots)}, opts...)...)
		f.sim.after(f.from/2, f.observe)
		f.sim.arrivals(f.rate, fleetLength, f.submit)
		f.sim.run(fleetLength + 5*time.Second)
		all.straggled = append(all.straggled, f.straggled...)
		all.waits = append(all.waits, f.waits...)
		all.imbalance = append(all.imbalance, f.imbalance...)
		all.lost += f.lost
		all.tries += f.tries
		all.asked += f.asked
	}
	imbalance := 0.0
	for _, x := range all.imbalance {
		imbalance += x / float64(len(all.imbalance))
	}
	b.ReportMetric(percentile(all.straggled, 0.5), "slow-p50-ms")
	b.ReportMetric(percentile(all.straggled, 0.99), "slow-p99-ms")
	b.ReportMetric(percentile(all.straggled, 0.999), "slow-p999-ms")
	b.ReportMetric(percentile(all.waits, 0.99), "p99-ms")
	b.ReportMetric(imbalance, "most/mean")
	b.ReportMetric(100*float64(all.lost)/float64(len(all.straggled)), "slow-%lost")
	b.ReportMetric(float64(all.tries)/float64(all.asked), "tries/request")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkColdStart offers nine tenths of its warm capacity to a target that
// bears 2 requests when cold and 20 after 10 s of warming, that turns cold again
// after 20 s without a word, and whose work takes longer by the square of what
// is too much. The fragile one fails all its work and is cold again at four times
// what it bears.
func BenchmarkColdStart(b *testing.B) {
	cases := []struct {
		name string
		opts []admission.Option
	}{
		{"no-limit", []admission.Option{admission.WithFixedLimit(1 << 20)}},
		{"fixed-20", []admission.Option{admission.WithFixedLimit(20)}},
		{"adaptive", nil},
	}
	for _, collapse := range []float64{0, 4} {
		for _, c := range cases {
			name := "slows/" + c.name
			if collapse > 0 {
				name = "fragile/" + c.name
			}
			b.Run(name, func(b *testing.B) {
				for b.Loop() {
					reportColdStart(b, collapse, c.opts)
				}
			})
		}
	}
}

func reportColdStart(b *testing.B, collapse float64, opts []admission.Option) {
	const slots, service, turn, length = 20, 20 * time.Millisecond, 20 * time.Second, 40 * time.Second
	s := newSim(1)
	warmSince, collapses := epoch, 0
	target := &model{sim: s, power: 2, collapse: collapse}
	target.bear = func() float64 { return min(2+1.8*s.now.Sub(warmSince).Seconds(), slots) }
	target.collapsed = func() { warmSince, collapses = s.now, collapses+1 }
	s.after(turn, func() { warmSince = s.now })
	st := newStation(s, target, opts...)
	begun, served, far, times := 0, 0, 0, 0.0
	st.admitted = func(*job, admission.Decision) {
		begun++
		share := float64(target.inFlight+1) / target.bear()
		times += share
		if share > 1.5 {
			far++
		}
	}
	s.arrivals(0.9*slots/service.Seconds(), length, func() {
		deadline := s.now.Add(500 * time.Millisecond)
		j := &job{ticket: admission.Ticket{Deadline: deadline}, service: s.exponential(service)}
		j.final = func(d admission.Decision, c admission.Completion) {
			if d.Verdict == admission.Admitted && c.Result == admission.OK && !s.now.After(deadline) {
				served++
			}
		}
		st.submit(j)
	})
	s.run(length)
	b.ReportMetric(float64(served)/length.Seconds(), "in-time/s")
	b.ReportMetric(times/float64(begun), "in-flight/borne")
	b.ReportMetric(100*float64(far)/float64(begun), "%far-beyond")
	b.ReportMetric(float64(collapses), "collapses")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPatient offers urgent work that comes in bursts, half of the capacity
// on average, and patient work without end.
func BenchmarkPatient(b *testing.B) {
	const slots, service, length = 20, 20 * time.Millisecond, 30 * time.Second
	urgent := admission.WithClassify(func(t admission.Ticket) admission.Ticket {
		t.Class = admission.Urgent
		return t
	})
	cases := []struct {
		name    string
		patient float64
		opts    []admission.Option
	}{
		{"none", 0, nil},
		{"as-urgent", 600, []admission.Option{urgent}},
		{"when-limit-allows", 600, []admission.Option{admission.WithSpare(1)}},
		{"spare", 600, nil},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				s := newSim(1)
				st := newStation(s, &model{sim: s, bear: func() float64 { return slots }, power: 1}, c.opts...)
				var waits []time.Duration
				lost, patient := 0, 0
				submit := func(class admission.Class, wait time.Duration) {
					deadline := s.now.Add(wait)
					j := &job{
						ticket:  admission.Ticket{Class: class, Deadline: deadline},
						service: s.exponential(service),
					}
					j.final = func(d admission.Decision, _ admission.Completion) {
						inTime := d.Verdict == admission.Admitted && !s.now.After(deadline)
						switch {
						case j.asked.Sub(epoch) < warmUp:
						case class == admission.Patient && inTime:
							patient++
						case class == admission.Urgent && inTime:
							waits = append(waits, s.now.Sub(j.asked))
						case class == admission.Urgent:
							lost++
						}
					}
					st.submit(j)
				}
				s.arrivals(800, length, func() {
					if s.elapsed()%(2*time.Second) < time.Second || s.random.IntN(4) == 0 {
						submit(admission.Urgent, 500*time.Millisecond)
					}
				})
				if c.patient > 0 {
					s.arrivals(c.patient, length, func() { submit(admission.Patient, 10*time.Second) })
				}
				s.run(length)
				b.ReportMetric(float64(patient)/(length-warmUp).Seconds(), "patient/s")
				b.ReportMetric(percentile(waits, 0.5), "urgent-p50-ms")
				b.ReportMetric(percentile(waits, 0.99), "urgent-p99-ms")
				b.ReportMetric(100*float64(lost)/float64(lost+len(waits)), "%urgent-lost")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkSlower has a target become slower by 200 ms, and counts the first 10 s.
func BenchmarkSlower(b *testing.B) {
	cases := []struct {
		name   string
		change change
	}{
		{"bears", change{rate: 50, bear: 20, wait: 2 * time.Second}},
		{"bears-wait-1s", change{rate: 67, bear: 20, wait: time.Second}},
		{"bears-barely", change{rate: 80, bear: 20, wait: 2 * time.Second}},
		{"overloaded", change{rate: 100, bear: 4, wait: 2 * time.Second}},
		{"cold", change{rate: 50, bear: 20, wait: 2 * time.Second, cold: true}},
		{"for-2s", change{rate: 300, bear: 4, wait: 2 * time.Second, lasts: 2 * time.Second}},
	}
	for _, c := range cases {
		c.change.length = 10 * time.Second
		b.Run(c.name+"/adaptive", func(b *testing.B) { reportSlower(b, c.change) })
		b.Run(c.name+"/fixed-20", func(b *testing.B) { reportSlower(b, c.change, admission.WithFixedLimit(20)) })
	}
}

// reportSlower takes the runs of 20 seeds together.
func reportSlower(b *testing.B, c change, opts ...admission.Option) {
	var all pace
	for b.Loop() {
		all = pace{}
		for seed := range uint64(20) {
			p := c.run(seed, append([]admission.Option{admission.WithCeiling(20)}, opts...)...)
			all.asked += p.asked
			all.served += p.served
			all.begun += p.begun
			all.beyond += p.beyond
			all.waits = append(all.waits, p.waits...)
		}
	}
	b.ReportMetric(100*float64(all.asked-all.served)/float64(all.asked), "%lost")
	b.ReportMetric(percentile(all.waits, 0.5), "p50-ms")
	b.ReportMetric(percentile(all.waits, 0.9), "p90-ms")
	b.ReportMetric(percentile(all.waits, 0.99), "p99-ms")
	b.ReportMetric(100*float64(all.beyond)/float64(all.begun), "%far-beyond")
	b.ReportMetric(0, "ns/op")
}
