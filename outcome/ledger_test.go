package outcome_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarrun/outcome"
	"fulmarrun/wire"
)

const skew = 100 * time.Millisecond

var (
	start = time.UnixMilli(1_700_000_000_000)
	slot  = outcome.Unit{Service: "agenda", Slot: 7}
)

// timedID returns a UUIDv7 of the given time; n makes it unique.
func timedID(at time.Time, n int) string {
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	u[6], u[8] = 0x70, 0x80
	u[14], u[15] = byte(n>>8), byte(n)
	return u.String()
}

func answered(body string) *wire.Response {
	return &wire.Response{Outcome: wire.OutcomeAnswered, Status: 200, Headers: []wire.Header{{Name: "A", Value: "b"}}, Body: []byte(body)}
}

func check(t *testing.T, what string, d outcome.Decision, want outcome.Action, reason string) {
	t.Helper()
	got := ""
	if d.Response != nil {
		got = d.Response.Reason
	}
	if d.Action != want || got != reason {
		t.Errorf("%s: got action %d reason %q, want %d %q", what, d.Action, got, want, reason)
	}
}

func TestBegin(t *testing.T) {
	taken := start.Add(-time.Minute)
	cases := []struct {
		name   string
		id     string
		fresh  bool
		want   outcome.Action
		reason string
	}{
		{"new", timedID(start, 1), false, outcome.Run, ""},
		{"made before the take-over", timedID(taken, 1), false, outcome.Unknown, outcome.ReasonRecordLost},
		{"made within the margin", timedID(taken.Add(2*skew), 1), false, outcome.Unknown, outcome.ReasonRecordLost},
		{"made after the margin", timedID(taken.Add(2*skew+time.Millisecond), 1), false, outcome.Run, ""},
		{"fresh within the margin", timedID(taken, 1), true, outcome.Run, ""},
		{"ahead within the skew", timedID(start.Add(skew), 1), false, outcome.Run, ""},
		{"too far ahead", timedID(start.Add(skew+time.Millisecond), 1), false, outcome.Reject, outcome.ReasonFuture},
		{"without a time after a loss", "order-1", false, outcome.Unknown, outcome.ReasonRecordLost},
		{"UUIDv4", uuid.NameSpaceDNS.String(), false, outcome.Unknown, outcome.ReasonRecordLost},
		{"empty", "", false, outcome.Reject, outcome.ReasonMalformed},
		{"control character", "a\nb", false, outcome.Reject, outcome.ReasonMalformed},
		{"too long", strings.Repeat("x", 256), false, outcome.Reject, outcome.ReasonMalformed},
	}
	for _, tc := range cases {
		l := outcome.NewLedger(outcome.WithSkew(skew))
		l.Open(slot, taken)
		check(t, tc.name, l.Begin(start, slot, tc.id, tc.fresh), tc.want, tc.reason)
	}
	l := outcome.NewLedger(outcome.WithTimedIDsOnly())
	check(t, "not open", l.Begin(start, slot, "order-1", false), outcome.Reject, outcome.ReasonNotOwned)
	l.Open(slot, time.Time{})
	check(t, "strict", l.Begin(start, slot, "order-1", false), outcome.Reject, outcome.ReasonNoTime)
	check(t, "never owned before", l.Begin(start, slot, timedID(start.Add(-time.Hour), 1), false), outcome.Run, "")
}

