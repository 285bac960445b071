package logs_test

import (
	"fmt"
	"testing"

	"fulmarrun/logs"
)

// TestSampler checks that each event has room of its own, that marked IDs have more, and
// that two processes log the same of these.
func TestSampler(t *testing.T) {
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
	one, other := logs.NewSampler(perSecond), logs.NewSampler(perSecond)
	first, second := logged(one, "a"), logged(other, "a")
	// Twice as many at once, for any ID and for marked ones.
	const room = 2 * 2 * perSecond
	if len(first) < room || len(first) > room+perSecond {
		t.Errorf("%d lines of one event at once", len(first))
	}
	same := 0
	for id := range first {
		if second[id] {
			same++
		}
	}
	if same < room {
		t.Errorf("two processes have %d requests in common", same)
	}
	if again := logged(one, "b"); len(again) < room {
		t.Errorf("%d lines of another event", len(again))
	}
}

// TestSamplerMarked checks that marked IDs are logged while all others use their room up.
func TestSamplerMarked(t *testing.T) {
	const perSecond = 5
	s := logs.NewSampler(perSecond)
	late := 0
	for i := range 1000 {
		if _, ok := s.Allow("a", fmt.Sprint("id-", i)); ok && i > 4*perSecond {
			late++
		}
	}
	if late < perSecond {
		t.Errorf("%d lines about marked requests after the first", late)
	}
}
