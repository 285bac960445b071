package targetstub

import (
	"net/http"
	"time"
)

// Load is what the stub reports about its load.
type Load struct {
	Running  int `json:"running"`
	Capacity int `json:"capacity"`
}

// report is a value that is reported late.
type report[T any] struct {
	value T
	at    time.Time
}

// read returns the value as it was at most lag ago.
func (r *report[T]) read(now time.Time, lag time.Duration, value T) T {
	if r.at.IsZero() || now.Sub(r.at) >= lag {
		r.value, r.at = value, now
	}
	return r.value
}

func (s *Stub) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	good := s.health.read(s.now(), s.fault.Lag, s.left.IsZero())
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
	answer(w, http.StatusOK, "good")
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
	answer(w, http.StatusOK, load)
}
