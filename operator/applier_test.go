package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"fulmarrun/audit"
	"fulmarrun/operator"
	"fulmarrun/platformstub"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// racingOperators is the number of operators that apply files concurrently in a race.
const racingOperators = 3

var ctx = context.Background()

func testRequest(i int, base uint64) (operator.ApplyRequest, [][]byte) {
	sections := [][]byte{[]byte("shared;"), fmt.Appendf(nil, "file %d;", i), []byte("shared;")}
	return operator.ApplyRequest{
		Text:   bytes.Join(sections, nil),
		Base:   base,
		Author: fmt.Sprintf("op%d", i),
		Change: fmt.Sprintf("change-%d", i),
	}, sections
}

func applyFile(store *storage.Store, i int, base uint64, opts ...operator.ApplierOption) (operator.ApplyReply, error) {
	req, sections := testRequest(i, base)
	return operator.NewApplier(store, opts...).Apply(ctx, req, sections)
}

// currentConfig returns the configuration in force and its text.
func currentConfig(store *storage.Store) (wire.CurrentConfig, string, error) {
	var current wire.CurrentConfig
	row, err := store.Get(ctx, routes.ConfigKey)
	if errors.Is(err, storage.ErrMissing) {
		return current, "", nil
	}
	if err != nil {
		return current, "", err
	}
	if err := wire.Decode(row.Value, &current); err != nil {
		return current, "", err
	}
	text, err := operator.Load(ctx, store, current)
	return current, string(text), err
}

// mutations are faulty versions of the store, each of which the oracle must detect.
var mutations = map[string]func(s, mutated *storage.Store){
	"transaction without a condition": func(s, mutated *storage.Store) {
		mutated.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
			result, err := s.Transact(ctx, storage.Transaction{ID: tx.ID, Writes: tx.Writes})
			return result, err
		}
	},
	"sections are not stored": func(_, mutated *storage.Store) {
		mutated.PutObject = func(context.Context, string, []byte) error { return nil }
	},
	"own write is not recognized": func(s, mutated *storage.Store) {
		mutated.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
			result, err := s.Transact(ctx, tx)
			for i, row := range result.Rows {
				var current wire.CurrentConfig
				if wire.Decode(row.Value, &current) == nil {
					current.Change, current.RecentChanges = "", nil
					result.Rows[i].Value, _ = wire.Encode(&current)
				}
			}
			return result, err
		}
	},
}

// yieldBeforeCalls returns a copy of s that calls yield before each Get, Transact and
// PutObject.
func yieldBeforeCalls(s *storage.Store, yield func()) *storage.Store {
	y := *s
	y.Get = func(ctx context.Context, key string) (storage.Row, error) {
		yield()
		return s.Get(ctx, key)
	}
	y.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
		yield()
		return s.Transact(ctx, tx)
	}
	y.PutObject = func(ctx context.Context, name string, data []byte) error {
		yield()
		return s.PutObject(ctx, name, data)
	}
	return &y
}

