package outcome_test

import (
	"fmt"
	"time"

	"fulmarrun/outcome"
	"fulmarrun/wire"
)

// retain is the retention of the ledgers in a world.
const retain = 5 * time.Second

// mutation breaks one rule on purpose.
type mutation struct {
	name string
	// seed is one that meets the fault early; 1 if zero.
	seed int64
	// options break the ledger.
	options []outcome.Option
	// The others break what a daemon does with it.
	dropMemory   bool
	noFloor      bool
	cutAsWhole   bool
	notRunAfter  bool
	forgetCancel bool
	alwaysFresh  bool
	lateFresh    bool
	staleReject  bool
	noLeaseCheck bool
}

// call is one request ID with what the oracle knows of it.
type call struct {
	id        string
	timed     bool
	ingress   bool
	forwarded bool
	runs      int
	// began is when the latest run was begun, in true time.
	began time.Time
}

// frame is a request on its way to one incarnation of a daemon.
type frame struct {
	call       *call
	to         int
	generation int
	// epoch is that of the ownership by which the sender routed it.
	epoch int
	fresh bool
}

// run is a request that a ledger said to run.
type run struct {
	frame
	began  time.Time
	handed bool
	fate   int
}

// The fates of a request at the target.
const (
	fateNotSent = iota
	fateWhole
	fateCut
	fateLost
	fateCancelled
	fates
)

// daemon is one that can own the unit.
type daemon struct {
	ledger     *outcome.Ledger
	generation int
	// epoch is that of the ownership that the daemon knows of.
	epoch  int
	offset time.Duration
}

// world is three daemons, one unit, and the requests on their way.
type world struct {
	mutation mutation
	now      time.Time
	daemons  [3]daemon
	owner    int
	epoch    int
	calls    []*call
	frames   []frame
	runs     []run
	// fault is the first violation.
	fault string
	stats stats
}

// stats counts what a run of the property met.
type stats struct {
	ran, replayed, unknown, rejected, notRun, lost, moved int
}

func (s *stats) add(o stats) {
	s.ran += o.ran
	s.replayed += o.replayed
	s.unknown += o.unknown
	s.rejected += o.rejected
	s.notRun += o.notRun
	s.lost += o.lost
	s.moved += o.moved
}

func newWorld(m mutation) *world {
	w := &world{mutation: m, now: start, epoch: 1}
	for i := range w.daemons {
		w.daemons[i].ledger = w.newLedger()
	}
	w.daemons[0].epoch = 1
	w.daemons[0].ledger.Open(slot, time.Time{})
	return w
}

func (w *world) newLedger() *outcome.Ledger {
	bounds := func(l *outcome.Ledger) {
		outcome.WithSkew(skew)(l)
		outcome.WithRetention(retain)(l)
		outcome.WithMaxRecords(4)(l)
		outcome.WithMaxAnswerMemory(200)(l)
	}
	return outcome.NewLedger(append([]outcome.Option{bounds}, w.mutation.options...)...)
}

func (w *world) clock(d int) time.Time { return w.now.Add(w.daemons[d].offset) }

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func pick[T any](s []T, n int) *T {
	if len(s) == 0 {
		return nil
	}
	return &s[n%len(s)]
}

// create makes an ID: at the ingress of a daemon, or at a caller whose clock may
// be anything.
func (w *world) create(a, b int) {
	n := len(w.calls)
	c := &call{timed: true}
	switch {
	case a%6 == 0:
		c.timed, c.id = false, fmt.Sprint("order-", n)
	case a%6 < 3:
		c.ingress, c.id = true, timedID(w.clock(b%3), n)
	default:
		c.id = timedID(w.now.Add(time.Duration(b%9-4)*skew/2), n)
	}
	w.calls = append(w.calls, c)
}

// send forwards one of the latest IDs to the owner or to any daemon.
func (w *world) send(a, b int) {
	recent := w.calls[max(0, len(w.calls)-4):]
	c := pick(recent, a)
	if c == nil {
		return
	}
	to := w.owner
	if b%4 == 0 {
		to = b / 4 % 3
	}
	fresh := (*c).ingress && !(*c).forwarded
	(*c).forwarded = true
	w.frames = append(w.frames, frame{call: *c, to: to, generation: w.daemons[to].generation, epoch: w.epoch, fresh: fresh})
}

// deliver hands any frame to its daemon: late, crossed, and again if b says so,
// in which case the sender did it and the copy isn't fresh.
func (w *world) deliver(a, b int) {
	if len(w.frames) == 0 {
		return
	}
	i := a % len(w.frames)
	f := w.frames[i]
	if b%4 == 0 {
		w.frames[i].fresh = false
	} else {
		w.frames = append(w.frames[:i:i], w.frames[i+1:]...)
	}
	d := &w.daemons[f.to]
	if f.generation != d.generation || b%7 == 0 {
		return
	}
	fresh := f.fresh && (f.epoch == d.epoch || w.mutation.lateFresh) || w.mutation.alwaysFresh
	decision := d.ledger.Begin(w.clock(f.to), slot, f.call.id, fresh)
	switch decision.Action {
	case outcome.Run:
		w.runs = append(w.runs, run{frame: frame{f.call, f.to, f.generation, d.epoch, fresh}, began: w.now})
	case outcome.Replay:
		w.stats.replayed++
		w.tellWhole(f.call, decision.Response)
	case outcome.Unknown:
		w.stats.unknown++
	case outcome.Reject:
		if w.leased(f.to, d.epoch) || w.mutation.staleReject {
			w.stats.rejected++
			w.tellNotRun(f.call, decision.Response.Reason)
		}
	}
}

