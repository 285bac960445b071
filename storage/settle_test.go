package storage_test

import (
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"fulmarrun/platformstub"
	"fulmarrun/storage"
)

// writers is the number of racing writers in a run.
const writers = 3

// races is the number of runs of the property.
const races = 3000

type sleep = func(context.Context, time.Duration) error

// settle is the function under test, or a mutation of it.
type settle func(ctx context.Context, store *storage.Store, tx storage.Transaction, recognize func(storage.Row) bool, s sleep) storage.Outcome

func settled(ctx context.Context, store *storage.Store, tx storage.Transaction, recognize func(storage.Row) bool, s sleep) storage.Outcome {
	return storage.Settle(ctx, store, tx, recognize, storage.WithSleep(s))
}

// Mutations, each of which the oracle must catch.
var mutations = map[string]settle{
	"not there yet means failed": func(ctx context.Context, store *storage.Store, tx storage.Transaction, recognize func(storage.Row) bool, s sleep) storage.Outcome {
		naive := *store
		naive.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
			result, err := store.Transact(ctx, tx)
			if !errors.Is(err, storage.ErrUnavailable) {
				return result, err
			}
			if row, err := store.Get(ctx, tx.Writes[0].Key); err == nil && recognize(row) {
				return storage.Result{Applied: true}, nil
			}
			return storage.Result{}, storage.ErrRejected
		}
		out := settled(ctx, &naive, tx, recognize, s)
		if errors.Is(out.Err, storage.ErrRejected) {
			out.Verdict = storage.Lost
		}
		return out
	},
	"own write is not recognized": func(ctx context.Context, store *storage.Store, tx storage.Transaction, _ func(storage.Row) bool, s sleep) storage.Outcome {
		return settled(ctx, store, tx, func(storage.Row) bool { return false }, s)
	},
	"condition is read anew": func(ctx context.Context, store *storage.Store, tx storage.Transaction, recognize func(storage.Row) bool, s sleep) storage.Outcome {
		anew := *store
		anew.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
			if row, err := store.Get(ctx, tx.Writes[0].Key); err == nil {
				tx.Conditions = []storage.Condition{{Key: row.Key, Version: row.Version}}
			}
			return store.Transact(ctx, tx)
		}
		return settled(ctx, &anew, tx, recognize, s)
	},
}

// race runs the writers, interleaved at their waits as seed says, against a
// stub that loses replies, applies late and goes down, and returns what the
// oracle found wrong, if anything.
func race(seed uint64, f settle) error {
	random := rand.New(rand.NewPCG(seed, 2))
	applied := map[string]int{}
	var late []func()
	stub := platformstub.New(platformstub.WithSeed(seed),
		platformstub.WithApplyHook(func(tx storage.Transaction) { applied[tx.ID]++ }),
		platformstub.WithTimer(func(_ time.Duration, f func()) { late = append(late, f) }))
	store := stub.Store()
	outcomes := make([]storage.Outcome, writers)
	resume := make([]func() (struct{}, bool), writers)
	for i := range writers {
		next, stop := iter.Pull(func(yield func(struct{}) bool) {
			id := fmt.Sprintf("w%d", i)
			outcomes[i] = f(context.Background(), store, storage.Transaction{
				ID:         id,
				Conditions: []storage.Condition{{Key: "k"}},
				Writes:     []storage.Write{{Key: "k", Value: []byte(id)}},
			}, func(r storage.Row) bool { return string(r.Value) == id }, func(context.Context, time.Duration) error {
				yield(struct{}{})
				return nil
			})
		})
		defer stop()
		resume[i] = next
	}
	for running := writers; running > 0; {
		stub.SetFaults(platformstub.Faults{Outage: random.IntN(4) == 0, LoseShare: 0.4, LateShare: 0.4})
		if len(late) > 0 && random.IntN(3) == 0 {
			j := random.IntN(len(late))
			late[j]()
			late = append(late[:j], late[j+1:]...)
		}
		i := random.IntN(writers)
		if resume[i] == nil {
			continue
		}
		if _, ok := resume[i](); !ok {
			resume[i] = nil
			running--
		}
	}
	for _, f := range late {
		f()
	}
	return judge(outcomes, applied)
}

