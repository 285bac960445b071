package grants_test

import (
	"slices"
	"testing"
	"time"

	"fulmarrun/grants"
)

const second = time.Second

// at returns the start time of the tests plus d.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func owned(epochs ...uint64) map[uint32]grants.Slot {
	out := make(map[uint32]grants.Slot)
	for i, e := range epochs {
		if e > 0 {
			first := uint32(i) * 100
			out[uint32(i)] = grants.Slot{Range: grants.Range{First: first, Last: first + 99}, Epoch: e, Token: "old"}
		}
	}
	return out
}

// target simulates a target that follows the answers.
type target struct {
	table   *grants.Table
	process grants.Process
	seq     uint64
	holds   []grants.Range
}

func (g *target) beat(t *testing.T, now, until time.Time, released ...grants.Release) grants.Answer {
	t.Helper()
	g.seq++
	b := grants.Beat{Process: g.process, Sequence: g.seq, Held: g.holds, Released: released}
	if v := g.table.Classify(&b); v != grants.Current {
		t.Fatalf("beat %d is classified as %v", g.seq, v)
	}
	answer := g.table.Beat(now, &b, until)
	if answer.ListsGrants {
		g.holds = nil
		for _, grant := range answer.Grants {
			g.holds = append(g.holds, grant.Range)
		}
	}
	return answer
}

func TestGrantEndsBeforeTheLease(t *testing.T) {
	for _, tc := range []struct {
		lease   time.Duration
		granted bool
	}{{20 * second, true}, {3 * second, true}, {200 * time.Millisecond, true}, {120 * time.Millisecond, false}, {-second, false}} {
		g := target{table: grants.NewTable(time.Time{})}
		g.table.SetSlots(owned(1))
		answer := g.beat(t, at(0), at(tc.lease))
		if answer.ListsGrants != tc.granted {
			t.Errorf("lease of %v: answer lists grants: %v", tc.lease, answer.ListsGrants)
		}
		if end := time.Duration(float64(answer.For) * 1.02); answer.ListsGrants && end >= tc.lease || answer.For > 10*second {
			t.Errorf("lease of %v: held for %v by a slow clock", tc.lease, end)
		}
	}
}

// TestNoLease checks that nothing is granted for the zero time, which stands for no lease.
func TestNoLease(t *testing.T) {
	g := target{table: grants.NewTable(time.Time{})}
	g.table.SetSlots(owned(1))
	if answer := g.beat(t, at(0), time.Time{}); answer.ListsGrants {
		t.Errorf("granted %v for %v without a lease", answer.Grants, answer.For)
	}
}

func TestGrants(t *testing.T) {
	g := target{table: grants.NewTable(time.Time{})}
	g.table.SetSlots(owned(2, 2, 3, 0, 3))
	want := []grants.Grant{
		{Range: grants.Range{First: 0, Last: 199}, Fence: 2, Token: "old"},
		{Range: grants.Range{First: 200, Last: 299}, Fence: 3, Token: "old"},
		{Range: grants.Range{First: 400, Last: 499}, Fence: 3, Token: "old"},
	}
	if got := g.beat(t, at(0), at(9*second)).Grants; !slices.Equal(got, want) {
		t.Errorf("first answer %v, want %v", got, want)
	}
	for i := range want {
		want[i].Token = ""
	}
	if got := g.beat(t, at(second), at(9*second)).Grants; !slices.Equal(got, want) {
		t.Errorf("second answer %v, want %v", got, want)
	}
}

// TestMaxAnswerSize checks that an answer stays within its maximum size, that held ranges
// come first, and that omitted slots do not count as granted.
func TestMaxAnswerSize(t *testing.T) {
	const slots = 300
	many := make(map[uint32]grants.Slot)
	for i := range uint32(slots) {
		many[i] = grants.Slot{Range: grants.Range{First: 200 * i, Last: 200*i + 99}, Epoch: 7, Token: "5c0e7a21d94b36f8"}
	}
	g := target{table: grants.NewTable(time.Time{}, grants.WithMaxAnswerSize(4096))}
	g.table.SetSlots(many)
	previous := 0
	for beat := range 4 {
		answer := g.beat(t, at(time.Duration(beat)*second), at(20*second))
		size := 64
		for _, grant := range answer.Grants {
			size += 11
			if grant.Token != "" {
				size += 18
			}
		}
		if size > 4096 {
			t.Errorf("beat %d: %d bytes", beat, size)
		}
		granted := 0
		for i := range uint32(slots) {
			if g.table.Granted(at(time.Duration(beat)*second), i) {
				granted++
			}
		}
		if granted != len(answer.Grants) || granted < previous {
			t.Errorf("beat %d: %d slots granted by %d grants, previously %d", beat, granted, len(answer.Grants), previous)
		}
		previous = granted
	}
	if previous != slots {
		t.Errorf("%d of %d ranges are granted after the last beat", previous, slots)
	}
}

