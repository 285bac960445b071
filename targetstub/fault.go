package targetstub

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Fault selects the faults that a stub injects. The zero Fault injects none.
type Fault struct {
	// Delay is added to the time of each request.
	Delay time.Duration
	// Shed makes the stub reject every request as overloaded.
	Shed bool
	// Hang keeps each request running until it is cancelled or its deadline passes.
	Hang bool
	// Cut, if positive, closes the connection after that many bytes of each response body.
	Cut int
	// Health is "good" or "bad" to report that regardless of the actual health.
	Health string
	// Load is "low" or "high" to report no load or full load regardless of the actual load.
	Load string
	// Lag is the maximum age of the values in health and load reports.
	Lag time.Duration
}

// SetFault replaces the injected faults.
func (s *Stub) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// ResetWarmup makes the stub as cold as at its start, without an extra announcement.
func (s *Stub) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmupStart = s.now()
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

// parseFault parses the form of POST /fault.
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
