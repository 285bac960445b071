package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fulmarrun/forward"
	"fulmarrun/wire"
)

// refusal is the body of an answer that is not the target's.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	ID      string `json:"id,omitempty"`
	// Retry is when to come back.
	Retry string `json:"retry,omitempty"`
}

func write(w http.ResponseWriter, id string, r *wire.Response) {
	head := w.Header()
	if r.Outcome == wire.OutcomeAnswered {
		for _, h := range r.Headers {
			head.Add(h.Name, h.Value)
		}
	}
	head.Set(HeaderOutcome, r.Outcome.String())
	if id != "" {
		head.Set(HeaderRequestID, id)
	}
	if r.Outcome == wire.OutcomeAnswered {
		if r.Reason != "" {
			head.Set(HeaderReason, r.Reason)
		}
		head.Set("Content-Length", strconv.Itoa(len(r.Body)))
		w.WriteHeader(int(r.Status))
		_, _ = w.Write(r.Body)
		return
	}
	writeRefusal(w, id, r)
}

func writeRefusal(w http.ResponseWriter, id string, r *wire.Response) {
	body := refusal{Outcome: r.Outcome.String(), Reason: r.Reason, ID: id}
	head := w.Header()
	if r.RetryAfter > 0 {
		body.Retry = r.RetryAfter.String()
		head.Set("Retry-After", strconv.Itoa(seconds(r.RetryAfter)))
	}
	head.Set(HeaderReason, r.Reason)
	head.Set("Content-Type", "application/json")
	w.WriteHeader(status(r))
	_ = json.NewEncoder(w).Encode(body)
}

// seconds rounds up, since a caller who comes back too early is refused again.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func status(r *wire.Response) int {
	switch {
	case r.Status >= http.StatusBadRequest:
		return int(r.Status)
	case r.Outcome == wire.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case r.Reason == forward.ReasonTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