// TestFree checks when a withheld slot becomes free to change owners.
func TestFree(t *testing.T) {
	moved := grants.Release{Range: grants.Range{First: 0, Last: 99}, Token: "new"}
	for _, tc := range []struct {
		name   string
		action func(g *target)
		now    time.Duration
		token  string
		free   bool
	}{
		{"still held", func(*target) {}, second, "", false},
		{"released", func(g *target) {
			g.holds = []grants.Range{{First: 100, Last: 199}}
			g.beat(t, at(second), at(9*second), moved)
		}, second, "new", true},
		{"released, requests still run", func(g *target) {
			g.beat(t, at(second), at(9*second), moved)
			g.holds = []grants.Range{{First: 50, Last: 50}}
			g.beat(t, at(2*second), at(9*second))
		}, 2 * second, "", false},
		{"no longer reported, an answer may be in transit", func(g *target) {
			g.holds = nil
			g.beat(t, at(second), at(9*second))
		}, second, "", false},
		{"no longer reported", func(g *target) {
			g.holds = nil
			g.beat(t, at(2*second), at(9*second))
		}, 2 * second, "", true},
		{"no beats until all grants have expired", func(*target) {}, 9 * second, "", true},
		{"target exited", func(g *target) { g.table.TargetExited() }, second, "", true},
		{"withholding cancelled", func(g *target) { g.table.CancelWithhold(0) }, 20 * second, "", false},
	} {
		g := target{table: grants.NewTable(time.Time{})}
		g.table.SetSlots(owned(1, 1))
		g.beat(t, at(0), at(9*second))
		g.table.Withhold(0)
		tc.action(&g)
		if token, free := g.table.Free(at(tc.now), 0); free != tc.free || token != tc.token {
			t.Errorf("%s: free %v with token %q", tc.name, free, token)
		}
	}
}

// TestMarkRejected checks that a slot for which the target rejected a request counts as
// granted again only after the next answer.
func TestMarkRejected(t *testing.T) {
	g := target{table: grants.NewTable(time.Time{})}
	g.table.SetSlots(owned(1))
	g.beat(t, at(0), at(9*second))
	if !g.table.Granted(at(second), 0) {
		t.Error("not granted after the answer")
	}
	g.table.MarkRejected(at(second), 0)
	if g.table.Granted(at(second), 0) {
		t.Error("granted although the target rejected a request for it")
	}
	g.beat(t, at(2*second), at(9*second))
	if !g.table.Granted(at(2*second), 0) {
		t.Error("not granted after the next answer")
	}
}

// TestWithheldIsServed checks that a withheld slot gets requests until an answer omits it,
// as long as they end before that.
func TestWithheldIsServed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		action func(*target)
		now    time.Duration
		want   bool
	}{
		{"held", func(*target) {}, 2 * second, true},
		{"withheld", func(g *target) { g.table.Withhold(0) }, second, true},
		{"withheld, and the next beat is near", func(g *target) { g.table.Withhold(0) }, 1700 * time.Millisecond, false},
		{"withheld, and the next beat is overdue", func(g *target) { g.table.Withhold(0) }, 3 * second, false},
		{"omitted from an answer", func(g *target) {
			g.table.Withhold(0)
			g.beat(t, at(2*second), at(9*second))
		}, 2 * second, false},
		{"an answer without a lease omits nothing", func(g *target) {
			g.table.Withhold(0)
			g.beat(t, at(2*second), time.Time{})
		}, 2 * second, true},
		{"withholding cancelled", func(g *target) {
			g.table.Withhold(0)
			g.beat(t, at(2*second), at(9*second))
			g.table.CancelWithhold(0)
		}, 2 * second, true},
		{"withheld again", func(g *target) {
			g.table.Withhold(0)
			g.beat(t, at(2*second), at(9*second))
			g.table.CancelWithhold(0)
			g.table.Withhold(0)
		}, 2 * second, true},
	} {
		g := target{table: grants.NewTable(time.Time{}, grants.WithInterval(second))}
		g.table.SetSlots(owned(1))
		g.beat(t, at(0), at(9*second))
		g.beat(t, at(second), at(9*second))
		g.table.SetRequestTime(400 * time.Millisecond)
		tc.action(&g)
		if got := g.table.Granted(at(tc.now), 0); got != tc.want {
			t.Errorf("%s: granted %v", tc.name, got)
		}
	}
}

