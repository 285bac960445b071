package owner

import (
	"context"
	"time"

	"fulmarrun/outcome"
	"fulmarrun/wire"
)

// runOnce runs a request that may not be repeated, unless its ID has been here
// before.
func (s *Server) runOnce(ctx context.Context, j *job) *wire.Response {
	ledger := s.ledger.Load()
	// A frame that was sent before the unit changed hands may arrive after a
	// second one has run, so that it is not fresh here.
	fresh := j.req.FirstAttempt && j.req.Epoch == j.fence.Epoch
	decision := ledger.Begin(time.Now(), j.unit, j.req.ID, fresh)
	switch decision.Action {
	case outcome.Run:
		return s.runRecorded(ctx, j, ledger)
	case outcome.Join:
		return ledger.Wait(ctx, j.unit, j.req.ID)
	case outcome.Frozen:
		return wire.Misrouted()
	default:
		if decision.Response.Reason == outcome.ReasonNotOwned {
			return wire.Misrouted()
		}
		return decision.Response
	}
}

// runRecorded runs a request and notes what became of it.
func (s *Server) runRecorded(ctx context.Context, j *job, ledger *outcome.Ledger) *wire.Response {
	done := false
	defer func() {
		if !done {
			ledger.Finish(j.unit, j.req.ID, wire.UnknownOutcome(outcome.ReasonUnanswered))
		}
	}()
	response := s.run(ctx, j)
	if response.Outcome == wire.OutcomeNotRun && !s.lease.valid() {
		return s.confirm(response)
	}
	ledger.Finish(j.unit, j.req.ID, response)
	done = true
	return response
}
