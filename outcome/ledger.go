package outcome

import (
	"context"
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/wire"
)

const (
	// defaultRetain is how long a record is kept if there is room.
	defaultRetain = 24 * time.Hour
	// defaultSkew bounds the difference between any two clocks.
	defaultSkew = 250 * time.Millisecond
	// defaultRecords is the number of records of one daemon.
	defaultRecords = 100_000
	// defaultAnswer is the greatest answer that is kept, in bytes.
	defaultAnswer = 4 << 10
	// defaultMemory bounds the answers that are kept, in bytes.
	defaultMemory = 8 << 20
	// shards is the number of locks.
	shards = 16
)

// Ledger remembers the outcomes of request IDs in the units that a daemon owns.
// It is safe for concurrent use.
type Ledger struct {
	limits limits
	usage  usage
	seed   maphash.Seed
	shards [shards]guarded
}

// guarded is a shard with its lock.
type guarded struct {
	mu sync.Mutex
	*shard
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithRetention is a functional option that sets how long a record is kept if there
// is room for it.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.limits.retain = d } }

// WithSkew is a functional option that bounds the difference between the clocks
// of any two daemons.
func WithSkew(d time.Duration) Option {
	return func(l *Ledger) { l.limits.skew, l.limits.margin = d, 2*d }
}

// WithMaxRecords is a functional option that bounds the number of records.
func WithMaxRecords(n int) Option { return func(l *Ledger) { l.limits.records = int64(n) } }

// WithMaxAnswerSize is a functional option that bounds an answer that is kept, in bytes
// of its headers and body together.
func WithMaxAnswerSize(size int) Option { return func(l *Ledger) { l.limits.answer = size } }

// WithMaxAnswerMemory is a functional option that bounds all answers that are kept, in
// bytes. The oldest are freed first.
func WithMaxAnswerMemory(size int64) Option { return func(l *Ledger) { l.limits.memory = size } }

// WithTimedIDsOnly is a functional option that rejects an ID without a time.
func WithTimedIDsOnly() Option { return func(l *Ledger) { l.limits.strict = true } }

// NewLedger returns a Ledger without units.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{seed: maphash.MakeSeed()}
	l.limits = limits{
		retain:  defaultRetain,
		records: defaultRecords,
		answer:  defaultAnswer,
		memory:  defaultMemory,
	}
	WithSkew(defaultSkew)(l)
	for _, opt := range opts {
		opt(l)
	}
	for i := range l.shards {
		l.shards[i].shard = newShard(l.limits, &l.usage, int(l.limits.records/shards))
	}
	return l
}

// Configure changes how long records are kept and the bound of the difference
// between clocks. The margin after a take-over only grows, since a lower bound is
// not in force at every daemon at the same moment.
func (l *Ledger) Configure(retain, skew time.Duration) {
	for i := range l.shards {
		g := &l.shards[i]
		g.mu.Lock()
		g.limits.retain, g.limits.skew = retain, skew
		g.limits.margin = max(g.limits.margin, 2*skew)
		g.mu.Unlock()
	}
}

// lock returns the locked shard of a unit.
func (l *Ledger) lock(u Unit) *guarded {
	g := &l.shards[maphash.Comparable(l.seed, u)%shards]
	g.mu.Lock()
	return g
}

// Open starts a unit that was taken over without its memory. Since is a moment
// on this daemon's clock after the previous owner's last run; zero if the unit
// never had an owner.
func (l *Ledger) Open(u Unit, since time.Time) {
	g := l.lock(u)
	defer g.mu.Unlock()
	g.open(u, since)
}

// Begin decides on a request. Fresh states that the ID was made for it at
// ingress, that this is its first forward, and that the forward was routed by
// the epoch at which this daemon owns the unit; a forward that was sent earlier
// may be late, and a second one may have run at an owner in between. After Run,
// exactly one of Finish and Abandon must follow.
//
// Reject, and a run that was abandoned because the lease is gone, say truthfully
// that the ID did not run only if the lease was still held after Begin; else the
// request is to be routed again, or answered "unknown".
func (l *Ledger) Begin(now time.Time, u Unit, id string, fresh bool) Decision {
	g := l.lock(u)
	defer g.mu.Unlock()
	return g.begin(now, u, id, fresh)
}

// Finish notes the final answer of a run and gives it to those who wait. An
// answer with OutcomeNotRun is the same as Abandon.
func (l *Ledger) Finish(u Unit, id string, resp *wire.Response) {
	g := l.lock(u)
	defer g.mu.Unlock()
	g.finish(u, id, resp)
}

// Abandon forgets a run of which no byte reached the target, so that the ID may
// run later.
func (l *Ledger) Abandon(u Unit, id string) {
	g := l.lock(u)
	defer g.mu.Unlock()
	g.abandon(u, id)
}

// Wait returns the final answer of a run that Begin said to join. The response
// is shared and must not be changed.
func (l *Ledger) Wait(ctx context.Context, u Unit, id string) *wire.Response {
	g := l.lock(u)
	w, resp := g.join(u, id)
	g.mu.Unlock()
	if w == nil {
		return resp
	}
	select {
	case <-w.done:
		return w.response
	case <-ctx.Done():
		return expired(ctx)
	}
}

// expired answers one who stops waiting for a run that goes on.
func expired(ctx context.Context) *wire.Response {
	out := unknown(ReasonCancel).Response
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		out.Status, out.Reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	return out
}

// Freeze makes Begin answer Frozen, while what runs goes on.
func (l *Ledger) Freeze(u Unit) {
	g := l.lock(u)
	defer g.mu.Unlock()
	if state, ok := g.units[u]; ok {
		state.frozen = true
	}
}

// Running returns the number of runs of a unit that are not over.
func (l *Ledger) Running(u Unit) int {
	g := l.lock(u)
	defer g.mu.Unlock()
	if state, ok := g.units[u]; ok {
		return state.running
	}
	return 0
}

// Export freezes a unit and returns its memory. A run that is not over is handed
// over as unknown. It reports false if the unit is not open. Epoch is left zero.
func (l *Ledger) Export(u Unit) (wire.RecordHandover, bool) {
	g := l.lock(u)
	defer g.mu.Unlock()
	return g.export(u)
}

// Import opens a unit with the memory of its previous owner. If the unit is open
// already, the memory is added to it.
func (l *Ledger) Import(m wire.RecordHandover) {
	u := Unit{Service: m.Service, Slot: m.Slot, HotKey: m.HotKey}
	g := l.lock(u)
	defer g.mu.Unlock()
	g.take(m)
}

// Unfreeze ends Freeze, after a hand-over that is known to have failed.
func (l *Ledger) Unfreeze(u Unit) {
	g := l.lock(u)
	defer g.mu.Unlock()
	if state, ok := g.units[u]; ok {
		state.frozen = false
	}
}

// Drop forgets a unit that is no longer owned and answers "unknown" to all who
// wait for its runs.
func (l *Ledger) Drop(u Unit) {
	g := l.lock(u)
	defer g.mu.Unlock()
	g.drop(u)
}

// Expire drops the records that are older than the retention.
func (l *Ledger) Expire(now time.Time) {
	for i := range l.shards {
		g := &l.shards[i]
		g.mu.Lock()
		g.expire(now)
		g.mu.Unlock()
	}
}

// Usage is what a Ledger holds.
type Usage struct {
	Records int
	// Bytes is the size of the answers that are kept.
	Bytes int
}

// Usage returns what the ledger holds now.
func (l *Ledger) Usage() Usage {
	return Usage{Records: int(l.usage.records.Load()), Bytes: int(l.usage.bytes.Load())}
}