// judge is the oracle: one writer won, was applied once and knows it, and all
// others know that they lost and were never applied.
func judge(outcomes []storage.Outcome, applied map[string]int) error {
	won := 0
	for i, out := range outcomes {
		times := applied[fmt.Sprintf("w%d", i)]
		switch {
		case out.Verdict == storage.Applied && times == 1:
			won++
		case out.Verdict == storage.Lost && times == 0:
		default:
			return errors.Errorf("writer %d: verdict %s, applied %d times", i, out.Verdict, times)
		}
	}
	if won != 1 {
		return errors.Errorf("%d winners", won)
	}
	return nil
}

func TestOneWinner(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = races
	properties := gopter.NewProperties(parameters)
	properties.Property("one of the racing writers wins, once", prop.ForAll(func(seed uint64) (bool, error) {
		err := race(seed, settled)
		return err == nil, err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestConcurrentWriters has writers in goroutines of their own append their IDs
// to one row over HTTP while replies are lost and writes come late.
func TestConcurrentWriters(t *testing.T) {
	const goroutines, rounds = 6, 15
	stub := platformstub.New(platformstub.WithFaults(platformstub.Faults{LoseShare: 0.2, LateShare: 0.2, LateDelay: 3 * time.Millisecond}))
	server := httptest.NewServer(stub.Handler())
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	ctx := context.Background()
	applied := make(chan string, goroutines*rounds)
	var group sync.WaitGroup
	for g := range goroutines {
		group.Go(func() {
			store := storage.NewHTTP(addr)
			for r := range rounds {
				id := fmt.Sprintf("%d-%d;", g, r)
				row, err := store.Get(ctx, "k")
				if err != nil && !errors.Is(err, storage.ErrMissing) {
					t.Error(err)
				}
				out := storage.Settle(ctx, store, storage.Transaction{
					ID:         id,
					Conditions: []storage.Condition{{Key: "k", Version: row.Version}},
					Writes:     []storage.Write{{Key: "k", Value: append(row.Value, id...)}},
				}, func(r storage.Row) bool { return strings.Contains(string(r.Value), id) },
					storage.WithDelays(time.Millisecond, 4*time.Millisecond))
				if out.Verdict == storage.Applied {
					applied <- id
				}
			}
		})
	}
	group.Wait()
	close(applied)
	row, err := stub.Store().Get(ctx, "k")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for id := range applied {
		n += len(id)
		if strings.Count(string(row.Value), id) != 1 {
			t.Errorf("%s: in %s", id, row.Value)
		}
	}
	if n != len(row.Value) {
		t.Errorf("row has %d bytes, winners have %d", len(row.Value), n)
	}
}

func TestOracleCatchesMutations(t *testing.T) {
	for name, f := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if err := race(seed, f); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}

func TestSettle(t *testing.T) {
	tx := storage.Transaction{
		ID:         "mine",
		Conditions: []storage.Condition{{Key: "k", Version: 4}},
		Writes:     []storage.Write{{Key: "k", Value: []byte("mine")}},
	}
	row := func(version uint64, value string) []storage.Row {
		return []storage.Row{{Key: "k", Version: version, Value: []byte(value)}}
	}
	type answer struct {
		result storage.Result
		err    error
	}
	silent := answer{err: fmt.Errorf("transact: %w", storage.ErrUnavailable)}
	cases := []struct {
		name       string
		answers    []answer
		verdict    storage.Verdict
		unanswered int
		err        error
	}{
		{"applied at once", []answer{{result: storage.Result{Applied: true}}}, storage.Applied, 0, nil},
		{"lost at once", []answer{{result: storage.Result{Rows: row(5, "other")}}}, storage.Lost, 0, nil},
		{"deleted by another", []answer{{result: storage.Result{Rows: row(0, "")}}}, storage.Lost, 0, nil},
		{"lost reply", []answer{silent, {result: storage.Result{Rows: row(5, "mine")}}}, storage.Applied, 1, nil},
		{"lost reply, then lost", []answer{silent, silent, {result: storage.Result{Rows: row(6, "other")}}}, storage.Lost, 2, nil},
		{"older row is no loss", []answer{{result: storage.Result{Rows: row(3, "old")}}, {result: storage.Result{Applied: true}}}, storage.Applied, 0, nil},
		{"unnamed row is no loss", []answer{{}, {result: storage.Result{Applied: true}}}, storage.Applied, 0, nil},
		{"rejected", []answer{silent, {err: storage.ErrRejected}}, storage.Unknown, 1, storage.ErrRejected},
		{"never answered", []answer{silent, silent}, storage.Unknown, 2, context.Canceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			left := c.answers
			store := &storage.Store{Transact: func(_ context.Context, got storage.Transaction) (storage.Result, error) {
				if got.ID != tx.ID {
					t.Fatalf("another transaction: %+v", got)
				}
				a := left[0]
				left = left[1:]
				return a.result, a.err
			}}
			out := storage.Settle(ctx, store, tx, func(r storage.Row) bool { return string(r.Value) == "mine" },
				storage.WithSleep(func(ctx context.Context, d time.Duration) error {
					if len(left) == 0 {
						cancel()
					}
					return storage.Sleep(ctx, 0*d)
				}))
			if out.Verdict != c.verdict || out.Unanswered != c.unanswered || !errors.Is(out.Err, c.err) || len(left) != 0 {
				t.Fatalf("got %+v with %d answers left", out, len(left))
			}
		})
	}
}

func TestUnguarded(t *testing.T) {
	write := storage.Write{Key: "k"}
	cases := []struct {
		name string
		tx   storage.Transaction
		ok   bool
	}{
		{"no write", storage.Transaction{}, true},
		{"blind", storage.Transaction{Writes: []storage.Write{write}}, false},
		{"other row", storage.Transaction{Writes: []storage.Write{write}, Conditions: []storage.Condition{{Key: "x"}}}, false},
		{"own row", storage.Transaction{Writes: []storage.Write{write}, Conditions: []storage.Condition{{Key: "k"}}}, true},
		{"delete of nothing", storage.Transaction{Writes: []storage.Write{{Key: "k", Delete: true}}, Conditions: []storage.Condition{{Key: "k"}}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out := storage.Settle(context.Background(), platformstub.New().Store(), c.tx, func(storage.Row) bool { return false })
			if errors.Is(out.Err, storage.ErrUnguarded) == c.ok {
				t.Fatalf("got %+v", out)
			}
		})
	}
}

// TestDeletionReopensCreation shows the limit that the package comment names.
func TestDeletionReopensCreation(t *testing.T) {
	var late func()
	stub := platformstub.New(platformstub.WithFaults(platformstub.Faults{LateNext: 1}),
		platformstub.WithTimer(func(_ time.Duration, f func()) { late = f }))
	store, ctx := stub.Store(), context.Background()
	out := storage.Settle(ctx, store, storage.Transaction{
		Conditions: []storage.Condition{{Key: "k"}}, Writes: []storage.Write{{Key: "k"}},
	}, func(storage.Row) bool { return false }, storage.WithSleep(func(context.Context, time.Duration) error { return nil }))
	if out.Verdict != storage.Applied || out.Unanswered != 1 {
		t.Fatalf("got %+v", out)
	}
	if _, err := store.Transact(ctx, storage.Transaction{Writes: []storage.Write{{Key: "k", Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	late()
	if row, err := store.Get(ctx, "k"); err != nil || row.Version <= out.Rows[0].Version {
		t.Fatalf("got %+v, %v", row, err)
	}
}

func TestBackoff(t *testing.T) {
	var got []string
	ctx, cancel := context.WithCancel(context.Background())
	store := platformstub.New(platformstub.WithFaults(platformstub.Faults{Outage: true})).Store()
	storage.Settle(ctx, store, storage.Transaction{}, nil,
		storage.WithDelays(100*time.Millisecond, 300*time.Millisecond),
		storage.WithRandom(func() float64 { return 0.5 }),
		storage.WithSleep(func(_ context.Context, d time.Duration) error {
			got = append(got, d.String())
			if len(got) == 4 {
				cancel()
			}
			return ctx.Err()
		}))
	if want := "75ms 150ms 225ms 225ms"; strings.Join(got, " ") != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}
