package targetstub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fulmarrun/targethttp"
)

const (
	// overloadFactor multiplies the time of a request when the stub exceeds its capacity.
	overloadFactor = 4
	// minOverloadTime is the minimum base time of a request when the stub exceeds its
	// capacity.
	minOverloadTime = 5 * time.Millisecond
)

// Echo is the body of a response.
type Echo struct {
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Key      string `json:"key"`
	ID       string `json:"id"`
	// Body is the size of the request body in bytes.
	Body int64  `json:"body"`
	Pad  string `json:"pad,omitempty"`
}

// EffectiveCapacity returns how many requests at once a stub of the given age can serve
// without slowing down.
func EffectiveCapacity(age, warmup time.Duration, coldCapacity, capacity int) int {
	if age >= warmup {
		return capacity
	}
	return coldCapacity + int(int64(capacity-coldCapacity)*int64(age)/int64(warmup))
}

// RequestTime returns how long a request takes while running requests run, including the
// request itself. It is base up to the capacity and grows quadratically beyond it.
func RequestTime(base time.Duration, running, capacity int) time.Duration {
	if running <= capacity {
		return base
	}
	capacity = max(capacity, 1)
	overload := time.Duration(running*running) / time.Duration(capacity*capacity)
	return max(base, minOverloadTime) * overloadFactor * max(overload, 1)
}

func (s *Stub) serveRequest(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		http.Error(w, "request was cut short", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("Idempotency-Key")
	if id != "" {
		w.Header().Set("Idempotency-Key", id)
	}
	fault, delay, refusal := s.startRun(r, id)
	if refusal != nil {
		refusal.write(w)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	err = wait(ctx, delay, fault.Hang)
	s.endRun(id, err == nil)
	if err != nil {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.writeEcho(w, r, size, fault)
}

// refusal is the response to a request that doesn't run.
type refusal struct {
	status int
	header string
	reason string
}

func (f *refusal) write(w http.ResponseWriter) {
	w.Header().Set(f.header, f.reason)
	w.Header().Set("Retry-After", "1")
	http.Error(w, f.reason, f.status)
}

// startRun starts a run and returns the fault and time of it, or returns a refusal.
func (s *Stub) startRun(r *http.Request, id string) (Fault, time.Duration, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.checkGrants {
		if reason := s.grants.check(s.stamp(), r.Header); reason != "" {
			s.runs.fenced++
			return Fault{}, 0, &refusal{status: targethttp.StatusFenced, header: targethttp.HeaderFence, reason: reason}
		}
	}
	if s.fault.Shed || s.shedLimit > 0 && s.running >= s.shedLimit {
		s.runs.shed++
		return Fault{}, 0, &refusal{status: http.StatusServiceUnavailable, header: targethttp.HeaderShed, reason: "shed"}
	}
	s.running++
	s.runs.start(id, now, s.drainStart)
	_, _ = fmt.Fprintf(s.journal, "%d %s %q %q\n", now.UnixNano(), r.Method, id, r.URL.Path)
	effective := EffectiveCapacity(now.Sub(s.warmupStart), s.warmup, s.coldCapacity, s.capacity)
	return s.fault, RequestTime(s.requestTime, s.running, effective) + s.fault.Delay, nil
}

// endRun ends a run; finished is false if the request was cancelled or its deadline
// passed.
func (s *Stub) endRun(id string, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs.end(id, finished)
}

// withDeadline returns a context that ends at the deadline of the request, if it has one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	remaining, err := strconv.ParseInt(r.Header.Get(targethttp.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
}

// wait sleeps for d, or without limit if hang is set, and returns an error if ctx ends
// before.
func wait(ctx context.Context, d time.Duration, hang bool) error {
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeEcho writes the Echo of a request with a body of size bytes.
func (s *Stub) writeEcho(w http.ResponseWriter, r *http.Request, size int64, fault Fault) {
	key, err := url.PathUnescape(r.Header.Get(targethttp.HeaderKey))
	if err != nil {
		key = ""
	}
	e := Echo{
		Instance: s.name,
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Key:      key,
		ID:       r.Header.Get("Idempotency-Key"),
		Body:     size,
	}
	if pad, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && pad > 0 {
		e.Pad = strings.Repeat(".", pad)
	}
	if fault.Cut > 0 {
		writeTruncated(w, e, fault.Cut)
		return
	}
	writeJSON(w, http.StatusOK, e)
}

// writeTruncated declares the full length of the response, sends n bytes of the body and
// closes the connection.
func writeTruncated(w http.ResponseWriter, e Echo, n int) {
	data, err := json.Marshal(e)
	if err == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data[:min(n, len(data)-1)])
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}
