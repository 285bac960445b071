package owner

import (
	"context"
	"time"

	"fulmarrun/outcome"
	"fulmarrun/wire"
)

// runOnce runs a request that must not be repeated, unless the ledger has a record
// of its ID.
func (s *Server) runOnce(ctx context.Context, j *job) *wire.Response {
	ledger := s.ledger.Load()
	// A frame that was sent before the unit was handed over may arrive after a second
	// frame has run, so it does not count as the first attempt here.
	firstAttempt := j.req.FirstAttempt && j.req.Epoch == j.fence.Epoch
	decision := ledger.Begin(time.Now(), j.unit, j.req.ID, firstAttempt)
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

// runRecorded runs a request and records its outcome.
func (s *Server) runRecorded(ctx context.Context, j *job, ledger *outcome.Ledger) *wire.Response {
	done := false
	defer func() {
		if !done {
			ledger.Finish(j.unit, j.req.ID, wire.UnknownOutcome(outcome.ReasonUnanswered))
		}
	}()
	response := s.run(ctx, j)
	if response.Outcome == wire.OutcomeNotRun && !s.lease.valid() {
		return s.confirmRefusal(response)
	}
	ledger.Finish(j.unit, j.req.ID, response)
	done = true
	return response
}
