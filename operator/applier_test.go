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

// operators is the number of operators in a race.
const operators = 3

var ctx = context.Background()

func request(i int, base uint64) (operator.ApplyRequest, [][]byte) {
	sections := [][]byte{[]byte("shared;"), fmt.Appendf(nil, "file %d;", i), []byte("shared;")}
	return operator.ApplyRequest{
		Text:   bytes.Join(sections, nil),
		Base:   base,
		Author: fmt.Sprintf("op%d", i),
		Change: fmt.Sprintf("change-%d", i),
	}, sections
}

func apply(store *storage.Store, i int, base uint64, opts ...operator.ApplierOption) (operator.ApplyReply, error) {
	req, sections := request(i, base)
	return operator.NewApplier(store, opts...).Apply(ctx, req, sections)
}

// inForce returns the configuration in force and its text.
func inForce(store *storage.Store) (wire.CurrentConfig, string, error) {
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

// mutations of the store that the oracle must catch.
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

// yielding returns s with a yield before each call.
func yielding(s *storage.Store, yield func()) *storage.Store {
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

// race lets operators apply different files made from the same version, with
// their calls interleaved as seed says, while replies are lost, writes come
// late and the platform goes down. It returns what the oracle found wrong.
func race(seed uint64, mutate func(s, mutated *storage.Store)) error {
	random := rand.New(rand.NewPCG(seed, 2))
	var late []func()
	stub := platformstub.New(platformstub.WithSeed(seed),
		platformstub.WithTimer(func(_ time.Duration, f func()) { late = append(late, f) }))
	store := stub.Store()
	mutated := *store
	mutate(store, &mutated)
	replies, errs := make([]operator.ApplyReply, operators), make([]error, operators)
	resume := make([]func() (struct{}, bool), operators)
	entries := map[string]audit.Entry{}
	for i := range operators {
		next, stop := iter.Pull(func(yield func(struct{}) bool) {
			replies[i], errs[i] = apply(yielding(&mutated, func() { yield(struct{}{}) }), i, 0,
				operator.WithClock(func() time.Time { return time.Unix(random.Int64N(99), 0) }),
				operator.WithAudit(func(e audit.Entry) { entries[e.Name()] = e }),
				operator.WithBackoff(storage.WithSleep(func(context.Context, time.Duration) error { return nil })))
		})
		defer stop()
		resume[i] = next
	}
	for running := operators; running > 0; {
		stub.SetFaults(platformstub.Faults{})
		if _, _, err := inForce(store); err != nil {
			return fmt.Errorf("what is in force does not load: %w", err)
		}
		stub.SetFaults(platformstub.Faults{Outage: random.IntN(4) == 0, LoseShare: 0.3, LateShare: 0.3})
		if len(late) > 0 && random.IntN(3) == 0 {
			late[0]()
			late = late[1:]
		}
		if i := random.IntN(operators); resume[i] != nil {
			if _, ok := resume[i](); !ok {
				resume[i] = nil
				running--
			}
		}
	}
	stub.SetFaults(platformstub.Faults{})
	for _, f := range late {
		f()
	}
	return judge(store, replies, errs, entries)
}

// judge is the oracle: one operator won, its whole file is in force and audited
// once, and each other operator was told its number and author.
func judge(store *storage.Store, replies []operator.ApplyReply, errs []error, entries map[string]audit.Entry) error {
	current, text, err := inForce(store)
	if err != nil {
		return err
	}
	won := 0
	for i, err := range errs {
		var conflict *operator.ConflictError
		req, _ := request(i, 0)
		switch {
		case err == nil && replies[i].Number == 1 && text == string(req.Text) && current.Author == req.Author:
			won++
		case errors.As(err, &conflict) && conflict.Number == 1 && conflict.Author == current.Author &&
			conflict.Author != req.Author && conflict.At.Equal(current.At):
		default:
			return errors.Errorf("operator %d: %+v, %v; in force is %q by %s", i, replies[i], err, text, current.Author)
		}
	}
	if won != 1 || current.Number != 1 || len(entries) != 1 {
		return errors.Errorf("%d winners, number %d, audit %v", won, current.Number, entries)
	}
	for _, e := range entries {
		if e.Who != current.Author || e.Change != current.Change || e.From != "0" || e.To != "1" {
			return errors.Errorf("audit entry %+v", e)
		}
	}
	return nil
}

func TestOneOperatorWins(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("one operator wins and the others are told", prop.ForAll(func(seed uint64) (bool, error) {
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
			t.Fatal("not caught")
		})
	}
}

// TestSequence drives random requests, new and repeated, one after the other
// against a model.
func TestSequence(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(6))
	properties.Property("numbers follow each other and a change is accepted once", prop.ForAll(func(steps []int) (bool, error) {
		store := platformstub.New().Store()
		number, numbers := uint64(0), map[int]uint64{}
		for _, step := range steps {
			i, base := step%10, number
			if stale := step/10 == 0; stale {
				base++
			}
			want, done := numbers[i]
			if done {
				base = want - 1
			}
			reply, err := apply(store, i, base)
			var conflict *operator.ConflictError
			switch {
			case done && err == nil && reply == operator.ApplyReply{Number: want, Already: true}:
			case !done && base == number && err == nil && reply == operator.ApplyReply{Number: number + 1}:
				number++
				numbers[i] = number
			case !done && base != number && errors.As(err, &conflict) && conflict.Number == number:
			default:
				return false, errors.Errorf("step %d at %d: %+v, %v", step, number, reply, err)
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
			if _, err := apply(store, i, uint64(i)); err != nil {
				t.Fatal(err)
			}
		}
		reply, err := apply(store, 0, 0)
		if remembered := err == nil && reply.Already && reply.Number == 1; remembered != (later < 64) {
			t.Errorf("after %d later changes: %+v, %v", later, reply, err)
		}
	}
}

// TestAuditOfPredecessor has the daemon that accepted a file stop before it
// wrote the audit entry.
func TestAuditOfPredecessor(t *testing.T) {
	store := platformstub.New().Store()
	if _, err := apply(store, 0, 0); err != nil {
		t.Fatal(err)
	}
	current, _, err := inForce(store)
	if err != nil {
		t.Fatal(err)
	}
	var entries []audit.Entry
	if _, err := apply(store, 1, 1, operator.WithAudit(func(e audit.Entry) { entries = append(entries, e) })); err != nil {
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
		if _, err := apply(stub.Store(), i, uint64(i)); err != nil {
			t.Fatal(err)
		}
		if got := stub.Counts().Writes - before; got != want {
			t.Errorf("apply %d: %d writes, want %d", i, got, want)
		}
	}
}

func TestOutage(t *testing.T) {
	cases := []struct {
		name   string
		down   string // the call at which an outage begins
		faults platformstub.Faults
		ends   bool // the context ends in the outage
		want   error
	}{
		{"before the read", "get", platformstub.Faults{Outage: true}, false, nil},
		{"between objects and row", "transact", platformstub.Faults{Outage: true}, false, nil},
		{"lost reply of the row", "transact", platformstub.Faults{LoseNext: 1}, false, nil},
		{"no end before the read", "get", platformstub.Faults{Outage: true}, true, operator.ErrUnavailable},
		{"no end before the objects", "put", platformstub.Faults{Outage: true}, true, operator.ErrUnavailable},
		{"no end before the row", "transact", platformstub.Faults{Outage: true}, true, operator.ErrUnknown},
		{"lost reply and end", "transact", platformstub.Faults{LoseNext: 1}, true, operator.ErrUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stub := platformstub.New()
			plain := stub.Store()
			store := *plain
			begin := func(call string) {
				if call == c.down {
					c.down = ""
					stub.SetFaults(c.faults)
				}
			}
			store.Get = func(ctx context.Context, key string) (storage.Row, error) {
				begin("get")
				return plain.Get(ctx, key)
			}
			store.PutObject = func(ctx context.Context, name string, data []byte) error {
				begin("put")
				return plain.PutObject(ctx, name, data)
			}
			store.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
				begin("transact")
				return plain.Transact(ctx, tx)
			}
			reply, err := apply(&store, 1, 0, operator.WithBackoff(storage.WithSleep(func(context.Context, time.Duration) error {
				if c.ends {
					return context.Canceled
				}
				stub.SetFaults(platformstub.Faults{})
				return nil
			})))
			if !errors.Is(err, c.want) || (err == nil && reply != operator.ApplyReply{Number: 1}) {
				t.Fatalf("got %+v, %v", reply, err)
			}
			// The operator repeats the request, to another daemon.
			stub.SetFaults(platformstub.Faults{})
			if reply, err := apply(plain, 1, 0); err != nil || reply.Number != 1 {
				t.Fatalf("repeated: %+v, %v", reply, err)
			}
			if current, _, err := inForce(plain); err != nil || current.Number != 1 {
				t.Fatalf("in force: %+v, %v", current, err)
			}
		})
	}
}

func TestBadRequests(t *testing.T) {
	cases := map[string]func(*operator.ApplyRequest){
		"no text":         func(r *operator.ApplyRequest) { r.Text = nil },
		"other text":      func(r *operator.ApplyRequest) { r.Text = []byte("other") },
		"no author":       func(r *operator.ApplyRequest) { r.Author = "" },
		"line in author":  func(r *operator.ApplyRequest) { r.Author = "a\nb" },
		"no change":       func(r *operator.ApplyRequest) { r.Change = "" },
		"path in change":  func(r *operator.ApplyRequest) { r.Change = "../../etc" },
		"change of other": func(r *operator.ApplyRequest) { r.Change, r.Base = "change-0", 1 },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			store := platformstub.New().Store()
			if _, err := apply(store, 0, 0); err != nil {
				t.Fatal(err)
			}
			req, sections := request(1, 1)
			req.Author = "Ștefan Núñez"
			spoil(&req)
			if _, err := operator.NewApplier(store).Apply(ctx, req, sections); !errors.Is(err, operator.ErrBadRequest) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestLoadVerifies(t *testing.T) {
	store := platformstub.New().Store()
	if _, err := apply(store, 0, 0); err != nil {
		t.Fatal(err)
	}
	good, _, err := inForce(store)
	if err != nil {
		t.Fatal(err)
	}
	other := good
	other.SectionDigests = good.SectionDigests[:2]
	if _, err := operator.Load(ctx, store, other); !errors.Is(err, operator.ErrDigest) {
		t.Errorf("whole: %v", err)
	}
	spoiled := *store
	spoiled.GetObject = func(context.Context, string) ([]byte, error) { return []byte("shared?"), nil }
	if _, err := operator.Load(ctx, &spoiled, good); !errors.Is(err, operator.ErrDigest) {
		t.Errorf("section: %v", err)
	}
}

// BenchmarkApply applies a file that differs from the last one in one of its
// sections.
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
