package platformstub

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"fulmarrun/clock"
	"fulmarrun/storage"
)

// errLimited is the cause of the error of a call above the rate limit.
var errLimited = errors.New("above the rate")

// Counts are the numbers of calls that were executed, or refused by the rate
// limit. Calls in an outage are not counted.
type Counts struct {
	// Reads counts gets, lists and transactions without a write.
	Reads uint64 `json:"reads"`
	// Writes counts transactions with a write and stored objects.
	Writes uint64 `json:"writes"`
	// Limited counts the calls above the rate limit.
	Limited uint64 `json:"limited"`
}

// Stub is an in-memory table and object store. Its methods are safe for
// concurrent use.
type Stub struct {
	now        func() time.Time
	sleep      func(context.Context, time.Duration) error
	startTimer func(time.Duration, func())
	onApply    func(storage.Transaction)

	mu           sync.Mutex
	table        table
	objects      objects
	faults       Faults
	counts       Counts
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	random       *rand.Rand
}

// Option configures a Stub.
type Option func(*Stub)

// WithSeed is a functional option that seeds the random choice of lost and late
// writes.
func WithSeed(seed uint64) Option {
	return func(s *Stub) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithClock is a functional option that replaces the clock of the rate limits
// and of the stores' method Answered.
func WithClock(now func() time.Time) Option {
	return func(s *Stub) { s.now = now }
}

// WithSleep is a functional option that replaces the function that waits for the
// latency.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(s *Stub) { s.sleep = sleep }
}

// WithTimer is a functional option that replaces the timer of late writes.
func WithTimer(startTimer func(time.Duration, func())) Option {
	return func(s *Stub) { s.startTimer = startTimer }
}

// WithApplyHook is a functional option that sets a function to call for each
// transaction at the moment it is applied. It must not call the stub.
func WithApplyHook(onApply func(storage.Transaction)) Option {
	return func(s *Stub) { s.onApply = onApply }
}

// WithFaults is a functional option that sets the initial faults.
func WithFaults(f Faults) Option {
	return func(s *Stub) { s.faults = f }
}

// New returns an empty Stub.
func New(opts ...Option) *Stub {
	s := &Stub{
		now:        clock.Now,
		sleep:      storage.Sleep,
		startTimer: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		onApply:    func(storage.Transaction) {},
		table:      newTable(),
		objects:    newObjects(),
	}
	WithSeed(1)(s)
	for _, opt := range opts {
		opt(s)
	}
	s.SetFaults(s.faults)
	return s
}

// Store returns a store that calls the stub in process. Each store tracks its own
// time of the last answer.
func (s *Stub) Store() *storage.Store {
	return storage.Track(&storage.Store{
		Get:         s.get,
		List:        s.list,
		Transact:    s.transact,
		PutObject:   s.putObject,
		GetObject:   s.getObject,
		ListObjects: s.listObjects,
	}, s.now)
}

// SetFaults replaces the current faults.
func (s *Stub) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.readLimiter = newLimiter(f.ReadRate)
	s.writeLimiter = newLimiter(f.WriteRate)
}

// Faults returns the current faults, with the remaining numbers of next lost and
// late writes.
func (s *Stub) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the counts since the stub was created.
func (s *Stub) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Stub) get(ctx context.Context, key string) (storage.Row, error) {
	var row storage.Row
	var ok bool
	err := s.read(ctx, func() { row, ok = s.table.get(key) })
	return row, missingError(err, ok)
}

func (s *Stub) list(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	var rows []storage.Row
	err := s.read(ctx, func() { rows = s.table.list(prefix, after, limit) })
	return rows, err
}

func (s *Stub) transact(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
	var result storage.Result
	execute := func() {
		result = s.table.transact(tx)
		if result.Applied {
			s.onApply(tx)
		}
	}
	call := s.write
	if len(tx.Writes) == 0 {
		call = s.read
	}
	if err := call(ctx, execute); err != nil {
		return storage.Result{}, err
	}
	return result, nil
}

func (s *Stub) putObject(ctx context.Context, name string, data []byte) error {
	var ok bool
	if err := s.write(ctx, func() { ok = s.objects.put(name, data) }); err != nil {
		return err
	}
	if !ok {
		return fmt.Errorf("%w: object %q has other content", storage.ErrRejected, name)
	}
	return nil
}

func (s *Stub) getObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	var ok bool
	err := s.read(ctx, func() { data, ok = s.objects.get(name) })
	return data, missingError(err, ok)
}

func (s *Stub) listObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var names []string
	err := s.read(ctx, func() { names = page(s.objects.names, prefix, after, limit) })
	return names, err
}

// read waits for the latency and then runs f under the lock.
func (s *Stub) read(ctx context.Context, f func()) error {
	if err := s.waitLatency(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkCall(s.readLimiter); err != nil {
		return err
	}
	s.counts.Reads++
	f()
	return nil
}

// write runs f under the lock, at once or after the delay of a late write, and then
// waits for the latency.
func (s *Stub) write(ctx context.Context, f func()) error {
	if err := s.applyWrite(f); err != nil {
		return err
	}
	return s.waitLatency(ctx)
}

// applyWrite runs f, and draws whether the write is late or its reply lost.
func (s *Stub) applyWrite(f func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkCall(s.writeLimiter); err != nil {
		return err
	}
	s.counts.Writes++
	if s.drawFault(&s.faults.LateNext, s.faults.LateShare) {
		s.startTimer(s.faults.LateDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			f()
		})
		return fmt.Errorf("%w: late write", storage.ErrUnavailable)
	}
	f()
	if s.drawFault(&s.faults.LoseNext, s.faults.LoseShare) {
		return fmt.Errorf("%w: lost reply", storage.ErrUnavailable)
	}
	return nil
}

// checkCall returns an error in an outage or above the rate limit. The caller holds
// the lock.
func (s *Stub) checkCall(l *rate.Limiter) error {
	if s.faults.Outage {
		return fmt.Errorf("%w: outage", storage.ErrUnavailable)
	}
	if !l.AllowN(s.now(), 1) {
		s.counts.Limited++
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, errLimited)
	}
	return nil
}

// drawFault reports whether a fault is injected: always while next is above zero,
// which it decrements, and otherwise with the probability share.
func (s *Stub) drawFault(next *int, share float64) bool {
	if *next > 0 {
		*next--
		return true
	}
	return share > 0 && s.random.Float64() < share
}

// waitLatency waits for the latency of the current faults.
func (s *Stub) waitLatency(ctx context.Context) error {
	latency := s.Faults().Latency
	if latency <= 0 {
		return nil
	}
	if err := s.sleep(ctx, latency); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return nil
}

// newLimiter returns a rate limiter; a rate of zero or less means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond)))
}

// missingError returns err, or ErrMissing if there is none and nothing was found.
func missingError(err error, ok bool) error {
	if err == nil && !ok {
		return storage.ErrMissing
	}
	return err
}
