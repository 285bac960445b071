package forward_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarrun/forward"
	"fulmarrun/wire"
)

// TestStatementsOfTargets checks what is passed on about the target of an instance, whose
// process may end and be followed by another.
func TestStatementsOfTargets(t *testing.T) {
	start := time.Unix(100, 0)
	limited := func(process string, rate float64) *wire.TargetCondition {
		return &wire.TargetCondition{Process: process, RateLimited: true, RateLimit: rate}
	}
	leaving := &wire.TargetCondition{Process: "a", Leaving: true}
	for _, tc := range []struct {
		name string
		// answers arrive one second apart, each half a second after its request was sent.
		answers []*wire.TargetCondition
		after   time.Duration
		want    *wire.TargetCondition
	}{
		{"nothing stated", []*wire.TargetCondition{nil}, 0, nil},
		{"limit", []*wire.TargetCondition{limited("a", 5)}, 0, limited("a", 5)},
		{"limit ended", []*wire.TargetCondition{limited("a", 5), nil}, 0, nil},
		{"leaving", []*wire.TargetCondition{leaving, leaving}, time.Second, &wire.TargetCondition{Process: "a", Leaving: true, Age: 2 * time.Second}},
		{"next process", []*wire.TargetCondition{leaving, limited("b", 7)}, 0, limited("b", 7)},
		{"long ago", []*wire.TargetCondition{leaving, nil}, forward.StatementTTL, nil},
	} {
		var s forward.Statements
		now := start
		for _, stated := range tc.answers {
			now = now.Add(time.Second)
			s.Record("m", stated, now.Add(-time.Second/2), now)
		}
		got := s.Known("m", now.Add(tc.after))
		if (got == nil) != (tc.want == nil) || got != nil && *got != *tc.want {
			t.Errorf("%s: %+v, want %+v", tc.name, got, tc.want)
		}
	}
}

// TestStatementsAreBounded checks that statements of targets that ended long ago are dropped.
func TestStatementsAreBounded(t *testing.T) {
	var s forward.Statements
	now := time.Unix(100, 0)
	for i := range 10_000 {
		now = now.Add(time.Second)
		s.Record(fmt.Sprint(i), &wire.TargetCondition{Process: "p", Leaving: true}, now, now)
	}
	if kept, most := s.Len(), int(forward.StatementTTL/time.Second)+2; kept > most {
		t.Errorf("%d statements kept, at most %d are in time", kept, most)
	}
}
