package forward_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/forward"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

func TestUnkeyedOutcomes(t *testing.T) {
	largeBudget := []admission.Option{admission.WithRatio(10)}
	noBudget := []admission.Option{admission.WithRatio(0), admission.WithFloor(0)}
	cases := []struct {
		name     string
		members  int
		steps    []step
		options  []admission.Option
		want     wire.Outcome
		tries    int
		timesOut bool
	}{
		{"answered", 3, []step{answered}, largeBudget, wire.OutcomeAnswered, 1, false},
		{"nobody serves it", 0, []step{answered}, largeBudget, wire.OutcomeNotRun, 0, false},
		{"not sent, then answered", 3, []step{unsent, answered}, noBudget, wire.OutcomeAnswered, 2, false},
		{"not begun, then answered", 3, []step{refusedByPeer, answered}, noBudget, wire.OutcomeAnswered, 2, false},
		{"refused, then answered", 3, []step{refused, answered}, largeBudget, wire.OutcomeAnswered, 2, false},
		{"broken, then answered", 3, []step{broken, answered}, largeBudget, wire.OutcomeAnswered, 2, false},
		{"refused without a budget", 3, []step{refused, answered}, noBudget, wire.OutcomeNotRun, 1, false},
		{"broken without a budget", 3, []step{broken, answered}, noBudget, wire.OutcomeUnknown, 1, false},
		{"all refuse", 3, []step{refused}, largeBudget, wire.OutcomeNotRun, 3, false},
		{"none is reached", 3, []step{unsent}, noBudget, wire.OutcomeNotRun, 3, false},
		{"all break", 3, []step{broken}, largeBudget, wire.OutcomeUnknown, 3, false},
		{"broken, then refused", 2, []step{broken, refused}, largeBudget, wire.OutcomeUnknown, 2, false},
		{"no more than four tries", 6, []step{refused}, largeBudget, wire.OutcomeNotRun, 4, false},
		{"silent", 3, []step{hang}, largeBudget, wire.OutcomeUnknown, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestDaemon(t, 0)
			for g := range c.members {
				w.addMember(wire.Generation(g+2), peerAddr)
			}
			w.publish()
			s := &script{w: w, steps: c.steps}
			f := forward.NewForwarder(w.ownServer, nil, forward.WithCall(s.call), forward.WithAdmission(c.options...))
			req := w.request(w.kind("free"), true)
			if c.timesOut {
				req.Wait = shortWait
			}
			got := f.Route(context.Background(), w.kind("free"), req)
			tries, to := s.calls()
			if got.Outcome != c.want || !c.timesOut && len(tries) != c.tries || len(tries) > c.tries {
				t.Errorf("%s (%s) after %d tries", got.Outcome, got.Reason, len(tries))
			}
			if got.Outcome != wire.OutcomeAnswered && !c.timesOut && got.RetryAfter <= 0 {
				t.Error("the refusal has no Retry-After")
			}
			slices.Sort(to)
			if len(slices.Compact(to)) != len(tries) {
				t.Errorf("a member was tried twice: %v", to)
			}
		})
	}
}

// TestUnkeyedWithoutWait checks that a request with a time limit of zero is reported
// as not run.
func TestUnkeyedWithoutWait(t *testing.T) {
	w := newTestDaemon(t, 0)
	w.addMember(2, peerAddr)
	w.publish()
	s := &script{w: w, steps: []step{answered}}
	f := forward.NewForwarder(w.ownServer, nil, forward.WithCall(s.call))
	req := w.request(w.kind("free"), true)
	req.Wait = 0
	if got := f.Route(context.Background(), w.kind("free"), req); got.Outcome != wire.OutcomeNotRun || got.Reason != forward.ReasonTimeout {
		t.Errorf("no wait: %+v", got)
	}
}

func TestHedgesOnlyCheapKinds(t *testing.T) {
	for _, c := range []struct {
		kind string
		want wire.Outcome
	}{{"free", wire.OutcomeAnswered}, {"dear", wire.OutcomeUnknown}} {
		w := newTestDaemon(t, 0)
		for g := range 3 {
			w.addMember(wire.Generation(g+2), peerAddr)
		}
		w.publish()
		// A hedge of the first requests may still run when the last one is made,
		// so the last one has a script of its own.
		usual, last := &script{w: w, steps: []step{answered}}, &script{w: w, steps: []step{hang, answered}}
		call := func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
			if req.ID == "last" {
				return last.call(ctx, to, req)
			}
			return usual.call(ctx, to, req)
		}
		f := forward.NewForwarder(w.ownServer, nil, forward.WithCall(call), forward.WithAdmission(admission.WithRatio(10)))
		for range 150 {
			f.Route(context.Background(), w.kind(c.kind), w.request(w.kind(c.kind), true))
		}
		req := w.request(w.kind(c.kind), true)
		req.ID = "last"
		req.Wait = 500 * time.Millisecond
		if got := f.Route(context.Background(), w.kind(c.kind), req); got.Outcome != c.want {
			t.Errorf("%s: %+v", c.kind, got)
		}
	}
}
