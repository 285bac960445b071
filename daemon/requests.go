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
	// requestLines bounds the lines a second about requests, for each event, and as many
	// again for marked IDs. A line takes about 20 µs, and a daemon at its worst has six
	// events at once.
	requestLines = 4
	// slowShare is the part of its wait after which a request without an aim is slow.
	slowShare = 2
	// maxText bounds what a line repeats of a caller's own words, in bytes.
	maxText = 128
	// timeUnit is how exactly lines about requests tell times.
	timeUnit = 10 * time.Microsecond
	// noKind is the label of requests that were refused before their kind was known.
	noKind = "none"
)

// Route brings a request to where it may run, and returns the final answer. It is
// counted, and logged if there was no answer or a slow one.
func (d *Daemon) Route(ctx context.Context, kind *config.Kind, req *wire.Request) *wire.Response {
	began := time.Now()
	response := d.forwarder.Route(ctx, kind, req)
	took := time.Since(began)
	d.counters.count(req.Service, kind.Name, response, took)
	switch {
	case response.Outcome != wire.OutcomeAnswered:
		d.noteRequest(logs.EventUnanswered, req, response, took)
	case slow(took, kind.Aim, req.Wait):
		d.noteRequest(logs.EventSlow, req, response, took)
	}
	return response
}

// slow tells whether an answer came later than it should have.
func slow(took, aim, wait time.Duration) bool {
	if aim > 0 {
		return took > aim
	}
	return took > wait/slowShare
}

// RecordRefusal notes a request that was refused before it was routed.
func (d *Daemon) RecordRefusal(r *http.Request, id string, response *wire.Response) {
	d.counters.count(noKind, noKind, response, 0)
	d.noteLine(logs.EventTurnedAway, id, func() []any {
		return []any{
			logs.FieldHost, cut(r.Host), logs.FieldPath, cut(r.URL.Path), logs.FieldOutcome, response.Outcome,
			logs.FieldReason, response.Reason, logs.FieldStatus, response.Status,
		}
	})
}

// noteRequest logs the end of a request at the daemon that received it.
func (d *Daemon) noteRequest(event string, req *wire.Request, r *wire.Response, took time.Duration) {
	d.noteLine(event, req.ID, func() []any {
		return []any{
			logs.FieldService, req.Service, logs.FieldKind, req.Kind, logs.FieldKey, cut(req.Key),
			logs.FieldWait, req.Wait, logs.FieldTook, took, logs.FieldOutcome, r.Outcome,
			logs.FieldReason, r.Reason, logs.FieldStatus, r.Status, logs.FieldRetry, r.RetryAfter,
		}
	})
}

// noteTry logs a try of a request that failed.
func (d *Daemon) noteTry(t forward.Try) {
	d.watchPeer(t)
	if t.Err == nil && t.Response.Outcome == wire.OutcomeAnswered {
		return
	}
	d.noteLine(logs.EventTry, t.Request.ID, func() []any {
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

// noteServed logs a request that was not served, or slowly, at the target beside the
// daemon.
func (d *Daemon) noteServed(s owner.ServedRequest) {
	d.counters.wait(s.Request.Service, s.Request.Kind, s.Queued)
	event := logs.EventNotServed
	if s.Response.Outcome == wire.OutcomeAnswered {
		if !slow(s.Took, s.LatencyGoal, s.Request.Wait) {
			return
		}
		event = logs.EventSlowHere
	}
	d.noteLine(event, s.Request.ID, func() []any {
		stats := d.gate.Stats()
		return []any{
			logs.FieldService, s.Request.Service, logs.FieldKind, s.Request.Kind, logs.FieldKey, cut(s.Request.Key),
			logs.FieldEpoch, s.Request.Epoch, logs.FieldLeft, s.Request.Wait, logs.FieldTook, s.Took,
			logs.FieldQueued, s.Queued, logs.FieldOutcome, s.Response.Outcome, logs.FieldReason, s.Response.Reason,
			logs.FieldRetry, s.Response.RetryAfter, logs.FieldInFlight, stats.InFlight,
			logs.FieldWaiting, stats.Queued, logs.FieldLimit, stats.Limit, logs.FieldLatency, stats.Latency,
		}
	})
}

// noteLine logs a line about a request with what the process believes, unless there
// were too many of the event.
func (d *Daemon) noteLine(event, id string, fields func() []any) {
	hidden, ok := d.mayLog(event, id)
	if !ok {
		return
	}
	line := append([]any{logs.FieldID, cut(id)}, fields()...)
	line = append(line, d.belief()...)
	d.log.Info(event, append(rounded(line), logs.FieldHidden, hidden)...)
}

// rounded rounds the times among the fields of a line.
func rounded(fields []any) []any {
	for i, f := range fields {
		if t, ok := f.(time.Duration); ok {
			fields[i] = t.Round(timeUnit)
		}
	}
	return fields
}

// cut returns the beginning of a text that a caller chose.
func cut(text string) string {
	return text[:min(len(text), maxText)]
}