func TestRecord(t *testing.T) {
	for _, id := range []string{timedID(start, 1), "order-1"} {
		l := outcome.NewLedger(outcome.WithMaxAnswerSize(64))
		l.Open(slot, time.Time{})
		check(t, "first", l.Begin(start, slot, id, false), outcome.Run, "")
		check(t, "second", l.Begin(start, slot, id, false), outcome.Join, "")
		l.Abandon(slot, id)
		check(t, "after abandon", l.Begin(start, slot, id, false), outcome.Run, "")
		l.Finish(slot, id, answered("ok"))
		d := l.Begin(start, slot, strings.ToUpper(id), false)
		if strings.Contains(id, "order") {
			check(t, "other case", d, outcome.Run, "")
			d = l.Begin(start, slot, id, false)
		}
		check(t, "replay", d, outcome.Replay, "")
		if r := d.Response; r.Outcome != wire.OutcomeAnswered || string(r.Body) != "ok" || r.Status != 200 || len(r.Headers) != 1 {
			t.Errorf("replayed %+v", r)
		}
	}
	l := outcome.NewLedger(outcome.WithMaxAnswerSize(64))
	l.Open(slot, time.Time{})
	l.Begin(start, slot, "long", false)
	l.Finish(slot, "long", answered(strings.Repeat("x", 64)))
	check(t, "too long to keep", l.Begin(start, slot, "long", false), outcome.Unknown, outcome.ReasonAnswerDropped)
	l.Begin(start, slot, "cut", false)
	l.Finish(slot, "cut", &wire.Response{})
	check(t, "unanswered", l.Begin(start, slot, "cut", false), outcome.Unknown, outcome.ReasonUnanswered)
}

func TestWait(t *testing.T) {
	id := timedID(start, 1)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name    string
		ctx     context.Context
		end     func(*outcome.Ledger)
		outcome wire.Outcome
		reason  string
	}{
		{"finished", t.Context(), func(l *outcome.Ledger) { l.Finish(slot, id, answered("ok")) }, wire.OutcomeAnswered, ""},
		{"not run", t.Context(), func(l *outcome.Ledger) { l.Finish(slot, id, &wire.Response{Outcome: wire.OutcomeNotRun}) }, wire.OutcomeNotRun, outcome.ReasonAbandoned},
		{"dropped", t.Context(), func(l *outcome.Ledger) { l.Drop(slot) }, wire.OutcomeUnknown, outcome.ReasonRecordLost},
		{"cancelled", ended, func(*outcome.Ledger) {}, wire.OutcomeUnknown, outcome.ReasonCancel},
	}
	for _, tc := range cases {
		for _, before := range []bool{true, false} {
			l := outcome.NewLedger()
			l.Open(slot, time.Time{})
			l.Begin(start, slot, id, false)
			if before {
				tc.end(l)
			} else {
				go tc.end(l)
			}
			resp := l.Wait(tc.ctx, slot, id)
			if resp.Outcome != tc.outcome || resp.Reason != tc.reason {
				t.Errorf("%s, before %v: got %+v", tc.name, before, resp)
			}
		}
	}
}

func TestHandOver(t *testing.T) {
	done, cut, runs, plain := timedID(start, 1), timedID(start, 2), timedID(start, 3), "order-1"
	old := outcome.NewLedger(outcome.WithSkew(skew))
	old.Open(slot, start.Add(-time.Hour))
	for _, id := range []string{done, cut, runs} {
		old.Begin(start, slot, id, false)
	}
	old.Begin(start, slot, plain, true)
	old.Finish(slot, done, answered("ok"))
	old.Finish(slot, plain, answered("ok"))
	old.Finish(slot, cut, &wire.Response{})
	if n := old.Running(slot); n != 1 {
		t.Errorf("got %d unfinished runs, want 1", n)
	}
	old.Freeze(slot)
	check(t, "frozen", old.Begin(start, slot, done, false), outcome.Frozen, "")
	m, ok := old.Export(slot)
	if !ok {
		t.Fatal("Export returned no records")
	}
	data, err := wire.Encode(&m)
	if err != nil {
		t.Fatal(err)
	}
	var got wire.RecordHandover
	if err := wire.Decode(data, &got); err != nil {
		t.Fatal(err)
	}
	next := outcome.NewLedger(outcome.WithSkew(skew))
	next.Import(got)
	check(t, "answered", next.Begin(start, slot, done, false), outcome.Replay, "")
	check(t, "without a time", next.Begin(start, slot, plain, false), outcome.Replay, "")
	check(t, "cut", next.Begin(start, slot, cut, false), outcome.Unknown, outcome.ReasonUnanswered)
	check(t, "running", next.Begin(start, slot, runs, false), outcome.Unknown, outcome.ReasonUnanswered)
	check(t, "before the floor", next.Begin(start, slot, timedID(start.Add(-time.Hour), 4), false), outcome.Unknown, outcome.ReasonRecordLost)
	check(t, "new", next.Begin(start, slot, timedID(start, 4), false), outcome.Run, "")
	old.Unfreeze(slot)
	check(t, "unfrozen", old.Begin(start, slot, done, false), outcome.Replay, "")
	old.Drop(slot)
	if u := old.Usage(); u != (outcome.Usage{}) {
		t.Errorf("usage after Drop: %+v, want zero", u)
	}
}

