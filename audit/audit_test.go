package audit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/audit"
	"fulmarrun/platformstub"
	"fulmarrun/storage"
)

var startTime = time.Date(2026, 12, 4, 3, 0, 0, 5, time.FixedZone("CST", -6*3600))

func newEntry(i int) audit.Entry {
	return audit.Entry{At: startTime.Add(time.Duration(i) * time.Minute), Who: "w", What: audit.Move, Change: fmt.Sprintf("c%d", i)}
}

// writeEntries adds the entries to a writer, runs it until they are written, and
// returns its counts.
func writeEntries(t *testing.T, stub *platformstub.Stub, entries ...audit.Entry) audit.Counts {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := audit.NewWriter(stub.Store(), audit.WithDrain(time.Minute), audit.WithBackoff(
		storage.WithSleep(func(context.Context, time.Duration) error { return nil })))
	for _, e := range entries {
		w.Add(e)
	}
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return w.Counts()
}

func changeIDs(entries []audit.Entry) string {
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Change)
	}
	return strings.Join(names, " ")
}

func TestListAndNewest(t *testing.T) {
	ctx := context.Background()
	stub := platformstub.New()
	store := stub.Store()
	offsets := []int{2, 0, 1, 300, 100000, 2, 0}
	entries := make([]audit.Entry, 0, len(offsets))
	for _, i := range offsets {
		entries = append(entries, newEntry(i))
	}
	if got := writeEntries(t, stub, entries...); got != (audit.Counts{Written: 7}) {
		t.Fatalf("counts %+v", got)
	}
	now := startTime.Add(100000 * time.Minute)
	cases := []struct {
		name string
		list func() ([]audit.Entry, error)
		want string
	}{
		{"all", func() ([]audit.Entry, error) { return audit.List(ctx, store, time.Time{}, 99) }, "c0 c1 c2 c300 c100000"},
		{"from a given time", func() ([]audit.Entry, error) { return audit.List(ctx, store, newEntry(1).At, 2) }, "c1 c2"},
		{"newest", func() ([]audit.Entry, error) { return audit.Newest(ctx, store, now, 1) }, "c100000"},
		{"newest of several windows", func() ([]audit.Entry, error) { return audit.Newest(ctx, store, now, 3) }, "c100000 c300 c2"},
		{"limit above the number of entries", func() ([]audit.Entry, error) { return audit.Newest(ctx, store, now, 99) }, "c100000 c300 c2 c1 c0"},
	}
	for _, c := range cases {
		got, err := c.list()
		if err != nil || changeIDs(got) != c.want {
			t.Errorf("%s: got %s, %v", c.name, changeIDs(got), err)
		}
	}
	got, err := audit.List(ctx, store, time.Time{}, 1)
	want := newEntry(0)
	want.At = want.At.UTC()
	if err != nil || len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestNewestReadsSeveralPages(t *testing.T) {
	stub := platformstub.New()
	const n = 2003
	entries := make([]audit.Entry, 0, n)
	for i := range n {
		e := newEntry(0)
		e.Change = fmt.Sprintf("c%04d", i)
		entries = append(entries, e)
	}
	writeEntries(t, stub, entries...)
	got, err := audit.Newest(context.Background(), stub.Store(), startTime, 5)
	if err != nil || changeIDs(got) != "c2002 c2001 c2000 c1999 c1998" {
		t.Fatalf("got %s, %v", changeIDs(got), err)
	}
}

func TestNamesSortByTime(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("the name of a later entry sorts after that of an earlier one", prop.ForAll(func(a, b int64) bool {
		first := audit.Entry{At: time.Unix(0, a).In(startTime.Location()), Change: "z"}
		second := audit.Entry{At: time.Unix(0, a+b), Change: "a"}
		return first.Name() < second.Name()
	}, gen.Int64Range(0, 1<<61), gen.Int64Range(1, 1<<61)))
	properties.TestingRun(t)
}

func TestOutage(t *testing.T) {
	stub := platformstub.New(platformstub.WithFaults(platformstub.Faults{Outage: true}))
	waits := 0
	ctx, cancel := context.WithCancel(context.Background())
	w := audit.NewWriter(stub.Store(), audit.WithQueue(2), audit.WithBackoff(
		storage.WithSleep(func(context.Context, time.Duration) error {
			if waits++; waits == 3 {
				stub.SetFaults(platformstub.Faults{LoseNext: 1})
				cancel()
			}
			return nil
		})))
	for i := range 5 {
		if got := w.Add(newEntry(i)); got != (i < 2) {
			t.Fatalf("entry %d: Add returned %v", i, got)
		}
	}
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := w.Counts(); got != (audit.Counts{Written: 2, Dropped: 3}) {
		t.Fatalf("counts %+v", got)
	}
	got, err := audit.List(context.Background(), stub.Store(), time.Time{}, 99)
	if err != nil || changeIDs(got) != "c0 c1" {
		t.Fatalf("got %s, %v", changeIDs(got), err)
	}
}

func TestUnwrittenEntries(t *testing.T) {
	stub := platformstub.New(platformstub.WithFaults(platformstub.Faults{Outage: true}))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := audit.NewWriter(stub.Store(), audit.WithDrain(0))
	w.Add(newEntry(0))
	w.Add(newEntry(1))
	if err := w.Run(ctx); err == nil {
		t.Fatal("no error for unwritten entries")
	}
	if w.Add(newEntry(2)) {
		t.Error("entry added after Run ended")
	}
	if got := w.Counts(); got != (audit.Counts{Unwritten: 2, Dropped: 1}) {
		t.Fatalf("counts %+v", got)
	}
}

func TestRejectedEntries(t *testing.T) {
	conflicting := newEntry(0)
	conflicting.Who = "someone else"
	if got := writeEntries(t, platformstub.New(), newEntry(0), conflicting, audit.Entry{}); got != (audit.Counts{Written: 1, Rejected: 2}) {
		t.Fatalf("counts %+v", got)
	}
}
