package owner_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"fulmarrun/platformstub"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

var (
	promiseSeed = flag.Int64("promise.seed", 1, "first seed of the proofs of single promises")
	promiseRuns = flag.Int("promise.runs", 20, "runs of each proof of a single promise")
)

const (
	// leaveFew is how long after the end of its requests and of faults a daemon
	// that leaves may be given new work at most.
	leaveFew     = 5 * time.Second
	leaveLongest = 3 * time.Second
	// lastLongest is more than the time that a leave takes.
	lastLongest = 8 * time.Second
	leaveWait   = 20 * time.Second
)

// leavePlan is one generated run.
type leavePlan struct {
	seed    uint64
	leavers int
	target  bool // the targets ask for it
	crash   bool // a daemon that stays is lost meanwhile
	outage  time.Duration
	at      time.Duration
	// longest is how long a request may run, and wait how long it may take with
	// the time in a queue.
	longest time.Duration
	wait    time.Duration
}

func (p leavePlan) String() string {
	return fmt.Sprintf("seed %d: %d leave, asked by the target %t, a loss %t, an outage of %v at %v",
		p.seed, p.leavers, p.target, p.crash, p.outage, p.at)
}

// leavePlanOf reads a generated number as a plan in which from least to most
// daemons leave. One is lost besides only if two others stay, since one alone
// can't hold a lease.
func leavePlanOf(n uint32, least, most int) leavePlan {
	p := leavePlan{
		seed: uint64(n), leavers: least + int(n%leaveDaemons)%(most-least+1), target: n/4%2 == 0, crash: n/8%3 == 0,
		outage: time.Duration(n/32%4) * 700 * time.Millisecond, at: time.Duration(n/128%16) * 100 * time.Millisecond,
	}
	p.crash = p.crash && p.leavers == 1
	p.longest, p.wait = leaveLongest, leaveWait
	if p.leavers == leaveDaemons-1 {
		p.longest, p.wait = lastLongest, 2*leaveWait
	}
	return p
}

// play runs a plan in virtual time and returns what the oracle has to say, and
// how long after it was asked the last daemon had left.
func (p leavePlan) play(t *testing.T, mistakes leaveMistakes) (violation string, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, p.seed, mistakes)
		defer f.wg.Wait()
		defer cancel()
		time.Sleep(8 * time.Second)
		for range 80 {
			r := &leaveRequest{slot: uint32(f.intn(leaveSlots)), length: time.Duration(1+f.intn(200)) * time.Millisecond}
			if f.intn(10) == 0 {
				r.length = time.Duration(1+f.intn(int(p.longest/hop))) * hop
			}
			f.requests = append(f.requests, r)
			start := time.Duration(f.intn(4000)) * hop
			f.wg.Go(func() {
				time.Sleep(start)
				f.route(r, p.wait)
			})
		}
		f.wg.Go(func() { p.faults(f) })
		for _, m := range f.members[:p.leavers] {
			at := 500*time.Millisecond + time.Duration(f.intn(1500))*hop
			f.wg.Go(func() {
				time.Sleep(at)
				m.leave(p.target)
			})
		}
		time.Sleep(p.wait + 6*time.Second)
		violation, took = f.judge(p)
	})
	return violation, took
}

func (p leavePlan) faults(f *fleet) {
	time.Sleep(p.at)
	if p.crash {
		f.members[leaveDaemons-1].crash()
	}
	if p.outage > 0 {
		f.stub.SetFaults(platformstub.Faults{Outage: true})
		time.Sleep(p.outage)
		f.stub.SetFaults(platformstub.Faults{Latency: 2 * hop})
	}
}