func TestBounds(t *testing.T) {
	l := outcome.NewLedger(outcome.WithMaxRecords(4), outcome.WithMaxAnswerMemory(60), outcome.WithSkew(skew), outcome.WithRetention(time.Hour))
	l.Open(slot, time.Time{})
	run := func(id string) {
		t.Helper()
		check(t, id, l.Begin(start, slot, id, false), outcome.Run, "")
		l.Finish(slot, id, answered("ok"))
	}
	for n := range 4 {
		run(timedID(start.Add(time.Duration(n)*time.Millisecond), n))
	}
	check(t, "freed answer", l.Begin(start, slot, timedID(start, 0), false), outcome.Unknown, outcome.ReasonAnswerDropped)
	run(timedID(start.Add(4*time.Millisecond), 4))
	check(t, "dropped record", l.Begin(start, slot, timedID(start, 0), false), outcome.Unknown, outcome.ReasonRecordLost)
	check(t, "as old as it", l.Begin(start, slot, timedID(start, 99), false), outcome.Unknown, outcome.ReasonRecordLost)
	run("order-1")
	run("order-2")
	check(t, "too many without a time", l.Begin(start, slot, "order-3", false), outcome.Reject, outcome.ReasonFull)
	if u := l.Usage(); u.Records != 4 || u.Bytes > 60 {
		t.Errorf("usage %+v", u)
	}
	l.Expire(start.Add(time.Hour + 2*skew))
	if u := l.Usage(); u.Records != 4 {
		t.Errorf("records expired too early: usage %+v", u)
	}
	l.Expire(start.Add(time.Hour + 2*skew + time.Millisecond))
	if u := l.Usage(); u != (outcome.Usage{}) {
		t.Errorf("usage after the retention: %+v, want zero", u)
	}
	later := start.Add(2 * time.Hour)
	check(t, "expired", l.Begin(later, slot, timedID(start, 1), false), outcome.Unknown, outcome.ReasonRecordLost)
	check(t, "without a time, expired", l.Begin(later, slot, "order-1", false), outcome.Run, "")
}

func TestImportKeepsKnownAnswer(t *testing.T) {
	id := timedID(start, 1)
	l := outcome.NewLedger()
	handover := func(records ...wire.Record) wire.RecordHandover {
		return wire.RecordHandover{Service: slot.Service, Slot: slot.Slot, Records: records}
	}
	l.Import(handover(wire.Record{ID: id, CreatedAt: start}))
	check(t, "unknown", l.Begin(start, slot, id, false), outcome.Unknown, outcome.ReasonUnanswered)
	l.Import(handover(wire.Record{ID: id, CreatedAt: start, Outcome: wire.OutcomeAnswered, Status: 200}, wire.Record{ID: ""}))
	check(t, "answered", l.Begin(start, slot, id, false), outcome.Replay, "")
	l.Import(handover(wire.Record{ID: id, CreatedAt: start}))
	check(t, "still answered", l.Begin(start, slot, id, false), outcome.Replay, "")
}

func BenchmarkBeginFinish(b *testing.B) {
	l := outcome.NewLedger()
	l.Open(slot, time.Time{})
	ids := make([]string, 200_000)
	for n := range ids {
		ids[n] = timedID(start.Add(time.Duration(n>>16)*time.Millisecond), n)
	}
	resp := answered(strings.Repeat("x", 50))
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		id := ids[n%len(ids)]
		if d := l.Begin(start, slot, id, true); d.Action == outcome.Run {
			l.Finish(slot, id, resp)
		}
	}
}

// BenchmarkMemory reports the heap bytes per record, with answers of the given size,
// in 512 slots.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{0, 50, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(heapPerRecord(size), "B/record")
			}
		})
	}
}
