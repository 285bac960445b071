package targethttp_test

import (
	"testing"
	"time"

	"fulmarrun/targethttp"
)

// TestOvertakenAnswers checks that an answer that was overtaken by a later one does not end
// what the later one states, and that what another daemon passes on does not either.
func TestOvertakenAnswers(t *testing.T) {
	start := time.Unix(100, 0)
	type answer struct {
		sent, arrived time.Duration
		condition     targethttp.Condition
	}
	limited := func(rate float64) targethttp.Condition {
		return targethttp.Condition{RateLimited: true, RateLimit: rate}
	}
	none, leaving := targethttp.Condition{}, targethttp.Condition{Leaving: true}
	for _, tc := range []struct {
		name    string
		answers []answer
		// adopted is passed on by another daemon after the answers.
		adopted targethttp.Condition
		want    targethttp.Condition
	}{
		{"nothing stated", []answer{{0, 1, none}}, none, none},
		{"limit", []answer{{0, 1, limited(5)}}, none, limited(5)},
		{"limit changes", []answer{{0, 3, limited(5)}, {1, 4, limited(9)}}, none, limited(9)},
		{"limit of zero", []answer{{0, 3, limited(0)}}, none, limited(0)},
		{"answer sent before the limit", []answer{{0, 3, limited(5)}, {2, 4, none}}, none, limited(5)},
		{"limit ends", []answer{{0, 3, limited(5)}, {3, 4, none}}, none, none},
		{"leaving", []answer{{0, 1, leaving}, {2, 3, none}}, none, leaving},
		{"limit of another daemon", nil, limited(5), limited(5)},
		{"leaving, by another daemon", []answer{{0, 1, limited(5)}}, leaving, targethttp.Condition{RateLimited: true, RateLimit: 5, Leaving: true}},
	} {
		var s targethttp.Statement
		for _, a := range tc.answers {
			s = s.Update(a.condition, start.Add(a.sent), start.Add(a.arrived))
		}
		s = s.Adopt(tc.adopted, start.Add(10))
		if s.Condition != tc.want {
			t.Errorf("%s: %+v, want %+v", tc.name, s.Condition, tc.want)
		}
	}
}
