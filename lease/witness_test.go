package lease_test

import (
	"testing"
	"time"

	"fulmarrun/lease"
	"fulmarrun/wire"
)

// start is the time origin of these tests.
var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestWitness runs steps on one witness, generation 9, of the holder 1.
func TestWitness(t *testing.T) {
	const (
		tick = iota
		watch
		unwatch
		answer            // want: whether there is an answer
		answerUnsupported // the same without support for the witness; want: whether there is an answer
		vote              // want: expired
		overdue
	)
	type step struct {
		ms   int
		do   int
		want bool
		wait int // expected Verdict.Wait in milliseconds
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{name: "an answer binds the witness for a TTL", steps: []step{
			{0, watch, false, 0},
			{100, answer, true, 0},
			{500, tick, false, 0},
			{900, overdue, false, 0},
			{900, vote, false, 200},
			{1099, vote, false, 1},
			{1100, overdue, true, 0},
			{1100, vote, true, 0},
		}},
		{name: "a vote binds the witness permanently", steps: []step{
			{0, watch, false, 0},
			{500, tick, false, 0},
			{1000, vote, true, 0},
			{1001, answer, false, 0},
			{1400, tick, false, 0},
			{1401, unwatch, false, 0},
			{1402, watch, false, 0},
			{1403, answer, false, 0},
			{1404, vote, true, 0},
			{1405, overdue, true, 0},
		}},
		{name: "an answer to a holder that is not watched binds too", steps: []step{
			{0, answer, true, 0}, {400, vote, false, 600}, {800, vote, false, 200}, {1000, vote, true, 0},
		}},
		{name: "an unknown holder keeps its lease for a TTL", steps: []step{
			{0, vote, false, 1000}, {400, vote, false, 600}, {800, tick, false, 0}, {1000, vote, true, 0},
		}},
		{name: "Unwatch keeps the time of the last answer", steps: []step{
			{0, answer, true, 0}, {10, unwatch, false, 0}, {20, vote, false, 980},
		}},
		{name: "after a pause no vote for a TTL", steps: []step{
			{0, watch, false, 0},
			{10, answer, true, 0},
			{3000, overdue, false, 0},
			{3000, vote, false, 1000},
			{3400, answer, true, 0},
			{3800, tick, false, 0},
			{4200, tick, false, 0},
			{4400, vote, true, 0},
		}},
		{name: "answers without support bind too", steps: []step{
			{0, answerUnsupported, true, 0}, {400, vote, false, 600},
		}},
	} {
		w := lease.NewWitness(9)
		for _, s := range tc.steps {
			got, wait := s.want, 0
			switch s.do {
			case tick:
				w.Tick(at(s.ms))
			case watch:
				w.Watch(1, at(s.ms))
			case unwatch:
				w.Unwatch(1)
			case answer, answerUnsupported:
				_, got = w.Answer(at(s.ms), wire.Heartbeat{From: 1, To: 9, Seq: 2}, s.do == answer)
			case vote:
				verdict := w.Vote(at(s.ms), wire.Vote{From: 8, Holder: 1})
				got, wait = verdict.Expired, int(verdict.Wait/time.Millisecond)
			case overdue:
				got = len(w.Overdue(at(s.ms))) == 1
			}
			if got != s.want || wait != s.wait {
				t.Errorf("%s: at %d ms action %d gave %v and wait %d", tc.name, s.ms, s.do, got, wait)
			}
		}
	}
}

func TestWitnessIgnoresForeignHeartbeats(t *testing.T) {
	w := lease.NewWitness(9)
	for _, hb := range []wire.Heartbeat{
		{From: 1, To: 8, Seq: 2},
		{From: 1, To: 9, Seq: 2, Answer: true},
	} {
		if answer, ok := w.Answer(start, hb, true); ok {
			t.Errorf("%+v was answered by %+v", hb, answer)
		}
	}
}