func (w *world) leased(d, epoch int) bool { return w.owner == d && w.epoch == epoch }

// tellNotRun is the oracle for a refusal.
func (w *world) tellNotRun(c *call, reason string) {
	if c.runs > 0 && (c.timed || w.now.Sub(c.began) <= retain) {
		w.fail("%s was told not run (%s) and ran", c.id, reason)
	}
}

// tellWhole is the oracle for an answer.
func (w *world) tellWhole(c *call, resp *wire.Response) {
	if want := "answer to " + c.id; string(resp.Body) != want {
		w.fail("%s was answered %q", c.id, resp.Body)
	}
}

// hand gives a run to the target, after the check of the lease.
func (w *world) hand(a, b int) {
	r := pick(w.runs, a)
	if r == nil || r.handed {
		return
	}
	d := &w.daemons[r.to]
	r.handed, r.fate = true, b%fates
	if r.generation != d.generation {
		r.fate = fateCancelled
		return
	}
	if !w.leased(r.to, r.epoch) && !w.mutation.noLeaseCheck {
		d.ledger.Finish(slot, r.call.id, &wire.Response{})
		r.generation = -1
		if r.fresh {
			w.tellNotRun(r.call, "lease")
		}
		return
	}
	if r.fate == fateNotSent || r.fate == fateLost {
		return
	}
	w.stats.ran++
	c := r.call
	if c.runs > 0 && (c.timed || r.began.Sub(c.began) <= retain) {
		w.fail("%s ran twice", c.id)
	}
	c.runs++
	c.began = r.began
}

// complete brings the target's answer back.
func (w *world) complete(a int) {
	if len(w.runs) == 0 || !w.runs[a%len(w.runs)].handed {
		return
	}
	i := a % len(w.runs)
	r := w.runs[i]
	w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
	d := &w.daemons[r.to]
	if r.generation != d.generation {
		return
	}
	resp := w.response(r)
	if w.now.Sub(r.began) > retain {
		// A caller's wait is far shorter than the retention.
		resp = &wire.Response{Outcome: wire.OutcomeUnknown}
	}
	if r.fate == fateCancelled && w.mutation.forgetCancel {
		d.ledger.Abandon(slot, r.call.id)
		return
	}
	d.ledger.Finish(slot, r.call.id, resp)
	switch resp.Outcome {
	case wire.OutcomeNotRun:
		w.stats.notRun++
		w.tellNotRun(r.call, "target")
	case wire.OutcomeAnswered:
		w.tellWhole(r.call, resp)
	}
}

// response is what the client of the target makes of a fate.
func (w *world) response(r run) *wire.Response {
	whole := "answer to " + r.call.id
	switch {
	case r.fate == fateNotSent, r.fate != fateWhole && w.mutation.notRunAfter:
		return &wire.Response{Outcome: wire.OutcomeNotRun}
	case r.fate == fateWhole:
		return answered(whole)
	case r.fate == fateCut && w.mutation.cutAsWhole:
		return answered(whole[:len(whole)/2])
	}
	return &wire.Response{Outcome: wire.OutcomeUnknown}
}

// move hands the unit over as planned.
func (w *world) move(a int) {
	to := a % 3
	if to == w.owner {
		return
	}
	old := &w.daemons[w.owner]
	old.ledger.Freeze(slot)
	m, ok := old.ledger.Export(slot)
	if !ok {
		w.fail("the owner has no memory")
		return
	}
	data, err := wire.Encode(&m)
	var got wire.RecordHandover
	if err != nil || wire.Decode(data, &got) != nil {
		w.fail("memory does not survive the wire")
	}
	if w.mutation.dropMemory {
		got.Records = nil
	}
	w.daemons[to].ledger.Drop(slot)
	w.daemons[to].ledger.Import(got)
	old.ledger.Drop(slot)
	w.own(to)
	w.stats.moved++
}

// lose takes the unit from its owner, which restarts or just sleeps on with its
// old ledger.
func (w *world) lose(a, b int) {
	if a%2 == 0 {
		d := &w.daemons[w.owner]
		d.ledger = w.newLedger()
		d.generation++
	}
	to := b % 3
	since := w.clock(to)
	if w.mutation.noFloor {
		since = time.Time{}
	}
	w.daemons[to].ledger.Open(slot, since)
	w.own(to)
	w.stats.lost++
}

func (w *world) own(d int) {
	w.epoch++
	w.owner = d
	w.daemons[d].epoch = w.epoch
}

func (w *world) advance(a int) {
	steps := []time.Duration{time.Millisecond, time.Millisecond, skew / 2, skew, 2 * skew, retain / 2, retain + 3*skew}
	w.now = w.now.Add(steps[a%len(steps)])
}

// adjust sets a clock anywhere within the bound.
func (w *world) adjust(a, b int) {
	w.daemons[a%3].offset = time.Duration(b%5-2) * skew / 4
}

func (w *world) expire() {
	for i := range w.daemons {
		w.daemons[i].ledger.Expire(w.clock(i))
	}
}
