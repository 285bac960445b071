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
	// overloadFactor multiplies the time of a request beyond what the stub bears.
	overloadFactor = 4
	// overloadFloor is the time that a request takes at least when overloaded.
	overloadFloor = 5 * time.Millisecond
)

// Echo is the body of an answer.
type Echo struct {
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Key      string `json:"key"`
	ID       string `json:"id"`
	// Body is the number of bytes that the request's body had.
	Body int64  `json:"body"`
	Pad  string `json:"pad,omitempty"`
}

// EffectiveCapacity returns the concurrency that a stub of the given age bears.
func EffectiveCapacity(age, warmup time.Duration, coldest, capacity int) int {
	if age >= warmup {
		return capacity
	}
	return coldest + int(int64(capacity-coldest)*int64(age)/int64(warmup))
}

// RequestTime returns how long a request takes while running requests run, itself
// included: work up to what is bearable, and quadratically more beyond.
func RequestTime(work time.Duration, running, bearable int) time.Duration {
	if running <= bearable {
		return work
	}
	bearable = max(bearable, 1)
	over := time.Duration(running*running) / time.Duration(bearable*bearable)
	return max(work, overloadFloor) * overloadFactor * max(over, 1)
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
	fault, delay, refusal := s.enter(r, id)
	if refusal != nil {
		refusal.write(w)
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	err = pause(ctx, delay, fault.Hang)
	s.exit(id, err == nil)
	if err != nil {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.echo(w, r, size, fault)
}

// refusal is the answer to a request that doesn't run.
type refusal struct {
	status int
	header string
	text   string
}

func (f *refusal) write(w http.ResponseWriter) {
	w.Header().Set(f.header, f.text)
	w.Header().Set("Retry-After", "1")
	http.Error(w, f.text, f.status)
}

// enter starts a run, or refuses it.
func (s *Stub) enter(r *http.Request, id string) (Fault, time.Duration, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.checks {
		if reason := s.grants.check(s.stamp(), r.Header); reason != "" {
			s.runs.fenced++
			return Fault{}, 0, &refusal{status: targethttp.StatusFenced, header: targethttp.HeaderFence, text: reason}
		}
	}
	if s.fault.Shed || s.shed > 0 && s.running >= s.shed {
		s.runs.shed++
		return Fault{}, 0, &refusal{status: http.StatusServiceUnavailable, header: targethttp.HeaderShed, text: "shed"}
	}
	s.running++
	s.runs.start(id, now, s.left)
	_, _ = fmt.Fprintf(s.journal, "%d %s %q %q\n", now.UnixNano(), r.Method, id, r.URL.Path)
	bearable := EffectiveCapacity(now.Sub(s.started), s.warmup, s.coldest, s.capacity)
	return s.fault, RequestTime(s.work, s.running, bearable) + s.fault.Delay, nil
}

func (s *Stub) exit(id string, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs.end(id, finished)
}

// deadline returns a context that ends when the caller's time has run out.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(r.Header.Get(targethttp.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

func pause(ctx context.Context, d time.Duration, hang bool) error {
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

func (s *Stub) echo(w http.ResponseWriter, r *http.Request, size int64, fault Fault) {
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
		cut(w, e, fault.Cut)
		return
	}
	answer(w, http.StatusOK, e)
}

// cut declares the whole answer, sends n bytes of it and drops the connection.
func cut(w http.ResponseWriter, e Echo, n int) {
	data, err := json.Marshal(e)
	if err == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data[:min(n, len(data)-1)])
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}
