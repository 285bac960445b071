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
	// defaultRetention is how long a record is kept if there is room for it.
	defaultRetention = 24 * time.Hour
	// defaultSkew bounds the difference between any two clocks.
	defaultSkew = 250 * time.Millisecond
	// defaultMaxRecords is the maximum number of records of one daemon.
	defaultMaxRecords = 100_000
	// defaultMaxAnswerSize is the size of the largest answer that is stored, in bytes.
	defaultMaxAnswerSize = 4 << 10
	// defaultMaxAnswerMemory bounds the total size of the stored answers, in bytes.
	defaultMaxAnswerMemory = 8 << 20
	// shardCount is the number of shards, each of which has its own lock.
	shardCount = 16
)

// Ledger records the outcomes of request IDs in the units that a daemon owns. It is
// safe for concurrent use.
type Ledger struct {
	limits limits
	usage  usage
	seed   maphash.Seed
	shards [shardCount]lockedShard
}

// lockedShard is a shard with its lock.
type lockedShard struct {
	mu sync.Mutex
	*shard
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithRetention is a functional option that sets how long a record is kept if there
// is room for it.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.limits.retention = d } }

// WithSkew is a functional option that bounds the difference between the clocks
// of any two daemons.
func WithSkew(d time.Duration) Option {
	return func(l *Ledger) { l.limits.skew, l.limits.margin = d, 2*d }
}

// WithMaxRecords is a functional option that bounds the number of records.
func WithMaxRecords(n int) Option { return func(l *Ledger) { l.limits.records = int64(n) } }

// WithMaxAnswerSize is a functional option that bounds the size of a stored answer:
// its headers and body together, in bytes.
func WithMaxAnswerSize(size int) Option { return func(l *Ledger) { l.limits.maxAnswerSize = size } }

// WithMaxAnswerMemory is a functional option that bounds the total size of the
// stored answers in bytes. The oldest are freed first.
func WithMaxAnswerMemory(size int64) Option {
	return func(l *Ledger) { l.limits.maxAnswerMemory = size }
}

// WithTimedIDsOnly is a functional option that rejects an ID without a time.
func WithTimedIDsOnly() Option { return func(l *Ledger) { l.limits.timedOnly = true } }

// NewLedger returns a Ledger without units.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{seed: maphash.MakeSeed()}
	l.limits = limits{
		retention:       defaultRetention,
		records:         defaultMaxRecords,
		maxAnswerSize:   defaultMaxAnswerSize,
		maxAnswerMemory: defaultMaxAnswerMemory,
	}
	WithSkew(defaultSkew)(l)
	for _, opt := range opts {
		opt(l)
	}
	for i := range l.shards {
		l.shards[i].shard = newShard(l.limits, &l.usage, int(l.limits.records/shardCount))
	}
	return l
}

// Configure changes the retention of records and the bound of the clock skew. The
// margin after a take-over only grows, since a lower bound does not come into force
// at every daemon at the same time.
func (l *Ledger) Configure(retention, skew time.Duration) {
	for i := range l.shards {
		g := &l.shards[i]
		g.mu.Lock()
		g.limits.retention, g.limits.skew = retention, skew
		g.limits.margin = max(g.limits.margin, 2*skew)
		g.mu.Unlock()
	}
}

// lock locks and returns the shard of a unit.
func (l *Ledger) lock(u Unit) *lockedShard {
	g := &l.shards[maphash.Comparable(l.seed, u)%shardCount]
	g.mu.Lock()
	return g
}

// Open opens a unit that was taken over without its records. Since is a time on
// this daemon's clock after the previous owner's last run; zero if the unit never
// had an owner.
func (l *Ledger) Open(u Unit, since time.Time) {
	g := l.lock(u)
	defer g.mu.Unlock()
	g.open(u, since)
}

// Begin decides what to do with a request. Fresh must be true only if the ID was
// generated at ingress for this request, this is the first time that the request is
// forwarded, and the sender routed it by the epoch at which this daemon owns the unit.
// A forward routed by an earlier epoch may arrive late, after a second forward of the
// request has run at an owner in between. After Run, exactly one of Finish and Abandon
// must follow.
//
// Reject, and a run that was abandoned because the lease has ended, prove that the ID
// did not run only if the lease was still held after Begin. Otherwise the request
// must be routed again or answered "unknown".
func (l *Ledger) Begin(now time.Time, u Unit, id string, fresh bool) Decision {
	g := l.lock(u)
	defer g.mu.Unlock()
	return g.begin(now, u, id, fresh)
}

// Finish records the final answer of a run and passes it to the callers of Wait. An
// answer with OutcomeNotRun has the same effect as Abandon.
func (l *Ledger) Finish(u Unit, id string, resp *wire.Response) {
	g := l.lock(u)
	defer g.mu.Unlock()
	g.finish(u, id, resp)
}

// Abandon removes the record of a run of which no byte reached the target, so that
// the ID may run later.
func (l *Ledger) Abandon(u Unit, id string) {
	g := l.lock(u)
	defer g.mu.Unlock()
	g.abandon(u, id)
}

// Wait returns the final answer of a run for which Begin returned Join. The response
// is shared and must not be modified.
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
		return waitEnded(ctx)
	}
}

// waitEnded returns the answer for a caller that stops waiting while the run
// continues.
func waitEnded(ctx context.Context) *wire.Response {
	out := unknown(ReasonCancel).Response
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		out.Status, out.Reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	return out
}

// Freeze makes Begin return Frozen, while current runs continue.
func (l *Ledger) Freeze(u Unit) {
	g := l.lock(u)
	defer g.mu.Unlock()
	if state, ok := g.units[u]; ok {
		state.frozen = true
	}
}

// Running returns the number of unfinished runs of a unit.
func (l *Ledger) Running(u Unit) int {
	g := l.lock(u)
	defer g.mu.Unlock()
	if state, ok := g.units[u]; ok {
		return state.running
	}
	return 0
}

// Export freezes a unit and returns its records. An unfinished run is exported as
// unknown. Export returns false if the unit is not open. It leaves To and TransferID
// zero.
func (l *Ledger) Export(u Unit) (wire.RecordHandover, bool) {
	g := l.lock(u)
	defer g.mu.Unlock()
	return g.export(u)
}

// Import opens a unit with the records of its previous owner. If the unit is already
// open, it adds the records.
func (l *Ledger) Import(m wire.RecordHandover) {
	u := Unit{Service: m.Service, Slot: m.Slot, HotKey: m.HotKey}
	g := l.lock(u)
	defer g.mu.Unlock()
	g.importRecords(m)
}

// Unfreeze reverts Freeze, after a hand-over that is known to have failed.
func (l *Ledger) Unfreeze(u Unit) {
	g := l.lock(u)
	defer g.mu.Unlock()
	if state, ok := g.units[u]; ok {
		state.frozen = false
	}
}

// Drop removes a unit that this daemon no longer owns. The callers of Wait for its
// runs get "unknown".
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

// Usage is the memory use of a Ledger.
type Usage struct {
	Records int
	// Bytes is the total size of the stored answers.
	Bytes int
}

// Usage returns the current number of records and size of answers.
func (l *Ledger) Usage() Usage {
	return Usage{Records: int(l.usage.records.Load()), Bytes: int(l.usage.bytes.Load())}
}
