package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
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

const (
	// defaultRetry is when to come back if the refusal doesn't say.
	defaultRetry = time.Second
	// maxRetry is the longest time that a caller is told to stay away.
	maxRetry = time.Hour

	minStatus = 200
	maxStatus = 599
)

func write(w http.ResponseWriter, method, id string, r *wire.Response) {
	if r.Outcome != wire.OutcomeAnswered {
		writeRefusal(w, id, r)
		return
	}
	// net/http panics on a status that HTTP does not have, and takes one below 200
	// for the announcement of another.
	if r.Status < minStatus || r.Status > maxStatus {
		writeRefusal(w, id, &wire.Response{Outcome: wire.OutcomeUnknown, Reason: reasonStatus})
		return
	}
	head := w.Header()
	for _, h := range r.Headers {
		// Only this daemon says what is known of the run.
		if name := http.CanonicalHeaderKey(h.Name); !strings.HasPrefix(name, ownPrefix) {
			head[name] = append(head[name], h.Value)
		}
	}
	state(head, id, r)
	// The length of an answer to HEAD is that of the body that it leaves out.
	if method != http.MethodHead {
		head.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(int(r.Status))
	_, _ = w.Write(r.Body)
}

// state sets the headers that each answer has.
func state(head http.Header, id string, r *wire.Response) {
	head[HeaderOutcome] = []string{r.Outcome.String()}
	if id != "" {
		head[HeaderRequestID] = []string{id}
	}
	if r.Reason != "" {
		head[HeaderReason] = []string{r.Reason}
	}
}

func writeRefusal(w http.ResponseWriter, id string, r *wire.Response) {
	body := refusal{Outcome: r.Outcome.String(), Reason: r.Reason, ID: id}
	head := w.Header()
	code := status(r)
	retry := min(r.RetryAfter, maxRetry)
	if retry <= 0 && code >= http.StatusInternalServerError {
		retry = defaultRetry
	}
	if retry > 0 {
		body.Retry = retry.String()
		head.Set("Retry-After", strconv.Itoa(seconds(retry)))
	}
	state(head, id, r)
	head.Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// seconds rounds up, since a caller who comes back too early is refused again.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func status(r *wire.Response) int {
	switch {
	case r.Status >= http.StatusBadRequest && r.Status <= maxStatus:
		return int(r.Status)
	case r.Outcome == wire.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case r.Reason == forward.ReasonTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
