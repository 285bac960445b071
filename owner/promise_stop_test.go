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
	promiseSeed = flag.Int64("promise.seed", 1, "first seed of the property tests")
	promiseRuns = flag.Int("promise.runs", 20, "number of runs of each property test")
)

const (
	// newWorkLimit is the longest time after the end of its requests and of the faults
	// for which a leaving daemon may still be given new requests.
	newWorkLimit   = 5 * time.Second
	maxRequestTime = 3 * time.Second
	// maxRequestTimeMost is longer than a leave takes.
	maxRequestTimeMost = 8 * time.Second
	leaveWait          = 20 * time.Second
)

// leavePlan is one generated run.
type leavePlan struct {
	seed    uint64
	leavers int
	target  bool // the targets request the leave
	crash   bool // a daemon that stays crashes during the leave
	outage  time.Duration
	at      time.Duration
	// longest is the maximum run time of a request, and wait its maximum total time
	// including the queue.
	longest time.Duration
	wait    time.Duration
}

func (p leavePlan) String() string {
	return fmt.Sprintf("seed %d: %d leave, requested by the target %t, a crash %t, an outage of %v at %v",
		p.seed, p.leavers, p.target, p.crash, p.outage, p.at)
}

// leavePlanOf converts a generated number to a plan in which from least to most
// daemons leave. Another daemon crashes only if two others stay, since a single
// daemon cannot hold a lease.
func leavePlanOf(n uint32, least, most int) leavePlan {
	p := leavePlan{
		seed: uint64(n), leavers: least + int(n%leaveDaemons)%(most-least+1), target: n/4%2 == 0, crash: n/8%3 == 0,
		outage: time.Duration(n/32%4) * 700 * time.Millisecond, at: time.Duration(n/128%16) * 100 * time.Millisecond,
	}
	p.crash = p.crash && p.leavers == 1
	p.longest, p.wait = maxRequestTime, leaveWait
	if p.leavers == leaveDaemons-1 {
		p.longest, p.wait = maxRequestTimeMost, 2*leaveWait
	}
	return p
}

// play runs a plan in virtual time. It returns the violation that the oracle found,
// if any, and the longest time from a leave request to the last start of a request
// at the leaving daemon.
func (p leavePlan) play(t *testing.T, mutation leaveMutation) (violation string, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, p.seed, mutation)
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
		truthful := r.answer == wire.OutcomeAnswered && r.completed == 1 || r.answer == wire.OutcomeNotRun && r.began == 0 ||
			r.answer == wire.OutcomeUnknown && r.broken
		if !r.ended || !truthful || r.began > 1 {
			return fmt.Sprintf("request %d: %+v", i, *r), 0
		}
		if r.answer == wire.OutcomeNotRun && !p.mayRefuse(r) {
			return fmt.Sprintf("request %d was rejected although another daemon could serve it: %+v", i, *r), 0
		}
	}
	var took time.Duration
	for _, m := range f.members[:p.leavers] {
		if m.ctx.Err() == nil {
			return m.self.Instance + " has not left", 0
		}
		took = max(took, m.lastBegan.Sub(m.leaveAskedAt))
		if m.lastBegan.Sub(m.leaveAskedAt) > p.longest+p.outage+newWorkLimit {
			return fmt.Sprintf("%s was given a request %v after its leave was requested", m.self.Instance, m.lastBegan.Sub(m.leaveAskedAt)), 0
		}
	}
	return f.checkTable(p.leavers), took
}

// mayRefuse reports whether no daemon could serve a request: all daemons leave, or
// all but one, and that one had no witness that stays.
func (p leavePlan) mayRefuse(r *leaveRequest) bool {
	return p.leavers == leaveDaemons || p.leavers == leaveDaemons-1 && r.noWitness
}

// checkTable checks in the table that the daemons that left are closed and own
// nothing: every slot has an open owner if a daemon stays.
func (f *fleet) checkTable(leavers int) string {
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

// TestLeave checks the leave of one or two of four daemons while requests run and
// wait, the platform has an outage and a daemon that stays crashes.
func TestLeave(t *testing.T) { checkLeave(t, 1, 2) }

// TestLeaveOfMost checks the simultaneous leave of all daemons but one, or of all.
func TestLeaveOfMost(t *testing.T) { checkLeave(t, leaveDaemons-1, leaveDaemons) }

func checkLeave(t *testing.T, least, most int) {
	t.Helper()
	var longest time.Duration
	properties := gopter.NewProperties(promiseParameters())
	properties.Property("a planned stop cuts off no request and ends", prop.ForAll(func(n uint32) (bool, error) {
		p := leavePlanOf(n, least, most)
		violation, took := p.play(t, leaveMutation{})
		longest = max(longest, took)
		if violation != "" {
			return false, errors.Errorf("%v: %s", p, violation)
		}
		return true, nil
	}, gen.UInt32()))
	properties.TestingRun(t)
	t.Logf("the last request started at most %v after a leave was requested", longest)
}

func promiseParameters() *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(*promiseSeed)
	parameters.MinSuccessfulTests = *promiseRuns
	parameters.MaxShrinkCount = 0
	return parameters
}

func TestLeaveMutationsCaught(t *testing.T) {
	for _, c := range []struct {
		name     string
		mutation leaveMutation
		leavers  int
	}{
		{"a unit is handed over before its running requests end", leaveMutation{noWait: true}, 1},
		{"queued requests are not recalled", leaveMutation{noRecall: true}, 1},
		{"a daemon ends while it still owns slots", leaveMutation{endsEarly: true}, 1},
		{"a leaving target is given more requests", leaveMutation{noPause: true}, 1},
		{"the last daemon drops its witnesses while requests run", leaveMutation{dropWitnesses: true}, leaveDaemons - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for n := range uint32(40) {
				p := leavePlanOf(n, c.leavers, c.leavers)
				if violation, _ := p.play(t, c.mutation); violation != "" {
					t.Logf("detected with %v: %s", p, violation)
					return
				}
			}
			t.Error("the oracle does not detect the mutation")
		})
	}
}