// TestInherited checks that a slot is not free until grants of an earlier process have
// expired.
func TestInherited(t *testing.T) {
	g := target{table: grants.NewTable(at(3 * second))}
	g.table.SetSlots(owned(1))
	g.table.Withhold(0)
	g.beat(t, at(second), at(9*second))
	if _, free := g.table.Free(at(second), 0); free {
		t.Error("free while a grant of an earlier process may last")
	}
	if _, free := g.table.Free(at(3*second), 0); !free {
		t.Error("not free after all grants of an earlier process have run out")
	}
}

func TestClassify(t *testing.T) {
	first := grants.Process{Name: "a", Started: at(0)}
	for _, tc := range []struct {
		name string
		beat grants.Beat
		want grants.Freshness
	}{
		{"next", grants.Beat{Process: first, Sequence: 6}, grants.Current},
		{"out of order", grants.Beat{Process: first, Sequence: 4}, grants.Stale},
		{"earlier process", grants.Beat{Process: grants.Process{Name: "0", Started: at(-second)}, Sequence: 9}, grants.Stale},
		{"later process", grants.Beat{Process: grants.Process{Name: "b", Started: at(second)}, Sequence: 1}, grants.Restarted},
		{"later process with the same name", grants.Beat{Process: grants.Process{Name: "a", Started: at(second)}, Sequence: 1}, grants.Restarted},
	} {
		table := grants.NewTable(time.Time{})
		table.SetSlots(owned(1))
		beat := grants.Beat{Process: first, Sequence: 5}
		if v := table.Classify(&beat); v != grants.Current {
			t.Fatalf("first beat is classified as %v", v)
		}
		table.Beat(at(0), &beat, at(9*second))
		if got := table.Classify(&tc.beat); got != tc.want {
			t.Errorf("%s: classified as %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestParseProcess(t *testing.T) {
	for _, tc := range []struct {
		text string
		want grants.Process
		ok   bool
	}{
		{"i-1/1000", grants.Process{Name: "i-1", Started: time.UnixMilli(1000)}, true},
		{"a/b/-5", grants.Process{Name: "a/b", Started: time.UnixMilli(-5)}, true},
		{"", grants.Process{}, false},
		{"i-1", grants.Process{}, false},
		{"i-1/", grants.Process{}, false},
		{"i-1/soon", grants.Process{}, false},
		{"i-1/9223372036854775808", grants.Process{}, false},
	} {
		got, ok := grants.ParseProcess(tc.text)
		if ok != tc.ok || got != tc.want {
			t.Errorf("%q: %+v, %t", tc.text, got, ok)
		}
		if ok && got.String() != tc.text {
			t.Errorf("%q: formatted as %q", tc.text, got)
		}
	}
}

// TestSequenceFarAhead receives a beat with a sequence that is not the target's own. The beats
// that follow must not count as overtaken by it.
func TestSequenceFarAhead(t *testing.T) {
	table := grants.NewTable(time.Time{})
	for _, tc := range []struct {
		sequence uint64
		want     grants.Freshness
	}{
		{5, grants.Current},
		{1 << 52, grants.Current},
		{6, grants.Current},
		{8, grants.Current},
		{7, grants.Stale},
		{8, grants.Stale},
		{9, grants.Current},
	} {
		b := grants.Beat{Process: grants.Process{Name: "i-1", Started: time.UnixMilli(1000)}, Sequence: tc.sequence}
		if got := table.Classify(&b); got != tc.want {
			t.Errorf("sequence %d: %v, want %v", tc.sequence, got, tc.want)
		}
	}
}
