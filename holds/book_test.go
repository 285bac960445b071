package holds_test

import (
	"slices"
	"testing"
	"time"

	"fulmarrun/holds"
)

const second = time.Second

// at returns a time of the clock.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func owned(epochs ...uint64) map[uint32]holds.Slot {
	out := make(map[uint32]holds.Slot)
	for i, e := range epochs {
		if e > 0 {
			first := uint32(i) * 100
			out[uint32(i)] = holds.Slot{Range: holds.Range{First: first, Last: first + 99}, Epoch: e, Token: "old"}
		}
	}
	return out
}

// target is a target that does what it is told.
type target struct {
	book  *holds.GrantTable
	life  holds.Process
	seq   uint64
	holds []holds.Range
}

func (g *target) beat(t *testing.T, now, until time.Time, released ...holds.Release) holds.Answer {
	t.Helper()
	g.seq++
	b := holds.Beat{Process: g.life, Sequence: g.seq, Holds: g.holds, Released: released}
	if v := g.book.Classify(&b); v != holds.Current {
		t.Fatalf("beat %d is judged %v", g.seq, v)
	}
	answer := g.book.Beat(now, &b, until)
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
		lease time.Duration
		given bool
	}{{20 * second, true}, {3 * second, true}, {200 * time.Millisecond, true}, {120 * time.Millisecond, false}, {-second, false}} {
		g := target{book: holds.NewGrantTable(time.Time{})}
		g.book.SetSlots(owned(1))
		answer := g.beat(t, at(0), at(tc.lease))
		if answer.ListsGrants != tc.given {
			t.Errorf("lease of %v: given %v", tc.lease, answer.ListsGrants)
		}
		if end := time.Duration(float64(answer.For) * 1.02); answer.ListsGrants && end >= tc.lease || answer.For > 10*second {
			t.Errorf("lease of %v: held for %v, by a slow clock", tc.lease, end)
		}
	}
}

// TestNoLease checks that the zero time, which stands for no lease, grants nothing.
func TestNoLease(t *testing.T) {
	g := target{book: holds.NewGrantTable(time.Time{})}
	g.book.SetSlots(owned(1))
	if answer := g.beat(t, at(0), time.Time{}); answer.ListsGrants {
		t.Errorf("granted %v for %v without a lease", answer.Grants, answer.For)
	}
}

func TestGrants(t *testing.T) {
	g := target{book: holds.NewGrantTable(time.Time{})}
	g.book.SetSlots(owned(2, 2, 3, 0, 3))
	want := []holds.Grant{
		{Range: holds.Range{First: 0, Last: 199}, Fence: 2, Token: "old"},
		{Range: holds.Range{First: 200, Last: 299}, Fence: 3, Token: "old"},
		{Range: holds.Range{First: 400, Last: 499}, Fence: 3, Token: "old"},
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

// TestRoom checks that an answer stays within its size, that what is held already
// goes first, and that what is left out is not taken to be granted.
func TestRoom(t *testing.T) {
	const slots = 300
	many := make(map[uint32]holds.Slot)
	for i := range uint32(slots) {
		many[i] = holds.Slot{Range: holds.Range{First: 200 * i, Last: 200*i + 99}, Epoch: 7, Token: "5c0e7a21d94b36f8"}
	}
	g := target{book: holds.NewGrantTable(time.Time{}, holds.WithMaxAnswerSize(4096))}
	g.book.SetSlots(many)
	before := 0
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
			if g.book.Granted(at(time.Duration(beat)*second), i) {
				granted++
			}
		}
		if granted != len(answer.Grants) || granted < before {
			t.Errorf("beat %d: %d granted in %d, before %d", beat, granted, len(answer.Grants), before)
		}
		before = granted
	}
	if before != slots {
		t.Errorf("%d of %d ranges are granted in the end", before, slots)
	}
}

// TestFree follows a slot that is to change hands.
func TestFree(t *testing.T) {
	moved := holds.Release{Range: holds.Range{First: 0, Last: 99}, Token: "new"}
	for _, tc := range []struct {
		name  string
		then  func(g *target)
		now   time.Duration
		token string
		free  bool
	}{
		{"still held", func(*target) {}, second, "", false},
		{"released", func(g *target) {
			g.holds = []holds.Range{{First: 100, Last: 199}}
			g.beat(t, at(second), at(9*second), moved)
		}, second, "new", true},
		{"released, work goes on", func(g *target) {
			g.beat(t, at(second), at(9*second), moved)
			g.holds = []holds.Range{{First: 50, Last: 50}}
			g.beat(t, at(2*second), at(9*second))
		}, 2 * second, "", false},
		{"gone without a word, an answer is under way", func(g *target) {
			g.holds = nil
			g.beat(t, at(second), at(9*second))
		}, second, "", false},
		{"gone without a word", func(g *target) {
			g.holds = nil
			g.beat(t, at(2*second), at(9*second))
		}, 2 * second, "", true},
		{"silent until all has run out", func(*target) {}, 9 * second, "", true},
		{"dead", func(g *target) { g.book.TargetExited() }, second, "", true},
		{"thawed", func(g *target) { g.book.CancelWithhold(0) }, 20 * second, "", false},
	} {
		g := target{book: holds.NewGrantTable(time.Time{})}
		g.book.SetSlots(owned(1, 1))
		g.beat(t, at(0), at(9*second))
		g.book.Withhold(0)
		tc.then(&g)
		if token, free := g.book.Free(at(tc.now), 0); free != tc.free || token != tc.token {
			t.Errorf("%s: free %v with token %q", tc.name, free, token)
		}
	}
}

