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

// racingWriters is the number of writers that compete for a row in each run.
const racingWriters = 3

// raceRuns is the number of random runs of the property.
const raceRuns = 3000

type sleepFunc = func(context.Context, time.Duration) error

// settleFunc is the function under test, or a mutation of it.
type settleFunc func(ctx context.Context, store *storage.Store, tx storage.Transaction, recognize func(storage.Row) bool, s sleepFunc) storage.Outcome

func settle(ctx context.Context, store *storage.Store, tx storage.Transaction, recognize func(storage.Row) bool, s sleepFunc) storage.Outcome {
	return storage.Settle(ctx, store, tx, recognize, storage.WithSleep(s))
}

// mutations are faulty versions of settle, each of which the oracle must detect.
var mutations = map[string]settleFunc{
	"missing write counts as failed": func(ctx context.Context, store *storage.Store, tx storage.Transaction, recognize func(storage.Row) bool, s sleepFunc) storage.Outcome {
		assumeFailed := *store
		assumeFailed.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
			result, err := store.Transact(ctx, tx)
			if !errors.Is(err, storage.ErrUnavailable) {
				return result, err
			}
			if row, err := store.Get(ctx, tx.Writes[0].Key); err == nil && recognize(row) {
				return storage.Result{Applied: true}, nil
			}
			return storage.Result{}, storage.ErrRejected
		}
		out := settle(ctx, &assumeFailed, tx, recognize, s)
		if errors.Is(out.Err, storage.ErrRejected) {
			out.Verdict = storage.Lost
		}
		return out
	},
	"own write is not recognized": func(ctx context.Context, store *storage.Store, tx storage.Transaction, _ func(storage.Row) bool, s sleepFunc) storage.Outcome {
		return settle(ctx, store, tx, func(storage.Row) bool { return false }, s)
	},
	"condition is read again before a retry": func(ctx context.Context, store *storage.Store, tx storage.Transaction, recognize func(storage.Row) bool, s sleepFunc) storage.Outcome {
		rereadCondition := *store
		rereadCondition.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
			if row, err := store.Get(ctx, tx.Writes[0].Key); err == nil {
				tx.Conditions = []storage.Condition{{Key: row.Key, Version: row.Version}}
			}
			return store.Transact(ctx, tx)
		}
		return settle(ctx, &rereadCondition, tx, recognize, s)
	},
}