// race runs operators that apply different files made from the same version. Their
// calls are interleaved in an order derived from seed, while replies are lost, writes
// are delayed and the platform has outages. It returns the fault that the oracle
// found, if any.
func race(seed uint64, mutate func(s, mutated *storage.Store)) error {
	random := rand.New(rand.NewPCG(seed, 2))
	var delayedWrites []func()
	stub := platformstub.New(platformstub.WithSeed(seed),
		platformstub.WithTimer(func(_ time.Duration, f func()) { delayedWrites = append(delayedWrites, f) }))
	store := stub.Store()
	mutated := *store
	mutate(store, &mutated)
	replies, errs := make([]operator.ApplyReply, racingOperators), make([]error, racingOperators)
	resume := make([]func() (struct{}, bool), racingOperators)
	entries := map[string]audit.Entry{}
	for i := range racingOperators {
		next, stop := iter.Pull(func(yield func(struct{}) bool) {
			replies[i], errs[i] = applyFile(yieldBeforeCalls(&mutated, func() { yield(struct{}{}) }), i, 0,
				operator.WithClock(func() time.Time { return time.Unix(random.Int64N(99), 0) }),
				operator.WithAudit(func(e audit.Entry) { entries[e.Name()] = e }),
				operator.WithBackoff(storage.WithSleep(func(context.Context, time.Duration) error { return nil })))
		})
		defer stop()
		resume[i] = next
	}
	for running := racingOperators; running > 0; {
		stub.SetFaults(platformstub.Faults{})
		if _, _, err := currentConfig(store); err != nil {
			return fmt.Errorf("load configuration in force: %w", err)
		}
		stub.SetFaults(platformstub.Faults{Outage: random.IntN(4) == 0, LoseShare: 0.3, LateShare: 0.3})
		if len(delayedWrites) > 0 && random.IntN(3) == 0 {
			delayedWrites[0]()
			delayedWrites = delayedWrites[1:]
		}
		if i := random.IntN(racingOperators); resume[i] != nil {
			if _, ok := resume[i](); !ok {
				resume[i] = nil
				running--
			}
		}
	}
	stub.SetFaults(platformstub.Faults{})
	for _, f := range delayedWrites {
		f()
	}
	return checkOutcome(store, replies, errs, entries)
}

// checkOutcome is the oracle: the file of exactly one operator is in force, complete
// and audited once, and every other operator got a conflict error with the number and
// author of that file.
func checkOutcome(store *storage.Store, replies []operator.ApplyReply, errs []error, entries map[string]audit.Entry) error {
	current, text, err := currentConfig(store)
	if err != nil {
		return err
	}
	winners := 0
	for i, err := range errs {
		var conflict *operator.ConflictError
		req, _ := testRequest(i, 0)
		switch {
		case err == nil && replies[i].Number == 1 && text == string(req.Text) && current.Author == req.Author:
			winners++
		case errors.As(err, &conflict) && conflict.Number == 1 && conflict.Author == current.Author &&
			conflict.Author != req.Author && conflict.At.Equal(current.At):
		default:
			return errors.Errorf("operator %d: reply %+v, error %v; file in force is %q by %s", i, replies[i], err, text, current.Author)
		}
	}
	if winners != 1 || current.Number != 1 || len(entries) != 1 {
		return errors.Errorf("%d winners, number in force %d, audit entries %v", winners, current.Number, entries)
	}
	for _, e := range entries {
		if e.Who != current.Author || e.Change != current.Change || e.From != "0" || e.To != "1" {
			return errors.Errorf("unexpected audit entry %+v", e)
		}
	}
	return nil
}

func TestOneOperatorWins(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("one operator wins and the others get a conflict error", prop.ForAll(func(seed uint64) (bool, error) {
		err := race(seed, func(_, _ *storage.Store) {})
		return err == nil, err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestOracleCatchesMutations(t *testing.T) {
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if err := race(seed, mutate); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("oracle did not detect the mutation")
		})
	}
}

// TestSequentialRequests sends random requests, new and repeated, one after the other
// and compares the replies with a model.
func TestSequentialRequests(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(6))
	properties.Property("numbers are consecutive and each change is accepted once", prop.ForAll(func(steps []int) (bool, error) {
		store := platformstub.New().Store()
		number, acceptedNumbers := uint64(0), map[int]uint64{}
		for _, step := range steps {
			i, base := step%10, number
			if stale := step/10 == 0; stale {
				base++
			}
			want, repeated := acceptedNumbers[i]
			if repeated {
				base = want - 1
			}
			reply, err := applyFile(store, i, base)
			var conflict *operator.ConflictError
			switch {
			case repeated && err == nil && reply == operator.ApplyReply{Number: want, Already: true}:
			case !repeated && base == number && err == nil && reply == operator.ApplyReply{Number: number + 1}:
				number++
				acceptedNumbers[i] = number
			case !repeated && base != number && errors.As(err, &conflict) && conflict.Number == number:
			default:
				return false, errors.Errorf("step %d at configuration %d: reply %+v, error %v", step, number, reply, err)
			}
		}
		return true, nil
	}, gen.SliceOfN(30, gen.IntRange(0, 29))))
	properties.TestingRun(t)
}

