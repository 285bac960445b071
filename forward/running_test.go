package forward_test

import (
	"context"
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/forward"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// TestRunningTryGivenUp checks that a request at whose target work goes on is answered by that
// target, though the owner's generation is closed or the key has moved meanwhile. The forwarder
// cancelled the try, and answered 502 if the next one failed or wasn't allowed.
func TestRunningTryGivenUp(t *testing.T) {
	const answer, unknown = wire.OutcomeAnswered, wire.OutcomeUnknown
	unlimited := []admission.Option{admission.WithRetryRatio(10)}
	none := []admission.Option{admission.WithRetryRatio(0), admission.WithRetryFloor(0)}
	move := func(w *testDaemon) { w.assignSlot(3, 2) }
	closeOwner := func(w *testDaemon) { w.closeMember(2) }
	for _, tc := range []struct {
		name string
		// change is what happens while the request is at its owner.
		change func(w *testDaemon)
		// next is the result of the second try.
		next    step
		options []admission.Option
		alive   bool
		want    wire.Outcome
		tries   int
	}{
		{"key moved, the next owner refuses", move, refused, unlimited, true, answer, 2},
		{"key moved, the next owner fails", move, unknownOutcome, unlimited, true, answer, 2},
		{"key moved, no retry allowed", move, answered, none, true, answer, 1},
		{"generation closed, no retry allowed", closeOwner, answered, none, true, answer, 1},
		{"owner does not respond, the next owner refuses", move, refused, unlimited, false, unknown, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := newTestDaemon(t, 3)
			w.assignSlot(2, 1)
			working := func(ctx context.Context, w *testDaemon) (*wire.Response, error) {
				tc.change(w)
				select {
				case <-time.After(time.Second):
					return answered(ctx, w)
				case <-ctx.Done():
					return nil, context.Cause(ctx)
				}
			}
			s := &script{w: w, steps: []step{working, tc.next}}
			f := forward.NewForwarder(w.ownServer, nil, forward.WithCall(s.call), forward.WithAdmission(tc.options...),
				forward.WithAliveCheck(func(context.Context, *routes.Owner) bool { return tc.alive }))
			got := f.Route(t.Context(), w.kind("visit"), w.request(w.kind("visit"), true))
			if tries, _ := s.calls(); got.Outcome != tc.want || len(tries) != tc.tries {
				t.Errorf("%s (%s) after %d tries, want %s after %d", got.Outcome, got.Reason, len(tries), tc.want, tc.tries)
			}
		})
	}
}
