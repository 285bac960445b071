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

// fleetLoad is the size of a fleet and the load that is offered to it.
type fleetLoad struct {
	targets, ingresses int
	rate               float64
	service            func(s *sim) time.Duration
	// slowdown is the factor and delay the time by which the straggler's requests take
	// longer.
	slowdown float64
	delay    time.Duration
	timeout  time.Duration
	// slowFrom is when the target becomes a straggler, for slowDuration.
	slowFrom time.Duration
}

// busyFleet is a fleet at half of its capacity, and sparseFleet one in which each
// ingress receives few requests.
func busyFleet() fleetLoad {
	return fleetLoad{
		targets: fleetSize, ingresses: fleetSize, rate: 0.5 * fleetSize * fleetSlots / fleetService.Seconds(),
		service:  func(s *sim) time.Duration { return s.exponential(fleetService) },
		slowdown: 10, timeout: 2 * time.Second, slowFrom: 10 * time.Second,
	}
}

func sparseFleet() fleetLoad {
	return fleetLoad{
		targets: 3, ingresses: 10, rate: 200,
		service:  func(s *sim) time.Duration { return 5*time.Millisecond + s.exponential(time.Millisecond) },
		slowdown: 1, delay: 200 * time.Millisecond, timeout: time.Second, slowFrom: 2 * time.Second,
	}
}

// fleet is an unkeyed service of several targets, each with its daemon.
type fleet struct {
	fleetLoad
	sim       *sim
	stations  []*station
	entries   []*ingress
	waits     []time.Duration
	slowWaits []time.Duration
	submitted int
	tries     int
	lost      int
	imbalance []float64
}

const (
	fleetSize    = 6
	fleetSlots   = 20
	fleetService = 20 * time.Millisecond
	warmUp       = 5 * time.Second
	slowDuration = 10 * time.Second
	fleetLength  = 30 * time.Second
)