func TestRecentChanges(t *testing.T) {
	for _, later := range []int{63, 64} {
		store := platformstub.New().Store()
		for i := range later + 1 {
			if _, err := applyFile(store, i, uint64(i)); err != nil {
				t.Fatal(err)
			}
		}
		reply, err := applyFile(store, 0, 0)
		if remembered := err == nil && reply.Already && reply.Number == 1; remembered != (later < 64) {
			t.Errorf("repeated request after %d later changes: reply %+v, error %v", later, reply, err)
		}
	}
}

// TestAuditEntryOfStoppedDaemon checks that the next apply writes the audit entry of a
// file whose accepting daemon stopped before it wrote the entry.
func TestAuditEntryOfStoppedDaemon(t *testing.T) {
	store := platformstub.New().Store()
	if _, err := applyFile(store, 0, 0); err != nil {
		t.Fatal(err)
	}
	current, _, err := currentConfig(store)
	if err != nil {
		t.Fatal(err)
	}
	var entries []audit.Entry
	if _, err := applyFile(store, 1, 1, operator.WithAudit(func(e audit.Entry) { entries = append(entries, e) })); err != nil {
		t.Fatal(err)
	}
	if len(entries) != 2 || !entries[0].At.Equal(current.At) || entries[0].Change != "change-0" || entries[1].Change != "change-1" {
		t.Fatalf("got %+v", entries)
	}
}

func TestUnchangedSectionsAreNotStored(t *testing.T) {
	stub := platformstub.New()
	for i, want := range []uint64{3, 2} { // two sections and the row, then one
		before := stub.Counts().Writes
		if _, err := applyFile(stub.Store(), i, uint64(i)); err != nil {
			t.Fatal(err)
		}
		if got := stub.Counts().Writes - before; got != want {
			t.Errorf("apply %d: %d writes, want %d", i, got, want)
		}
	}
}

func TestOutage(t *testing.T) {
	cases := []struct {
		name        string
		outageAt    string // the call at which the faults begin
		faults      platformstub.Faults
		contextEnds bool // the context ends while the faults last
		want        error
	}{
		{"before the read", "get", platformstub.Faults{Outage: true}, false, nil},
		{"between the objects and the row", "transact", platformstub.Faults{Outage: true}, false, nil},
		{"lost reply to the write of the row", "transact", platformstub.Faults{LoseNext: 1}, false, nil},
		{"context ends before the read", "get", platformstub.Faults{Outage: true}, true, operator.ErrUnavailable},
		{"context ends before the objects", "put", platformstub.Faults{Outage: true}, true, operator.ErrUnavailable},
		{"context ends before the row", "transact", platformstub.Faults{Outage: true}, true, operator.ErrUnknown},
		{"lost reply, then context ends", "transact", platformstub.Faults{LoseNext: 1}, true, operator.ErrUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stub := platformstub.New()
			healthyStore := stub.Store()
			store := *healthyStore
			startFaultsAt := func(call string) {
				if call == c.outageAt {
					c.outageAt = ""
					stub.SetFaults(c.faults)
				}
			}
			store.Get = func(ctx context.Context, key string) (storage.Row, error) {
				startFaultsAt("get")
				return healthyStore.Get(ctx, key)
			}
			store.PutObject = func(ctx context.Context, name string, data []byte) error {
				startFaultsAt("put")
				return healthyStore.PutObject(ctx, name, data)
			}
			store.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
				startFaultsAt("transact")
				return healthyStore.Transact(ctx, tx)
			}
			reply, err := applyFile(&store, 1, 0, operator.WithBackoff(storage.WithSleep(func(context.Context, time.Duration) error {
				if c.contextEnds {
					return context.Canceled
				}
				stub.SetFaults(platformstub.Faults{})
				return nil
			})))
			if !errors.Is(err, c.want) || (err == nil && reply != operator.ApplyReply{Number: 1}) {
				t.Fatalf("got %+v, %v", reply, err)
			}
			// The operator sends the same request to another daemon.
			stub.SetFaults(platformstub.Faults{})
			if reply, err := applyFile(healthyStore, 1, 0); err != nil || reply.Number != 1 {
				t.Fatalf("repeated request: reply %+v, error %v", reply, err)
			}
			if current, _, err := currentConfig(healthyStore); err != nil || current.Number != 1 {
				t.Fatalf("configuration in force: %+v, error %v", current, err)
			}
		})
	}
}

