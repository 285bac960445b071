package forward_test

import (
	"context"
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/config"
	"fulmarrun/forward"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// TestSingleAttempts counts the tries of a request of a kind whose IDs are sent only
// once, at members that refuse, fail or lose the connection. Tries that did not reach a
// target are free, those that did are bounded by attempts, and one that may have run
// and may not be repeated ends the request.
func TestSingleAttempts(t *testing.T) {
	refused := wire.Refuse(admission.ReasonFull, time.Second)
	shed := wire.Refuse(targethttp.ReasonShed, time.Second)
	lost := wire.UnknownOutcome(targethttp.ReasonLost)
	ok := &wire.Response{Outcome: wire.OutcomeAnswered, Status: 200}
	for _, tc := range []struct {
		name        string
		neverRepeat bool
		attempts    int
		answers     []*wire.Response
		tries       int
		outcome     wire.Outcome
	}{
		{"refused before a target, then served", true, 1, []*wire.Response{refused, refused, ok}, 3, wire.OutcomeAnswered},
		{"refused by all", true, 2, []*wire.Response{refused, refused, refused, refused}, 4, wire.OutcomeNotRun},
		{"shed by a target, one attempt", true, 1, []*wire.Response{shed, ok}, 1, wire.OutcomeNotRun},
		{"shed by a target, two attempts", true, 2, []*wire.Response{shed, ok}, 2, wire.OutcomeAnswered},
		{"lost, may not be repeated", true, 2, []*wire.Response{lost, ok}, 1, wire.OutcomeUnknown},
		{"lost, may be repeated", false, 2, []*wire.Response{lost, ok}, 2, wire.OutcomeAnswered},
		{"lost twice", false, 2, []*wire.Response{lost, lost, ok}, 2, wire.OutcomeUnknown},
	} {
		w := newTestDaemon(t, 6)
		// The target of this daemon accepts no requests.
		w.put(routes.MemberKey(1), &wire.Member{Generation: 1, Service: "agenda", Idle: true})
		w.publish()
		tries := 0
		f := forward.NewForwarder(w.ownServer, peer.NewClient(),
			forward.WithAdmission(admission.WithRetryRatio(10), admission.WithMaxHedgeCost(-1)),
			forward.WithCall(func(context.Context, *routes.Owner, *wire.Request) (*wire.Response, error) {
				tries++
				return tc.answers[tries-1], nil
			}))
		kind := &config.Kind{
			Name: "single", Wait: time.Second, UniqueIDs: true, MaxAttempts: tc.attempts, Repeat: config.Cost{AtMostOnce: tc.neverRepeat},
		}
		req := &wire.Request{Service: "agenda", Kind: kind.Name, ID: "a", FirstAttempt: true, Wait: time.Second}
		r := f.Route(t.Context(), kind, req)
		if r.Outcome != tc.outcome || tries != tc.tries {
			t.Errorf("%s: %v after %d tries, want %v after %d", tc.name, r.Outcome, tries, tc.outcome, tc.tries)
		}
	}
}
