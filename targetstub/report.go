package targetstub

import (
	"net/http"
	"time"
)

// Load is the body of a load report.
type Load struct {
	Running  int `json:"running"`
	Capacity int `json:"capacity"`
}

// laggedValue is a reported value that can lag behind the current one.
type laggedValue[T any] struct {
	value  T
	readAt time.Time
}

// read returns the value of an earlier read if it is younger than lag, and otherwise the
// current value.
func (r *laggedValue[T]) read(now time.Time, lag time.Duration, value T) T {
	if r.readAt.IsZero() || now.Sub(r.readAt) >= lag {
		r.value, r.readAt = value, now
	}
	return r.value
}

func (s *Stub) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	good := s.health.read(s.now(), s.fault.Lag, s.drainStart.IsZero())
	switch s.fault.Health {
	case "good":
		good = true
	case "bad":
		good = false
	}
	s.mu.Unlock()
	if !good {
		http.Error(w, "bad", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, "good")
}

func (s *Stub) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := s.load.read(s.now(), s.fault.Lag, Load{Running: s.running, Capacity: s.capacity})
	switch s.fault.Load {
	case "low":
		load.Running = 0
	case "high":
		load.Running = load.Capacity
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}