// judge is the oracle at the end of a run.
func (f *fleet) judge(p leavePlan) (string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.violation != "" {
		return f.violation, 0
	}
	for i, r := range f.requests {
		truthful := r.answer == wire.OutcomeAnswered && r.whole == 1 || r.answer == wire.OutcomeNotRun && r.began == 0 ||
			r.answer == wire.OutcomeUnknown && r.broken
		if !r.ended || !truthful || r.began > 1 {
			return fmt.Sprintf("request %d: %+v", i, *r), 0
		}
		if r.answer == wire.OutcomeNotRun && !p.mayRefuse(r) {
			return fmt.Sprintf("request %d was refused although others could serve it: %+v", i, *r), 0
		}
	}
	var took time.Duration
	for _, m := range f.members[:p.leavers] {
		if m.ctx.Err() == nil {
			return m.self.Instance + " has not left", 0
		}
		took = max(took, m.last.Sub(m.asked))
		if m.last.Sub(m.asked) > p.longest+p.outage+leaveFew {
			return fmt.Sprintf("%s was given work %v after it was to leave", m.self.Instance, m.last.Sub(m.asked)), 0
		}
	}
	return f.owned(p.leavers), took
}

// mayRefuse tells whether there was nobody to serve a request: all leave, or all
// but one do, and that one had no witness that stays.
func (p leavePlan) mayRefuse(r *leaveRequest) bool {
	return p.leavers == leaveDaemons || p.leavers == leaveDaemons-1 && r.alone
}

// owned reads the table: who has left is closed and owns nothing.
func (f *fleet) owned(leavers int) string {
	view := routes.NewView()
	for _, prefix := range []string{routes.MemberPrefix, routes.SlotsPrefix} {
		rows, err := f.stub.Store().List(f.ctx, prefix, "", 100)
		if err != nil {
			return err.Error()
		}
		for _, r := range rows {
			if _, err := view.Put(wire.Row{Key: r.Key, Version: r.Version, Value: r.Value}); err != nil {
				return err.Error()
			}
		}
	}
	for _, m := range f.members[:leavers] {
		if row := view.Member(m.self.Generation); row == nil || row.State != wire.StateClosed {
			return m.self.Instance + " is not closed in the table"
		}
	}
	for h := range view.Snapshot().Assignments("agenda") {
		if h.Owner == nil && leavers < leaveDaemons {
			return fmt.Sprintf("slot %d has no owner", h.Slot)
		}
	}
	return ""
}

// TestLeave has one or two of four daemons leave while requests run and wait, the
// platform is down for a while and a daemon that stays is lost.
func TestLeave(t *testing.T) { leaves(t, 1, 2) }

// TestLeaveOfMost has all but one, or all, leave together.
func TestLeaveOfMost(t *testing.T) { leaves(t, leaveDaemons-1, leaveDaemons) }

func leaves(t *testing.T, least, most int) {
	t.Helper()
	var longest time.Duration
	properties := gopter.NewProperties(promiseParameters())
	properties.Property("a planned stop cuts off nothing and ends", prop.ForAll(func(n uint32) (bool, error) {
		p := leavePlanOf(n, least, most)
		violation, took := p.play(t, leaveMistakes{})
		longest = max(longest, took)
		if violation != "" {
			return false, errors.Errorf("%v: %s", p, violation)
		}
		return true, nil
	}, gen.UInt32()))
	properties.TestingRun(t)
	t.Logf("new work began at most %v after a leave was asked for", longest)
}

func promiseParameters() *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(*promiseSeed)
	parameters.MinSuccessfulTests = *promiseRuns
	parameters.MaxShrinkCount = 0
	return parameters
}

func TestLeaveCatches(t *testing.T) {
	for _, c := range []struct {
		name     string
		mistakes leaveMistakes
		leavers  int
	}{
		{"a unit does not wait for what runs in it", leaveMistakes{noWait: true}, 1},
		{"what is queued is not recalled", leaveMistakes{noRecall: true}, 1},
		{"a daemon goes before it owns nothing", leaveMistakes{early: true}, 1},
		{"a target that leaves is given more", leaveMistakes{noPause: true}, 1},
		{"the last one drops its witnesses while requests run", leaveMistakes{forsake: true}, leaveDaemons - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for n := range uint32(40) {
				p := leavePlanOf(n, c.leavers, c.leavers)
				if violation, _ := p.play(t, c.mistakes); violation != "" {
					t.Logf("found with %v: %s", p, violation)
					return
				}
			}
			t.Error("not found")
		})
	}
}