// TestRefuted checks that a slot which the target denies to hold counts as granted
// again only with the next answer.
func TestRefuted(t *testing.T) {
	g := target{book: holds.NewGrantTable(time.Time{})}
	g.book.SetSlots(owned(1))
	g.beat(t, at(0), at(9*second))
	if !g.book.Granted(at(second), 0) {
		t.Error("not granted after the answer")
	}
	g.book.MarkRejected(at(second), 0)
	if g.book.Granted(at(second), 0) {
		t.Error("granted although the target denies it")
	}
	g.beat(t, at(2*second), at(9*second))
	if !g.book.Granted(at(2*second), 0) {
		t.Error("not granted after the next answer")
	}
}

// TestWithheldIsServed checks that a slot which is to change hands is given work until
// the target is told, as far as that work ends before.
func TestWithheldIsServed(t *testing.T) {
	for _, tc := range []struct {
		name string
		then func(*target)
		now  time.Duration
		want bool
	}{
		{"held", func(*target) {}, 2 * second, true},
		{"withheld", func(g *target) { g.book.Withhold(0) }, second, true},
		{"withheld, and the next beat is near", func(g *target) { g.book.Withhold(0) }, 1700 * time.Millisecond, false},
		{"withheld, and the next beat is overdue", func(g *target) { g.book.Withhold(0) }, 3 * second, false},
		{"told", func(g *target) {
			g.book.Withhold(0)
			g.beat(t, at(2*second), at(9*second))
		}, 2 * second, false},
		{"an answer without a lease tells nothing", func(g *target) {
			g.book.Withhold(0)
			g.beat(t, at(2*second), time.Time{})
		}, 2 * second, true},
		{"thawed", func(g *target) {
			g.book.Withhold(0)
			g.beat(t, at(2*second), at(9*second))
			g.book.CancelWithhold(0)
		}, 2 * second, true},
		{"withheld once more", func(g *target) {
			g.book.Withhold(0)
			g.beat(t, at(2*second), at(9*second))
			g.book.CancelWithhold(0)
			g.book.Withhold(0)
		}, 2 * second, true},
	} {
		g := target{book: holds.NewGrantTable(time.Time{}, holds.WithInterval(second))}
		g.book.SetSlots(owned(1))
		g.beat(t, at(0), at(9*second))
		g.beat(t, at(second), at(9*second))
		g.book.SetRequestTime(400 * time.Millisecond)
		tc.then(&g)
		if got := g.book.Granted(at(tc.now), 0); got != tc.want {
			t.Errorf("%s: granted %v", tc.name, got)
		}
	}
}

// TestInherited checks that what an earlier process granted is waited for.
func TestInherited(t *testing.T) {
	g := target{book: holds.NewGrantTable(at(3 * second))}
	g.book.SetSlots(owned(1))
	g.book.Withhold(0)
	g.beat(t, at(second), at(9*second))
	if _, free := g.book.Free(at(second), 0); free {
		t.Error("free while a grant of an earlier process may last")
	}
	if _, free := g.book.Free(at(3*second), 0); !free {
		t.Error("not free after all grants of an earlier process have run out")
	}
}

func TestJudge(t *testing.T) {
	first := holds.Process{Name: "a", Started: at(0)}
	for _, tc := range []struct {
		name string
		beat holds.Beat
		want holds.Freshness
	}{
		{"next", holds.Beat{Process: first, Sequence: 6}, holds.Current},
		{"overtaken", holds.Beat{Process: first, Sequence: 4}, holds.Stale},
		{"earlier life", holds.Beat{Process: holds.Process{Name: "0", Started: at(-second)}, Sequence: 9}, holds.Stale},
		{"later life", holds.Beat{Process: holds.Process{Name: "b", Started: at(second)}, Sequence: 1}, holds.Restarted},
		{"later life, same name", holds.Beat{Process: holds.Process{Name: "a", Started: at(second)}, Sequence: 1}, holds.Restarted},
	} {
		book := holds.NewGrantTable(time.Time{})
		book.SetSlots(owned(1))
		beat := holds.Beat{Process: first, Sequence: 5}
		if v := book.Classify(&beat); v != holds.Current {
			t.Fatalf("first beat is judged %v", v)
		}
		book.Beat(at(0), &beat, at(9*second))
		if got := book.Classify(&tc.beat); got != tc.want {
			t.Errorf("%s: judged %v, want %v", tc.name, got, tc.want)
		}
	}
}
