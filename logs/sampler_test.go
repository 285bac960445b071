package logs_test

import (
	"fmt"
	"testing"

	"fulmarrun/logs"
)

// TestSamplerLimitsEachEvent checks that each event has its own limit, that IDs with a
// reserved limit get additional lines, and that two processes log the same IDs.
func TestSamplerLimitsEachEvent(t *testing.T) {
	const perSecond, ids = 5, 4000
	logged := func(s *logs.Sampler, event string) map[string]bool {
		out := make(map[string]bool)
		for i := range ids {
			id := fmt.Sprint("id-", i)
			if _, ok := s.Allow(event, id); ok {
				out[id] = true
			}
		}
		return out
	}
	process, otherProcess := logs.NewSampler(perSecond), logs.NewSampler(perSecond)
	first, second := logged(process, "a"), logged(otherProcess, "a")
	// The shared and the reserved limit each allow a burst of twice perSecond.
	const burst = 2 * 2 * perSecond
	if len(first) < burst || len(first) > burst+perSecond {
		t.Errorf("%d lines of one event logged in a burst", len(first))
	}
	common := 0
	for id := range first {
		if second[id] {
			common++
		}
	}
	if common < burst {
		t.Errorf("two processes logged only %d requests in common", common)
	}
	if again := logged(process, "b"); len(again) < burst {
		t.Errorf("only %d lines of another event logged", len(again))
	}
}

// TestSamplerReservedIDs checks that IDs with a reserved limit are logged while the
// other IDs exhaust the shared limit.
func TestSamplerReservedIDs(t *testing.T) {
	const perSecond = 5
	s := logs.NewSampler(perSecond)
	loggedAfterBurst := 0
	for i := range 1000 {
		if _, ok := s.Allow("a", fmt.Sprint("id-", i)); ok && i > 4*perSecond {
			loggedAfterBurst++
		}
	}
	if loggedAfterBurst < perSecond {
		t.Errorf("only %d lines logged after the shared limit was exhausted", loggedAfterBurst)
	}
}
