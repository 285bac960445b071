package outcome_test

import (
	"fmt"
	"time"

	"fulmarrun/outcome"
	"fulmarrun/wire"
)

// retention is the retention of the ledgers of a world.
const retention = 5 * time.Second

// mutation breaks one rule deliberately.
type mutation struct {
	name string
	// seed is a seed that detects the fault early; zero means 1.
	seed int64
	// options break a rule of the ledger.
	options []outcome.Option
	// The other fields break rules of the daemon that uses the ledger.
	dropRecords   bool
	noFloor       bool
	cutAsComplete bool
	notRunAfter   bool
	forgetCancel  bool
	alwaysFresh   bool
	lateFresh     bool
	staleReject   bool
	noLeaseCheck  bool
}

// call is one request ID with the oracle's record of it.
type call struct {
	id        string
	timed     bool
	ingress   bool
	forwarded bool
	runs      int
	// began is the start of the latest run, by the true time.
	began time.Time
}

// frame is a request in flight to one incarnation of a daemon.
type frame struct {
	call       *call
	to         int
	generation int
	// epoch is the epoch of the ownership by which the sender routed the frame.
	epoch int
	fresh bool
}

// run is a request for which a ledger returned Run.
type run struct {
	frame
	began time.Time
	sent  bool
	fate  int
}

// The possible results of a request at the target.
const (
	fateNotSent = iota
	fateComplete
	fateCut
	fateLost
	fateCancelled
	fates
)

// daemon is a daemon that can own the unit.
type daemon struct {
	ledger     *outcome.Ledger
	generation int
	// epoch is the epoch of the latest ownership that the daemon knows.
	epoch  int
	offset time.Duration
}

// world holds three daemons, one unit, and the requests in flight.
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

// stats counts the events in a run of the property.
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
		outcome.WithRetention(retention)(l)
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

// create creates an ID at the ingress of a daemon, or at a caller whose clock is
// arbitrary.
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

// deliver delivers any frame to its daemon, late and in any order. Depending on b the
// frame also stays in flight as a copy that the sender sent again, which isn't fresh.
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
		w.checkAnswer(f.call, decision.Response)
	case outcome.Unknown:
		w.stats.unknown++
	case outcome.Reject:
		if w.leased(f.to, d.epoch) || w.mutation.staleReject {
			w.stats.rejected++
			w.checkNotRun(f.call, decision.Response.Reason)
		}
	}
}

func (w *world) leased(d, epoch int) bool { return w.owner == d && w.epoch == epoch }

// checkNotRun checks the answer that a request did not run.
func (w *world) checkNotRun(c *call, reason string) {
	if c.runs > 0 && (c.timed || w.now.Sub(c.began) <= retention) {
		w.fail("%s was answered not run (%s) but has run", c.id, reason)
	}
}

// checkAnswer checks a complete answer.
func (w *world) checkAnswer(c *call, resp *wire.Response) {
	if want := "answer to " + c.id; string(resp.Body) != want {
		w.fail("%s got the wrong answer %q", c.id, resp.Body)
	}
}

// hand sends a run to the target after checking the lease.
func (w *world) hand(a, b int) {
	r := pick(w.runs, a)
	if r == nil || r.sent {
		return
	}
	d := &w.daemons[r.to]
	r.sent, r.fate = true, b%fates
	if r.generation != d.generation {
		r.fate = fateCancelled
		return
	}
	if !w.leased(r.to, r.epoch) && !w.mutation.noLeaseCheck {
		d.ledger.Finish(slot, r.call.id, &wire.Response{})
		r.generation = -1
		if r.fresh {
			w.checkNotRun(r.call, "lease")
		}
		return
	}
	if r.fate == fateNotSent || r.fate == fateLost {
		return
	}
	w.stats.ran++
	c := r.call
	if c.runs > 0 && (c.timed || r.began.Sub(c.began) <= retention) {
		w.fail("%s ran twice", c.id)
	}
	c.runs++
	c.began = r.began
}

// complete delivers the target's answer to the daemon.
func (w *world) complete(a int) {
	if len(w.runs) == 0 || !w.runs[a%len(w.runs)].sent {
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
	if w.now.Sub(r.began) > retention {
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
		w.checkNotRun(r.call, "target")
	case wire.OutcomeAnswered:
		w.checkAnswer(r.call, resp)
	}
}

// response returns the response of the target client for a result at the target.
func (w *world) response(r run) *wire.Response {
	whole := "answer to " + r.call.id
	switch {
	case r.fate == fateNotSent, r.fate != fateComplete && w.mutation.notRunAfter:
		return &wire.Response{Outcome: wire.OutcomeNotRun}
	case r.fate == fateComplete:
		return answered(whole)
	case r.fate == fateCut && w.mutation.cutAsComplete:
		return answered(whole[:len(whole)/2])
	}
	return &wire.Response{Outcome: wire.OutcomeUnknown}
}

// move does a planned hand-over of the unit.
func (w *world) move(a int) {
	to := a % 3
	if to == w.owner {
		return
	}
	old := &w.daemons[w.owner]
	old.ledger.Freeze(slot)
	m, ok := old.ledger.Export(slot)
	if !ok {
		w.fail("Export at the owner returns no records")
		return
	}
	data, err := wire.Encode(&m)
	var got wire.RecordHandover
	if err != nil || wire.Decode(data, &got) != nil {
		w.fail("the exported records cannot be encoded and decoded")
	}
	if w.mutation.dropRecords {
		got.Records = nil
	}
	w.daemons[to].ledger.Drop(slot)
	w.daemons[to].ledger.Import(got)
	old.ledger.Drop(slot)
	w.setOwner(to)
	w.stats.moved++
}

// lose lets another daemon take the unit over from its owner, which restarts or
// stays suspended with its old ledger.
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
	w.setOwner(to)
	w.stats.lost++
}

func (w *world) setOwner(d int) {
	w.epoch++
	w.owner = d
	w.daemons[d].epoch = w.epoch
}

func (w *world) advance(a int) {
	steps := []time.Duration{time.Millisecond, time.Millisecond, skew / 2, skew, 2 * skew, retention / 2, retention + 3*skew}
	w.now = w.now.Add(steps[a%len(steps)])
}

// adjust sets a clock to an offset within the bound.
func (w *world) adjust(a, b int) {
	w.daemons[a%3].offset = time.Duration(b%5-2) * skew / 4
}

func (w *world) expire() {
	for i := range w.daemons {
		w.daemons[i].ledger.Expire(w.clock(i))
	}
}