// race runs the writers, interleaved at their waits in an order derived from seed,
// against a stub that loses responses, applies writes late and has outages. It
// returns the fault that the oracle found, if any.
func race(seed uint64, f settleFunc) error {
	random := rand.New(rand.NewPCG(seed, 2))
	applied := map[string]int{}
	var delayedWrites []func()
	stub := platformstub.New(platformstub.WithSeed(seed),
		platformstub.WithApplyHook(func(tx storage.Transaction) { applied[tx.ID]++ }),
		platformstub.WithTimer(func(_ time.Duration, f func()) { delayedWrites = append(delayedWrites, f) }))
	store := stub.Store()
	outcomes := make([]storage.Outcome, racingWriters)
	resume := make([]func() (struct{}, bool), racingWriters)
	for i := range racingWriters {
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
	for running := racingWriters; running > 0; {
		stub.SetFaults(platformstub.Faults{Outage: random.IntN(4) == 0, LoseShare: 0.4, LateShare: 0.4})
		if len(delayedWrites) > 0 && random.IntN(3) == 0 {
			j := random.IntN(len(delayedWrites))
			delayedWrites[j]()
			delayedWrites = append(delayedWrites[:j], delayedWrites[j+1:]...)
		}
		i := random.IntN(racingWriters)
		if resume[i] == nil {
			continue
		}
		if _, ok := resume[i](); !ok {
			resume[i] = nil
			running--
		}
	}
	for _, f := range delayedWrites {
		f()
	}
	return checkOutcomes(outcomes, applied)
}

// checkOutcomes is the oracle: exactly one writer has the verdict Applied and its
// transaction was applied once; all others have the verdict Lost and theirs were
// never applied.
func checkOutcomes(outcomes []storage.Outcome, applied map[string]int) error {
	winners := 0
	for i, out := range outcomes {
		times := applied[fmt.Sprintf("w%d", i)]
		switch {
		case out.Verdict == storage.Applied && times == 1:
			winners++
		case out.Verdict == storage.Lost && times == 0:
		default:
			return errors.Errorf("writer %d: verdict %s, applied %d times", i, out.Verdict, times)
		}
	}
	if winners != 1 {
		return errors.Errorf("%d winners", winners)
	}
	return nil
}

func TestOneRacingWriterWins(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = raceRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("exactly one of the racing writers wins, and is applied once", prop.ForAll(func(seed uint64) (bool, error) {
		err := race(seed, settle)
		return err == nil, err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestConcurrentWriters runs writers in concurrent goroutines. They append their IDs
// to one row over HTTP while responses are lost and writes are delayed.
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
			t.Errorf("ID %s does not appear exactly once in row %s", id, row.Value)
		}
	}
	if n != len(row.Value) {
		t.Errorf("row has %d bytes, applied IDs have %d", len(row.Value), n)
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
			t.Fatal("oracle did not detect the mutation")
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
	noAnswer := answer{err: fmt.Errorf("transact: %w", storage.ErrUnavailable)}
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
		{"lost response", []answer{noAnswer, {result: storage.Result{Rows: row(5, "mine")}}}, storage.Applied, 1, nil},
		{"lost response, then another write", []answer{noAnswer, noAnswer, {result: storage.Result{Rows: row(6, "other")}}}, storage.Lost, 2, nil},
		{"older row is not a conflict", []answer{{result: storage.Result{Rows: row(3, "old")}}, {result: storage.Result{Applied: true}}}, storage.Applied, 0, nil},
		{"row absent from the answer is not a conflict", []answer{{}, {result: storage.Result{Applied: true}}}, storage.Applied, 0, nil},
		{"rejected", []answer{noAnswer, {err: storage.ErrRejected}}, storage.Unknown, 1, storage.ErrRejected},
		{"never answered", []answer{noAnswer, noAnswer}, storage.Unknown, 2, context.Canceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			remaining := c.answers
			store := &storage.Store{Transact: func(_ context.Context, got storage.Transaction) (storage.Result, error) {
				if got.ID != tx.ID {
					t.Fatalf("unexpected transaction: %+v", got)
				}
				a := remaining[0]
				remaining = remaining[1:]
				return a.result, a.err
			}}
			out := storage.Settle(ctx, store, tx, func(r storage.Row) bool { return string(r.Value) == "mine" },
				storage.WithSleep(func(ctx context.Context, d time.Duration) error {
					if len(remaining) == 0 {
						cancel()
					}
					return storage.Sleep(ctx, 0*d)
				}))
			if out.Verdict != c.verdict || out.Unanswered != c.unanswered || !errors.Is(out.Err, c.err) || len(remaining) != 0 {
				t.Fatalf("got %+v with %d answers left", out, len(remaining))
			}
		})
	}
}

func TestSettleRejectsUnguarded(t *testing.T) {
	write := storage.Write{Key: "k"}
	cases := []struct {
		name string
		tx   storage.Transaction
		ok   bool
	}{
		{"no write", storage.Transaction{}, true},
		{"no condition", storage.Transaction{Writes: []storage.Write{write}}, false},
		{"condition on another row", storage.Transaction{Writes: []storage.Write{write}, Conditions: []storage.Condition{{Key: "x"}}}, false},
		{"condition on the written row", storage.Transaction{Writes: []storage.Write{write}, Conditions: []storage.Condition{{Key: "k"}}}, true},
		{"delete of a missing row", storage.Transaction{Writes: []storage.Write{{Key: "k", Delete: true}}, Conditions: []storage.Condition{{Key: "k"}}}, false},
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

// TestDeletionReopensCreation shows the limitation that the package comment
// describes: after a row is deleted, a delayed copy of the write that created it is
// applied again.
func TestDeletionReopensCreation(t *testing.T) {
	var delayedWrite func()
	stub := platformstub.New(platformstub.WithFaults(platformstub.Faults{LateNext: 1}),
		platformstub.WithTimer(func(_ time.Duration, f func()) { delayedWrite = f }))
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
	delayedWrite()
	if row, err := store.Get(ctx, "k"); err != nil || row.Version <= out.Rows[0].Version {
		t.Fatalf("got %+v, %v", row, err)
	}
}

func TestBackoffDelays(t *testing.T) {
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
