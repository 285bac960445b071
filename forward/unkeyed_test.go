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
	rich := []admission.Option{admission.WithRetryRatio(10)}
	poor := []admission.Option{admission.WithRetryRatio(0), admission.WithRetryFloor(0)}
	cases := []struct {
		name    string
		members int
		steps   []step
		options []admission.Option
		want    wire.Outcome
		tries   int
		ends    bool
	}{
		{"answered", 3, []step{answered}, rich, wire.OutcomeAnswered, 1, false},
		{"nobody serves it", 0, []step{answered}, rich, wire.OutcomeNotRun, 0, false},
		{"not sent, then answered", 3, []step{unsent, answered}, poor, wire.OutcomeAnswered, 2, false},
		{"not begun, then answered", 3, []step{full, answered}, poor, wire.OutcomeAnswered, 2, false},
		{"refused, then answered", 3, []step{refused, answered}, rich, wire.OutcomeAnswered, 2, false},
		{"broken, then answered", 3, []step{broken, answered}, rich, wire.OutcomeAnswered, 2, false},
		{"refused without a budget", 3, []step{refused, answered}, poor, wire.OutcomeNotRun, 1, false},
		{"broken without a budget", 3, []step{broken, answered}, poor, wire.OutcomeUnknown, 1, false},
		{"all refuse", 3, []step{refused}, rich, wire.OutcomeNotRun, 3, false},
		{"none is reached", 3, []step{unsent}, poor, wire.OutcomeNotRun, 3, false},
		{"all break", 3, []step{broken}, rich, wire.OutcomeUnknown, 3, false},
		{"broken, then refused", 2, []step{broken, refused}, rich, wire.OutcomeUnknown, 2, false},
		{"no more than four tries", 6, []step{refused}, rich, wire.OutcomeNotRun, 4, false},
		{"silent", 3, []step{hang}, rich, wire.OutcomeUnknown, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 0)
			for g := range c.members {
				w.member(wire.Generation(g+2), peerAddr)
			}
			w.publish()
			s := &script{w: w, steps: c.steps}
			f := forward.NewForwarder(w.own, nil, forward.WithCall(s.call), forward.WithAdmission(c.options...))
			req := w.request(w.kind("free"), true)
			if c.ends {
				req.Wait = shortWait
			}
			got := f.Route(context.Background(), w.kind("free"), req)
			tries, to := s.made()
			if got.Outcome != c.want || !c.ends && len(tries) != c.tries || len(tries) > c.tries {
				t.Errorf("%s (%s) after %d tries", got.Outcome, got.Reason, len(tries))
			}
			if got.Outcome != wire.OutcomeAnswered && !c.ends && got.RetryAfter <= 0 {
				t.Error("no time to come back")
			}
			slices.Sort(to)
			if len(slices.Compact(to)) != len(tries) {
				t.Errorf("tried twice: %v", to)
			}
		})
	}
}

// A request without any wait was not run, and says so.
func TestUnkeyedWithoutWait(t *testing.T) {
	w := newWorld(t, 0)
	w.member(2, peerAddr)
	w.publish()
	s := &script{w: w, steps: []step{answered}}
	f := forward.NewForwarder(w.own, nil, forward.WithCall(s.call))
	req := w.request(w.kind("free"), true)
	req.Wait = 0
	if got := f.Route(context.Background(), w.kind("free"), req); got.Outcome != wire.OutcomeNotRun || got.Reason != forward.ReasonTimeout {
		t.Errorf("no wait: %+v", got)
	}
}

func TestHedgesWhereThePriceAllows(t *testing.T) {
	for _, c := range []struct {
		kind string
		want wire.Outcome
	}{{"free", wire.OutcomeAnswered}, {"dear", wire.OutcomeUnknown}} {
		w := newWorld(t, 0)
		for g := range 3 {
			w.member(wire.Generation(g+2), peerAddr)
		}
		w.publish()
		// A hedge of the first requests may still run when the last one is made,
		// so that one has a script of its own.
		usual, last := &script{w: w, steps: []step{answered}}, &script{w: w, steps: []step{hang, answered}}
		call := func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
			if req.ID == "last" {
				return last.call(ctx, to, req)
			}
			return usual.call(ctx, to, req)
		}
		f := forward.NewForwarder(w.own, nil, forward.WithCall(call), forward.WithAdmission(admission.WithRetryRatio(10)))
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