func TestBadRequests(t *testing.T) {
	cases := map[string]func(*operator.ApplyRequest){
		"no text":                    func(r *operator.ApplyRequest) { r.Text = nil },
		"text differs from sections": func(r *operator.ApplyRequest) { r.Text = []byte("other") },
		"no author":                  func(r *operator.ApplyRequest) { r.Author = "" },
		"newline in author":          func(r *operator.ApplyRequest) { r.Author = "a\nb" },
		"no change":                  func(r *operator.ApplyRequest) { r.Change = "" },
		"path in change":             func(r *operator.ApplyRequest) { r.Change = "../../etc" },
		"change of another request":  func(r *operator.ApplyRequest) { r.Change, r.Base = "change-0", 1 },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			store := platformstub.New().Store()
			if _, err := applyFile(store, 0, 0); err != nil {
				t.Fatal(err)
			}
			req, sections := testRequest(1, 1)
			req.Author = "Ștefan Núñez"
			corrupt(&req)
			if _, err := operator.NewApplier(store).Apply(ctx, req, sections); !errors.Is(err, operator.ErrBadRequest) {
				t.Fatalf("got %v, want ErrBadRequest", err)
			}
		})
	}
}

func TestLoadVerifies(t *testing.T) {
	store := platformstub.New().Store()
	if _, err := applyFile(store, 0, 0); err != nil {
		t.Fatal(err)
	}
	current, _, err := currentConfig(store)
	if err != nil {
		t.Fatal(err)
	}
	other := current
	other.SectionDigests = current.SectionDigests[:2]
	if _, err := operator.Load(ctx, store, other); !errors.Is(err, operator.ErrDigest) {
		t.Errorf("missing section: got %v, want ErrDigest", err)
	}
	corrupted := *store
	corrupted.GetObject = func(context.Context, string) ([]byte, error) { return []byte("shared?"), nil }
	if _, err := operator.Load(ctx, &corrupted, current); !errors.Is(err, operator.ErrDigest) {
		t.Errorf("corrupted section: got %v, want ErrDigest", err)
	}
}

// BenchmarkApply applies files that each differ from the previous one in one section.
func BenchmarkApply(b *testing.B) {
	const sections = 16
	for _, size := range []int{4 << 10, 64 << 10, 1 << 20, 8 << 20} {
		b.Run(fmt.Sprintf("%dKiB", size>>10), func(b *testing.B) {
			applier := operator.NewApplier(platformstub.New().Store())
			parts := make([][]byte, sections)
			for i := range parts {
				parts[i] = bytes.Repeat([]byte{byte('a' + i)}, size/sections)
			}
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for n := uint64(0); b.Loop(); n++ {
				copy(parts[n%sections], fmt.Sprintf("%8d", n))
				req := operator.ApplyRequest{Text: bytes.Join(parts, nil), Base: n, Author: "a", Change: fmt.Sprintf("change-%d", n)}
				if _, err := applier.Apply(ctx, req, parts); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
