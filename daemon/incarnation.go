package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"fulmarrun/clock"
	"fulmarrun/control"
	"fulmarrun/guard"
	"fulmarrun/handover"
	"fulmarrun/logs"
	"fulmarrun/outcome"
	"fulmarrun/owner"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// inboxSize bounds the messages that wait for the control goroutine.
	inboxSize = 8192
	drainPoll = 5 * time.Millisecond
	// listPage is how many rows are read from the platform at once.
	listPage = 500
)

// incarnation is one generation of a daemon: the shell around a control.Core.
type incarnation struct {
	d      *Daemon
	self   wire.Member
	core   *control.Core
	inbox  chan control.Message
	ledger *outcome.Ledger
	// staging keeps records until their units follow; held are the units that
	// are open here.
	staging *handover.Staging
	held    handover.Holdings

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	snapshot *routes.Snapshot
	leased   bool
	closed   bool
	left     bool
	// renewed is true if the generation ends because its target has started anew.
	renewed bool
	// joined is true once the members are known here.
	joined bool
}

func newGeneration() wire.Generation {
	var b [8]byte
	for {
		// crypto/rand.Read never fails.
		_, _ = rand.Read(b[:])
		if g := binary.BigEndian.Uint64(b[:]); g != 0 {
			return wire.Generation(g)
		}
	}
}

func newName() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// controlOptions returns the options of the control state of the next generation.
func (d *Daemon) controlOptions() []control.Option {
	opts := append(slices.Clone(d.control), control.WithIDs(newName))
	if d.fetched != nil && d.fetched.isIdle() {
		opts = append(opts, control.WithIdle())
	}
	return opts
}

func newIncarnation(ctx context.Context, d *Daemon) *incarnation {
	s := d.settings
	self := wire.Member{
		Instance: s.Instance, Generation: newGeneration(), Service: s.Service,
		Region: s.Region, Domain: s.Domain, Peer: s.Peer, Caller: s.Caller,
	}
	i := &incarnation{
		d: d, self: self,
		core:    control.NewCore(self, d.controlOptions()...),
		inbox:   make(chan control.Message, inboxSize),
		ledger:  outcome.NewLedger(),
		staging: handover.NewStaging(),
		held:    make(handover.Holdings),
	}
	i.ctx, i.cancel = context.WithCancel(ctx)
	return i
}

// run joins and serves until the generation ends; left is true if that was a
// planned leave that is done.
func (i *incarnation) run(ctx context.Context) (left bool, err error) {
	defer i.end()
	i.applyService()
	i.d.server.SetLedger(i.ledger)
	i.restore()
	i.noteTarget()
	i.publish()
	i.spawn(func(ctx context.Context) {
		i.load(ctx, func(rows []wire.Row) control.Message {
			i.d.learnLeft(rows)
			return control.RowsLoaded{Rows: rows, Wall: time.Now()}
		})
	})
	if i.d.fetched == nil {
		i.spawn(i.watchHot)
	} else {
		i.spawn(i.watchLoad)
	}
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	var overdue <-chan time.Time
	leaves := false
	for !i.closed && !i.left && !i.renewed {
		select {
		case <-ctx.Done():
			return false, nil
		case <-ticker.C:
			i.step(control.Tick{StoreAnswered: i.d.store.Answered(), Wall: time.Now()})
		case m := <-i.inbox:
			i.step(m)
		case reason := <-i.d.leave:
			i.d.log.Info(logs.EventLeaving, logs.FieldReason, reason)
			overdue, leaves = time.After(i.d.settings.Drain), true
			i.step(control.LeaveRequested{Reason: reason})
		case <-overdue:
			i.d.log.Warn(logs.EventLeaveLate, logs.FieldDrain, i.d.settings.Drain)
			i.left = true
		}
	}
	// One that is closed while it leaves has nothing more to give away, and the next
	// would not know that it was asked to.
	return i.left || leaves && i.closed, nil
}

// end stops everything that ran for this generation.
func (i *incarnation) end() {
	i.d.server.SetLease(time.Time{})
	i.d.server.CancelKeyed()
	i.cancel()
	i.wg.Wait()
}

// spawn runs f in a goroutine that ends with the incarnation.
func (i *incarnation) spawn(f func(ctx context.Context)) {
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		if err := guard.Run(func() { f(i.ctx) }); err != nil {
			// What the core waits for may never come.
			i.d.notePanic("effect", err)
			i.post(i.ctx, brokenMessage{})
		}
	}()
}

// post gives a message to the control goroutine, waiting for room.
func (i *incarnation) post(ctx context.Context, m control.Message) {
	select {
	case i.inbox <- m:
	case <-ctx.Done():
	case <-i.ctx.Done():
	}
}

// offer gives a message to the control goroutine unless its inbox is full.
func (i *incarnation) offer(m control.Message) {
	select {
	case i.inbox <- m:
	default:
		i.d.counters.dropped.Inc(1)
	}
}

