package targetstub

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Fault is how a stub misbehaves. The zero Fault is none.
type Fault struct {
	// Delay is added to each request.
	Delay time.Duration
	// Shed refuses each request.
	Shed bool
	// Hang runs each request until it is cancelled or its deadline passes.
	Hang bool
	// Cut drops the connection after that many bytes of each answer's body.
	Cut int
	// Health is "good" or "bad" to report that whatever is true.
	Health string
	// Load is "low" or "high" to report that whatever is true.
	Load string
	// Lag is the greatest age of what the health and load reports say.
	Lag time.Duration
}

// SetFault replaces the fault.
func (s *Stub) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// ResetWarmup makes the stub as cold as at its start, without a word.
func (s *Stub) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = s.now()
}

func (s *Stub) serveFault(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err := parseFault(r.Form)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	if r.Form.Get("cold") == "true" {
		s.ResetWarmup()
	}
	w.WriteHeader(http.StatusNoContent)
}

func parseFault(form url.Values) (Fault, error) {
	f := Fault{
		Shed:   form.Get("shed") == "true",
		Hang:   form.Get("hang") == "true",
		Health: form.Get("health"),
		Load:   form.Get("load"),
	}
	var err error
	if text := form.Get("delay"); text != "" {
		if f.Delay, err = time.ParseDuration(text); err != nil {
			return Fault{}, fmt.Errorf("delay: %w", err)
		}
	}
	if text := form.Get("lag"); text != "" {
		if f.Lag, err = time.ParseDuration(text); err != nil {
			return Fault{}, fmt.Errorf("lag: %w", err)
		}
	}
	if text := form.Get("cut"); text != "" {
		if f.Cut, err = strconv.Atoi(text); err != nil {
			return Fault{}, fmt.Errorf("cut: %w", err)
		}
	}
	return f, nil
}
