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

// refusal is the JSON body of a response that does not come from the target.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	ID      string `json:"id,omitempty"`
	// Retry is the duration of Retry-After.
	Retry string `json:"retry,omitempty"`
}

const (
	// defaultRetryAfter is the Retry-After of a refusal that states none.
	defaultRetryAfter = time.Second
	// maxRetryAfter bounds the Retry-After that is sent to a caller.
	maxRetryAfter = time.Hour

	minStatus = 200
	maxStatus = 599
)

// writeResponse writes the target's answer or, if there is none, a refusal.
func writeResponse(w http.ResponseWriter, method, id string, r *wire.Response) {
	if r.Outcome != wire.OutcomeAnswered {
		writeRefusal(w, id, r)
		return
	}
	// net/http panics on a status that HTTP does not define, and treats one below 200
	// as an interim response that another follows.
	if r.Status < minStatus || r.Status > maxStatus {
		writeRefusal(w, id, &wire.Response{Outcome: wire.OutcomeUnknown, Reason: reasonStatus})
		return
	}
	header := w.Header()
	for _, h := range r.Headers {
		// Only this daemon may set the headers that state the outcome.
		if name := http.CanonicalHeaderKey(h.Name); !strings.HasPrefix(name, reservedPrefix) {
			header[name] = append(header[name], h.Value)
		}
	}
	setOutcomeHeaders(header, id, r)
	// The Content-Length of a response to HEAD is that of the omitted body, so the
	// target's header stays.
	if method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(int(r.Status))
	_, _ = w.Write(r.Body)
}

// setOutcomeHeaders sets the headers that every response has.
func setOutcomeHeaders(head http.Header, id string, r *wire.Response) {
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
	code := statusCode(r)
	retry := min(r.RetryAfter, maxRetryAfter)
	if retry <= 0 && code >= http.StatusInternalServerError {
		retry = defaultRetryAfter
	}
	if retry > 0 {
		body.Retry = retry.String()
		head.Set("Retry-After", strconv.Itoa(ceilSeconds(retry)))
	}
	setOutcomeHeaders(head, id, r)
	head.Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// ceilSeconds rounds up, since a caller that retries too early is refused again.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func statusCode(r *wire.Response) int {
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