func newFleet(seed uint64, load fleetLoad, opts ...admission.Option) *fleet {
	s := newSim(seed)
	f := &fleet{sim: s, fleetLoad: load}
	for i := range f.targets {
		target := &targetModel{sim: s, capacity: func() float64 { return fleetSlots }, overloadExponent: 1}
		if i == 2 {
			target.slowdown = func() float64 {
				if f.straggling() {
					return f.slowdown
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

// slowAt reports whether one target is a straggler at this time.
func (f *fleet) slowAt(at time.Duration) bool {
	return at >= f.slowFrom && at < f.slowFrom+slowDuration
}

// straggling reports whether one target is a straggler now.
func (f *fleet) straggling() bool {
	return f.slowAt(f.sim.elapsed())
}

// call is one request to a fleet, with its tries.
type call struct {
	fleet       *fleet
	in          *ingress
	submittedAt time.Time
	deadline    time.Time
	service     time.Duration
	tried       []wire.Generation
	pending     int
	done        bool
	cancels     []func()
}

func (f *fleet) submit() {
	c := &call{
		fleet:       f,
		in:          f.entries[f.sim.random.IntN(f.ingresses)],
		submittedAt: f.sim.now,
		deadline:    f.sim.now.Add(f.timeout),
		service:     f.service(f.sim),
	}
	f.submitted++
	c.in.budget.RecordRequest(f.sim.now)
	c.try()
	if delay, ok := c.in.hedge.Delay(1); ok {
		f.sim.after(delay, func() {
			if !c.done && c.in.budget.AllowRetry(f.sim.now) {
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
	j.onFinal = func(d admission.Decision, done admission.Completion) {
		c.pending--
		c.in.pool.Done(g, admission.Completion{Latency: f.sim.now.Sub(began), Result: result(d, done)}, f.sim.now)
		c.end(began, result(d, done))
	}
	c.cancels = append(c.cancels, func() { f.stations[g-1].cancel(j) })
	f.stations[g-1].submit(j)
}

// result returns how a try ended as seen by the ingress.
func result(d admission.Decision, done admission.Completion) admission.Result {
	if d.Verdict == admission.Refused {
		return admission.Shed
	}
	return done.Result
}

func (c *call) end(began time.Time, r admission.Result) {
	f := c.fleet
	if c.done {
		return
	}
	if r != admission.OK {
		if c.pending == 0 && !c.in.budget.AllowRetry(f.sim.now) {
			c.done = true
			f.count(c, f.timeout, true)
		} else if c.pending == 0 {
			c.try()
		}
		return
	}
	c.done = true
	c.in.hedge.Record(f.sim.now.Sub(began))
	f.count(c, f.sim.now.Sub(c.submittedAt), false)
	for _, cancel := range c.cancels {
		cancel()
	}
}

// count records how a request ended. A lost request counts as if it had waited until
// its timeout.
func (f *fleet) count(c *call, wait time.Duration, lost bool) {
	at := c.submittedAt.Sub(epoch)
	if at < f.slowFrom/2 {
		return
	}
	f.waits = append(f.waits, wait)
	if !f.slowAt(at) {
		return
	}
	f.slowWaits = append(f.slowWaits, wait)
	if lost {
		f.lost++
	}
}

// observe samples how unevenly the work in flight is distributed before any target
// becomes a straggler.
func (f *fleet) observe() {
	if f.sim.elapsed() >= f.slowFrom {
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

// BenchmarkStraggler makes one of six targets ten times slower for 10 s, at half of the
// capacity and without any health report of it.
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
				reportStraggler(b, 12, busyFleet(), c.opts)
			}
		})
	}
	for _, c := range cases {
		b.Run("sparse/"+c.name, func(b *testing.B) {
			for b.Loop() {
				reportStraggler(b, 20, sparseFleet(), c.opts)
			}
		})
	}
}

// reportStraggler aggregates the runs of several seeds.
func reportStraggler(b *testing.B, seeds uint64, load fleetLoad, opts []admission.Option) {
	var all fleet
	for seed := range seeds {
		f := newFleet(seed, load, append([]admission.Option{admission.WithCeiling(fleetSlots)}, opts...)...)
		f.sim.after(f.slowFrom/2, f.observe)
		f.sim.arrivals(f.rate, fleetLength, f.submit)
		f.sim.run(fleetLength + 5*time.Second)
		all.slowWaits = append(all.slowWaits, f.slowWaits...)
		all.waits = append(all.waits, f.waits...)
		all.imbalance = append(all.imbalance, f.imbalance...)
		all.lost += f.lost
		all.tries += f.tries
		all.submitted += f.submitted
	}
	imbalance := 0.0
	for _, x := range all.imbalance {
		imbalance += x / float64(len(all.imbalance))
	}
	b.ReportMetric(percentile(all.slowWaits, 0.5), "slow-p50-ms")
	b.ReportMetric(percentile(all.slowWaits, 0.99), "slow-p99-ms")
	b.ReportMetric(percentile(all.slowWaits, 0.999), "slow-p999-ms")
	b.ReportMetric(percentile(all.waits, 0.99), "p99-ms")
	b.ReportMetric(imbalance, "most/mean")
	b.ReportMetric(100*float64(all.lost)/float64(len(all.slowWaits)), "slow-%lost")
	b.ReportMetric(float64(all.tries)/float64(all.submitted), "tries/request")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkColdStart offers nine tenths of its warm capacity to a target that handles 2
// requests when cold and 20 after 10 s, that becomes cold again after 20 s without
// reporting it, and whose latency grows with the square of the overload. The fragile
// target fails all its requests and becomes cold at four times its capacity.
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

func reportColdStart(b *testing.B, collapseFactor float64, opts []admission.Option) {
	const slots, service, coldAgainAt, length = 20, 20 * time.Millisecond, 20 * time.Second, 40 * time.Second
	s := newSim(1)
	warmSince, collapses := epoch, 0
	target := &targetModel{sim: s, overloadExponent: 2, collapseFactor: collapseFactor}
	target.capacity = func() float64 { return min(2+1.8*s.now.Sub(warmSince).Seconds(), slots) }
	target.onCollapse = func() { warmSince, collapses = s.now, collapses+1 }
	s.after(coldAgainAt, func() { warmSince = s.now })
	st := newStation(s, target, opts...)
	started, served, overloaded, overloadSum := 0, 0, 0, 0.0
	st.onAdmitted = func(*job, admission.Decision) {
		started++
		share := float64(target.inFlight+1) / target.capacity()
		overloadSum += share
		if share > 1.5 {
			overloaded++
		}
	}
	s.arrivals(0.9*slots/service.Seconds(), length, func() {
		deadline := s.now.Add(500 * time.Millisecond)
		j := &job{ticket: admission.Ticket{Deadline: deadline}, service: s.exponential(service)}
		j.onFinal = func(d admission.Decision, c admission.Completion) {
			if d.Verdict == admission.Admitted && c.Result == admission.OK && !s.now.After(deadline) {
				served++
			}
		}
		st.submit(j)
	})
	s.run(length)
	b.ReportMetric(float64(served)/length.Seconds(), "in-time/s")
	b.ReportMetric(overloadSum/float64(started), "in-flight/borne")
	b.ReportMetric(100*float64(overloaded)/float64(started), "%far-beyond")
	b.ReportMetric(float64(collapses), "collapses")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPatient offers urgent requests in bursts, half of the capacity on average,
// and an unlimited supply of patient requests.
func BenchmarkPatient(b *testing.B) {
	const slots, service, length = 20, 20 * time.Millisecond, 30 * time.Second
	urgent := admission.WithTicketRewrite(func(t admission.Ticket) admission.Ticket {
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
		{"when-limit-allows", 600, []admission.Option{admission.WithPatientShare(1)}},
		{"spare", 600, nil},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				s := newSim(1)
				st := newStation(s, &targetModel{sim: s, capacity: func() float64 { return slots }, overloadExponent: 1}, c.opts...)
				var waits []time.Duration
				lost, patient := 0, 0
				submit := func(class admission.Class, wait time.Duration) {
					deadline := s.now.Add(wait)
					j := &job{
						ticket:  admission.Ticket{Class: class, Deadline: deadline},
						service: s.exponential(service),
					}
					j.onFinal = func(d admission.Decision, _ admission.Completion) {
						inTime := d.Verdict == admission.Admitted && !s.now.After(deadline)
						switch {
						case j.submittedAt.Sub(epoch) < warmUp:
						case class == admission.Patient && inTime:
							patient++
						case class == admission.Urgent && inTime:
							waits = append(waits, s.now.Sub(j.submittedAt))
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

// BenchmarkSlower makes a target slower by 200 ms, and evaluates the first 10 s.
func BenchmarkSlower(b *testing.B) {
	cases := []struct {
		name     string
		slowdown slowdown
	}{
		{"bears", slowdown{rate: 50, capacity: 20, timeout: 2 * time.Second}},
		{"bears-wait-1s", slowdown{rate: 67, capacity: 20, timeout: time.Second}},
		{"bears-barely", slowdown{rate: 80, capacity: 20, timeout: 2 * time.Second}},
		{"overloaded", slowdown{rate: 100, capacity: 4, timeout: 2 * time.Second}},
		{"cold", slowdown{rate: 50, capacity: 20, timeout: 2 * time.Second, cold: true}},
		{"for-2s", slowdown{rate: 300, capacity: 4, timeout: 2 * time.Second, duration: 2 * time.Second}},
	}
	for _, c := range cases {
		c.slowdown.length = 10 * time.Second
		b.Run(c.name+"/adaptive", func(b *testing.B) { reportSlower(b, c.slowdown) })
		b.Run(c.name+"/fixed-20", func(b *testing.B) { reportSlower(b, c.slowdown, admission.WithFixedLimit(20)) })
	}
}

// reportSlower aggregates the runs of 20 seeds.
func reportSlower(b *testing.B, c slowdown, opts ...admission.Option) {
	var all slowdownResult
	for b.Loop() {
		all = slowdownResult{}
		for seed := range uint64(20) {
			p := c.run(seed, append([]admission.Option{admission.WithCeiling(20)}, opts...)...)
			all.submitted += p.submitted
			all.served += p.served
			all.started += p.started
			all.overloaded += p.overloaded
			all.waits = append(all.waits, p.waits...)
		}
	}
	b.ReportMetric(100*float64(all.submitted-all.served)/float64(all.submitted), "%lost")
	b.ReportMetric(percentile(all.waits, 0.5), "p50-ms")
	b.ReportMetric(percentile(all.waits, 0.9), "p90-ms")
	b.ReportMetric(percentile(all.waits, 0.99), "p99-ms")
	b.ReportMetric(100*float64(all.overloaded)/float64(all.started), "%far-beyond")
	b.ReportMetric(0, "ns/op")
}
