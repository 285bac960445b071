package daemon

import (
	"context"
	"net/http"
	"time"

	"fulmarrun/config"
	"fulmarrun/forward"
	"fulmarrun/logs"
	"fulmarrun/owner"
	"fulmarrun/wire"
)

const (
	// maxRequestLines bounds the log lines a second about requests, for each event, and as
	// many again for the one in 16 request IDs that all processes sample. A line takes
	// about 20 µs, and a daemon in its worst state logs six events at once.
	maxRequestLines = 4
	// slowWaitDivisor sets when a request without a latency goal is slow: after its wait
	// divided by this.
	slowWaitDivisor = 2
	// maxLoggedText bounds the text from a caller that a log line repeats, in bytes.
	maxLoggedText = 128
	// loggedTimeUnit is the unit to which log lines about requests round durations.
	loggedTimeUnit = 10 * time.Microsecond
	// noKind is the label of requests that were refused before their kind was known.
	noKind = "none"
)

// Route routes a request to a daemon that may run it, and returns the final response.
// It counts the request, and logs it if the response is not an answer or came late.
func (d *Daemon) Route(ctx context.Context, kind *config.Kind, req *wire.Request) *wire.Response {
	startedAt := time.Now()
	response := d.lastAnswer.refusal(kind, req)
	if response == nil {
		response = d.refuseShutOut(kind, req)
	}
	if response == nil {
		limited, done := d.lastAnswer.limit(ctx)
		defer done()
		response = d.forwarder.Route(limited, kind, req)
	}
	took := time.Since(startedAt)
	d.counters.countRequest(req.Service, kind.Name, response, took)
	d.teamCounters.count(d.teamOf(req), response)
	switch {
	case response.Outcome != wire.OutcomeAnswered:
		d.logRequest(logs.EventRequestUnanswered, req, response, took)
	case isSlow(took, kind.LatencyGoal, req.Wait):
		d.logRequest(logs.EventRequestSlow, req, response, took)
	}
	return response
}

// isSlow reports whether an answer took longer than its latency goal or, without one,
// than its share of the wait.
func isSlow(took, latencyGoal, wait time.Duration) bool {
	if latencyGoal > 0 {
		return took > latencyGoal
	}
	return took > wait/slowWaitDivisor
}

// RecordRefusal counts and logs a request that was refused before it was routed.
func (d *Daemon) RecordRefusal(r *http.Request, id string, response *wire.Response) {
	d.RecordTeamRefusal(r, id, "", response)
}

// logRequest logs the end of a request at the daemon that received it.
func (d *Daemon) logRequest(event string, req *wire.Request, r *wire.Response, took time.Duration) {
	d.logRequestLine(event, req.ID, d.teamOf(req), func() []any {
		return []any{
			logs.FieldService, req.Service, logs.FieldKind, req.Kind, logs.FieldKey, truncate(req.Key),
			logs.FieldWait, req.Wait, logs.FieldTook, took, logs.FieldOutcome, r.Outcome,
			logs.FieldReason, r.Reason, logs.FieldStatus, r.Status, logs.FieldRetry, r.RetryAfter,
		}
	})
}

// logFailedTry logs a failed attempt of a request and tracks whether the peer is
// reachable.
func (d *Daemon) logFailedTry(t forward.Try) {
	d.logReachability(t)
	if t.Err == nil && t.Response.Outcome == wire.OutcomeAnswered {
		return
	}
	d.logRequestLine(logs.EventAttemptFailed, t.Request.ID, d.teamOf(t.Request), func() []any {
		fields := []any{
			logs.FieldTo, t.To.Instance, logs.FieldPeer, t.To.Peer, logs.FieldEpoch, t.Epoch,
			logs.FieldLeft, t.TimeLeft, logs.FieldTook, t.Took,
		}
		if t.Err != nil {
			return append(fields, logs.FieldErr, t.Err)
		}
		return append(fields, logs.FieldOutcome, t.Response.Outcome, logs.FieldReason, t.Response.Reason)
	})
}

// logServed records the wait of a request at the target beside the daemon, and logs it
// if it was not served or was slow.
func (d *Daemon) logServed(s owner.ServedRequest) {
	d.counters.recordWait(s.Request.Service, s.Request.Kind, s.Queued)
	event := logs.EventRequestNotServed
	if s.Response.Outcome == wire.OutcomeAnswered {
		if !isSlow(s.Took, s.LatencyGoal, s.Request.Wait) {
			return
		}
		event = logs.EventRequestSlowHere
	}
	d.logRequestLine(event, s.Request.ID, d.teamOf(s.Request), func() []any {
		stats := d.gate.Stats()
		return []any{
			logs.FieldService, s.Request.Service, logs.FieldKind, s.Request.Kind, logs.FieldKey, truncate(s.Request.Key),
			logs.FieldEpoch, s.Request.Epoch, logs.FieldLeft, s.Request.Wait, logs.FieldTook, s.Took,
			logs.FieldQueued, s.Queued, logs.FieldOutcome, s.Response.Outcome, logs.FieldReason, s.Response.Reason,
			logs.FieldRetry, s.Response.RetryAfter, logs.FieldInFlight, stats.InFlight,
			logs.FieldWaiting, stats.Queued, logs.FieldLimit, stats.Limit, logs.FieldLatency, stats.Latency,
		}
	})
}

// logRequestLine logs a line about a request, with the state that decisions are based
// on, unless the event exceeds its rate limit. The team is empty if the request belongs to none.
func (d *Daemon) logRequestLine(event, id, team string, fields func() []any) {
	hidden, ok := d.allowLog(event, id)
	if !ok {
		return
	}
	line := []any{logs.FieldID, truncate(id)}
	if team != "" {
		line = append(line, logs.FieldTeam, truncate(team))
	}
	line = append(line, fields()...)
	line = append(line, d.stateFields()...)
	d.log.Info(event, append(roundDurations(line), logs.FieldHidden, hidden)...)
}

// roundDurations rounds the durations among the fields of a line.
func roundDurations(fields []any) []any {
	for i, f := range fields {
		if t, ok := f.(time.Duration); ok {
			fields[i] = t.Round(loggedTimeUnit)
		}
	}
	return fields
}

// truncate returns the first maxLoggedText bytes of a text from a caller.
func truncate(text string) string {
	return text[:min(len(text), maxLoggedText)]
}