// step takes one message. If that panics, the generation ends.
func (i *incarnation) step(m control.Message) {
	if err := guard.Run(func() { i.take(m) }); err != nil {
		i.d.notePanic("control", err)
		i.closed = true
	}
}

// take feeds one message to the core and carries out what it asks for.
func (i *incarnation) take(m control.Message) {
	now := clock.Now()
	if _, broken := m.(brokenMessage); broken {
		i.closed = true
		return
	}
	if m, renews := m.(renewMessage); renews {
		i.renewed = true
		i.d.log.Info(logs.EventRenewed, logs.FieldGeneration, i.self.Generation, logs.FieldReason, m.reason)
		return
	}
	if loaded, ok := m.(configMessage); ok {
		i.configure(loaded)
		m = loaded.ConfigLoaded
	}
	effects := i.core.Step(now, m)
	for _, e := range effects {
		i.carryOut(e)
	}
	i.publish()
	for _, e := range effects {
		i.carryOutPublished(e)
	}
	i.watchLease()
}

// publish makes the routes and the lease visible to traffic. Slots that are new
// here are opened before, and slots that are gone are dropped after.
func (i *incarnation) publish() {
	i.d.server.SetLease(i.core.LeaseUntil())
	snapshot := i.core.Snapshot()
	standing := i.d.server.ServingState()
	table := i.d.table.Load()
	if snapshot == i.snapshot && standing.Table == table && standing.Generation == i.self.Generation &&
		standing.Closing == i.left && standing.NoWitness == i.core.NoWitness() {
		return
	}
	if i.d.fetched != nil && !i.core.Joined() && standing.Table != nil {
		// Until this generation knows the members, the routes of the last one do.
		return
	}
	if i.d.fetched != nil && !i.joined {
		i.joined = true
		if m := i.d.loaded.Load(); m != nil {
			i.spawn(func(ctx context.Context) { i.notify(ctx, m.Number) })
		}
	}
	gained, lost := i.held.Update(snapshot, i.self.Service, i.self.Generation)
	i.open(gained)
	i.d.server.Publish(&owner.ServingState{
		Generation: i.self.Generation, Service: i.self.Service, Instance: i.self.Instance,
		Domain: i.self.Domain, Snapshot: snapshot, Table: table, Closing: i.left, NoWitness: i.core.NoWitness(),
	})
	i.drop(lost)
	i.d.noteMembers(i.snapshot, snapshot)
	i.d.unreached.retain(func(g wire.Generation) bool { return snapshot.Owner(g) != nil })
	if len(gained)+len(lost) > 0 {
		i.d.log.Info(logs.EventSlots, logs.FieldGained, len(gained), logs.FieldLost, len(lost), logs.FieldOwned, len(i.held))
	}
	if i.d.fetched != nil {
		i.ownRanges(snapshot)
		i.snapshot = snapshot
		return
	}
	slots, hot := i.grants(snapshot)
	i.d.setGrants(i.self.Generation, slots, hot)
	i.snapshot = snapshot
}

// watchLease cancels what runs when the lease has ended.
func (i *incarnation) watchLease() {
	leased := i.d.server.HasLease()
	if i.leased && !leased {
		i.d.server.CancelKeyed()
		level := log.WarnLevel
		if i.d.leaving.Load() {
			level = log.InfoLevel
		}
		i.d.log.Log(level, logs.EventLeaseLost, logs.FieldGeneration, i.self.Generation)
	}
	if !i.leased && leased {
		i.d.log.Info(logs.EventLeaseHeld, logs.FieldGeneration, i.self.Generation)
	}
	i.leased = leased
}

// load reads all rows from the platform, however long it takes to answer.
func (i *incarnation) load(ctx context.Context, message func([]wire.Row) control.Message) {
	backoff := storage.NewBackoff()
	for {
		rows, err := i.list(ctx)
		if err == nil {
			i.post(ctx, message(rows))
			return
		}
		i.d.log.Warn(logs.EventStoreUnread, logs.FieldErr, err)
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

func (i *incarnation) list(ctx context.Context) ([]wire.Row, error) {
	var out []wire.Row
	prefixes := []string{routes.MemberPrefix, routes.SlotsPrefix}
	if i.d.outside.WatchConfig == nil {
		prefixes = append(prefixes, routes.ConfigKey)
	}
	for _, prefix := range prefixes {
		after := ""
		for {
			page, err := i.d.store.List(ctx, prefix, after, listPage)
			if err != nil {
				return nil, fmt.Errorf("list %s: %w", prefix, err)
			}
			for _, r := range page {
				out = append(out, control.WireRow(r))
				after = r.Key
			}
			if len(page) < listPage {
				break
			}
		}
	}
	return out, nil
}
