package platformstub_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"fulmarrun/platformstub"
	"fulmarrun/storage"
)

// stores returns a store that calls the stub in process and one that calls it over
// HTTP.
func stores(t *testing.T, stub *platformstub.Stub) map[string]*storage.Store {
	server := httptest.NewServer(stub.Handler())
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	return map[string]*storage.Store{"direct": stub.Store(), "http": storage.NewHTTP(addr)}
}

func newWrite(key, value string) storage.Write { return storage.Write{Key: key, Value: []byte(value)} }

func TestContract(t *testing.T) {
	ctx := context.Background()
	for _, name := range []string{"direct", "http"} {
		t.Run(name, func(t *testing.T) {
			stub := platformstub.New()
			store := stores(t, stub)[name]
			if !store.LastAnswer().IsZero() {
				t.Fatal("Answered is set before the first call")
			}
			if _, err := store.Get(ctx, "a/1"); !errors.Is(err, storage.ErrMissing) {
				t.Fatalf("get of a missing row: %v", err)
			}
			if store.LastAnswer().IsZero() {
				t.Fatal("Answered is not set after the answer that a row is missing")
			}
			r, err := store.Transact(ctx, storage.Transaction{
				Conditions: []storage.Condition{{Key: "a/1"}},
				Writes:     []storage.Write{newWrite("a/1", "x"), newWrite("a/2", "y"), newWrite("b/1", "z")},
			})
			if err != nil || !r.Applied || len(r.Rows) != 3 || string(r.Rows[0].Value) != "x" || r.Rows[0].Version == 0 {
				t.Fatalf("create: %+v %v", r, err)
			}
			r, err = store.Transact(ctx, storage.Transaction{
				Conditions: []storage.Condition{{Key: "a/1"}, {Key: "c"}},
				Writes:     []storage.Write{newWrite("a/2", "no")},
			})
			if err != nil || r.Applied || string(r.Rows[0].Value) != "x" || r.Rows[1].Version != 0 || string(r.Rows[2].Value) != "y" {
				t.Fatalf("failed condition: %+v %v", r, err)
			}
			rows, err := store.List(ctx, "a/", "a/1", 10)
			if err != nil || len(rows) != 1 || rows[0].Key != "a/2" {
				t.Fatalf("list: %+v %v", rows, err)
			}
			for _, object := range []string{"o/b c?&", "o/a", "p/a"} {
				if err := store.PutObject(ctx, object, []byte(object)); err != nil {
					t.Fatal(err)
				}
			}
			if err := store.PutObject(ctx, "o/a", []byte("other")); !errors.Is(err, storage.ErrRejected) {
				t.Fatalf("put of other content: %v", err)
			}
			if data, err := store.GetObject(ctx, "o/b c?&"); err != nil || string(data) != "o/b c?&" {
				t.Fatalf("get object: %q %v", data, err)
			}
			if _, err := store.GetObject(ctx, "none"); !errors.Is(err, storage.ErrMissing) {
				t.Fatalf("get of a missing object: %v", err)
			}
			if names, err := store.ListObjects(ctx, "o/", "", 9); err != nil || strings.Join(names, " ") != "o/a o/b c?&" {
				t.Fatalf("list objects: %q %v", names, err)
			}
		})
	}
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	tx := storage.Transaction{Conditions: []storage.Condition{{Key: "k"}}, Writes: []storage.Write{newWrite("k", "v")}}
	cases := []struct {
		name    string
		faults  platformstub.Faults
		applied bool // at once
		late    bool // after the delay
	}{
		{"outage", platformstub.Faults{Outage: true}, false, false},
		{"lost reply", platformstub.Faults{LoseNext: 1}, true, false},
		{"lost share", platformstub.Faults{LoseShare: 1}, true, false},
		{"late", platformstub.Faults{LateNext: 1, LateDelay: time.Hour}, false, true},
		{"late share", platformstub.Faults{LateShare: 1, LateDelay: time.Hour}, false, true},
		{"slow", platformstub.Faults{Latency: time.Hour}, true, false},
	}
	for _, c := range cases {
		for _, name := range []string{"direct", "http"} {
			t.Run(c.name+" "+name, func(t *testing.T) {
				var late []func()
				stub := platformstub.New(
					platformstub.WithFaults(c.faults),
					platformstub.WithTimer(func(_ time.Duration, f func()) { late = append(late, f) }),
					platformstub.WithSleep(func(context.Context, time.Duration) error { return context.DeadlineExceeded }),
				)
				store := stores(t, stub)[name]
				if _, err := store.Transact(ctx, tx); !errors.Is(err, storage.ErrUnavailable) {
					t.Fatalf("transact: got %v, want ErrUnavailable", err)
				}
				if !store.LastAnswer().IsZero() {
					t.Fatal("Answered is set after a call without an answer")
				}
				stub.SetFaults(platformstub.Faults{})
				if _, err := store.Get(ctx, "k"); (err == nil) != c.applied {
					t.Fatalf("get before the delay of late writes: %v", err)
				}
				for _, f := range late {
					f()
				}
				if _, err := store.Get(ctx, "k"); (err == nil) != (c.applied || c.late) {
					t.Fatalf("get after the delay of late writes: %v", err)
				}
			})
		}
	}
}

func TestRate(t *testing.T) {
	now := time.Unix(0, 0)
	stub := platformstub.New(
		platformstub.WithFaults(platformstub.Faults{WriteRate: 2}),
		platformstub.WithClock(func() time.Time { return now }),
	)
	store := stores(t, stub)["http"]
	write := func() error { return store.PutObject(context.Background(), "o", nil) }
	for i, want := range []bool{true, true, false, false} {
		if err := write(); (err == nil) != want || (err != nil && !errors.Is(err, storage.ErrUnavailable)) {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	now = now.Add(time.Second)
	if err := write(); err != nil {
		t.Fatal(err)
	}
	if got := stub.Counts(); got != (platformstub.Counts{Writes: 3, Limited: 2}) {
		t.Fatalf("counts %+v", got)
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	stub := platformstub.New()
	server := httptest.NewServer(stub.Handler())
	defer server.Close()
	postFaults := func(body string) int {
		resp, err := http.Post(server.URL+"/fault", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	if got := postFaults(`{"latency":"1ms","lose":0.5,"latenext":2,"delay":"3s"}`); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	want := platformstub.Faults{Latency: time.Millisecond, LoseShare: 0.5, LateNext: 2, LateDelay: 3 * time.Second}
	if stub.Faults() != want {
		t.Fatalf("got %+v", stub.Faults())
	}
	for _, malformed := range []string{`{"latency":5}`, `{"loose":1}`, `[`} {
		if got := postFaults(malformed); got != http.StatusBadRequest {
			t.Fatalf("%s: status %d", malformed, got)
		}
	}
	resp, err := http.Get(server.URL + "/counts")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if data, _ := io.ReadAll(resp.Body); string(data) != `{"reads":0,"writes":0,"limited":0}`+"\n" {
		t.Fatalf("counts %s", data)
	}
}

// TestVersionsRise checks random writes and deletions of three keys: the version of
// a row rises with each change, also across a deletion, and a transaction is
// applied if and only if its condition holds.
func TestVersionsRise(t *testing.T) {
	ctx := context.Background()
	property := prop.ForAll(func(steps []int) bool {
		store := platformstub.New().Store()
		current, highest := map[string]uint64{}, map[string]uint64{}
		for _, step := range steps {
			key := string(rune('a' + step%3))
			w := storage.Write{Key: key, Delete: step/3%2 == 0}
			condition := current[key]
			if stale := step/6%3 == 0; stale {
				condition = highest[key] + 1
			}
			r, err := store.Transact(ctx, storage.Transaction{
				Conditions: []storage.Condition{{Key: key, Version: condition}}, Writes: []storage.Write{w},
			})
			if err != nil || r.Applied != (condition == current[key]) {
				return false
			}
			if !r.Applied {
				continue
			}
			current[key] = r.Rows[0].Version
			if w.Delete != (current[key] == 0) || (!w.Delete && current[key] <= highest[key]) {
				return false
			}
			highest[key] = max(highest[key], current[key])
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 17)))
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("versions rise", property)
	properties.TestingRun(t)
}

// TestPages compares a page of names with the result of filtering all names.
func TestPages(t *testing.T) {
	ctx := context.Background()
	nameGen := gen.RegexMatch("[ab/]{0,3}")
	property := prop.ForAll(func(names []string, prefix, after string, limit int) bool {
		store := platformstub.New().Store()
		for _, name := range names {
			if err := store.PutObject(ctx, name, nil); err != nil {
				return false
			}
		}
		var want []string
		for _, name := range slices.Compact(slices.Sorted(slices.Values(names))) {
			if strings.HasPrefix(name, prefix) && name > after && len(want) < limit {
				want = append(want, name)
			}
		}
		got, err := store.ListObjects(ctx, prefix, after, limit)
		return err == nil && slices.Equal(got, want)
	}, gen.SliceOf(nameGen), nameGen, nameGen, gen.IntRange(0, 5))
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("a page is the filter of all names", property)
	properties.TestingRun(t)
}

func BenchmarkTransact(b *testing.B) {
	stub := platformstub.New()
	server := httptest.NewServer(stub.Handler())
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	for name, store := range map[string]*storage.Store{"direct": stub.Store(), "http": storage.NewHTTP(addr)} {
		b.Run(name, func(b *testing.B) {
			value := make([]byte, 200)
			b.ReportAllocs()
			for b.Loop() {
				_, err := store.Transact(context.Background(), storage.Transaction{Writes: []storage.Write{{Key: "k", Value: value}}})
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
