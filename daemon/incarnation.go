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
	// drainPoll is how often the number of running requests is checked during a drain.
	drainPoll = 5 * time.Millisecond
	// listPage is the number of rows in one page read from the platform.
	listPage = 500
)

// incarnation runs one generation of a daemon. It executes the effects of a
// control.Core.
type incarnation struct {
	d      *Daemon
	self   wire.Member
	core   *control.Core
	inbox  chan control.Message
	ledger *outcome.Ledger
	// staging keeps received records until the units that they belong to are assigned
	// here. heldUnits are the units that this generation owns.
	staging   *handover.Staging
	heldUnits handover.Holdings

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// snapshot is the last one that was published.
	snapshot *routes.Snapshot
	// hasLease is whether the lease was held at the last check.
	hasLease bool
	// closed is true once peers have closed the generation or a panic has ended it.
	closed bool
	// left is true once a planned leave has completed or its drain limit is over.
	left bool
	// storedDeparture is the departure that was last seen in the stored member row.
	storedDeparture string
	// targetRestarted is true if the generation ends because its target has restarted.
	targetRestarted bool
	// joined is true once publish has first handled a snapshot with the known members. It
	// is used only with fetched grants.
	joined bool
}

func newGeneration() wire.Generation {
	var b [8]byte
	for {
		// crypto/rand.Read never returns an error.
		_, _ = rand.Read(b[:])
		if g := binary.BigEndian.Uint64(b[:]); g != 0 {
			return wire.Generation(g)
		}
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// controlOptions returns the control options of the next generation.
func (d *Daemon) controlOptions() []control.Option {
	opts := append(slices.Clone(d.control), control.WithIDs(newID))
	if d.fetchedGrants != nil && d.fetchedGrants.isIdle() {
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
		core:      control.NewCore(self, d.controlOptions()...),
		inbox:     make(chan control.Message, inboxSize),
		ledger:    outcome.NewLedger(),
		staging:   handover.NewStaging(),
		heldUnits: make(handover.Holdings),
	}
	i.ctx, i.cancel = context.WithCancel(ctx)
	return i
}

// run joins the members and serves until the generation ends. left is true if it ended
// by a completed planned leave.
func (i *incarnation) run(ctx context.Context) (left bool, err error) {
	defer i.shutDown()
	i.applyServiceConfig()
	i.d.server.SetLedger(i.ledger)
	i.restoreConfig()
	i.postTargetState()
	i.publish()
	i.spawn(func(ctx context.Context) {
		i.loadRows(ctx, func(rows []wire.Row, timeline uint64) control.Message {
			i.d.loadDepartures(rows, true)
			return control.RowsLoaded{Rows: rows, Timeline: timeline, Wall: time.Now()}
		})
	})
	if i.d.fetchedGrants == nil {
		i.spawn(i.watchHotKeys)
	} else {
		i.spawn(i.watchLoad)
	}
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	var drainTimeout <-chan time.Time
	leaving := false
	for !i.closed && !i.left && !i.targetRestarted {
		select {
		case <-ctx.Done():
			return false, nil
		case <-ticker.C:
			i.d.logTimeline()
			i.processMessage(control.Tick{StoreAnswered: i.d.store.LastAnswer(), Wall: time.Now(), Timeline: i.d.store.Timeline()})
			i.d.tokens.observe()
		case m := <-i.inbox:
			i.processMessage(m)
		case reason := <-i.d.leave:
			i.d.log.Info(logs.EventLeaving, logs.FieldReason, reason)
			drainTimeout, leaving = time.After(i.d.settings.DrainTimeout), true
			i.processMessage(control.LeaveRequested{Reason: reason})
		case <-drainTimeout:
			i.d.log.Warn(logs.EventLeaveTimeout, logs.FieldDrain, i.d.settings.DrainTimeout)
			i.left = true
		}
	}
	// A generation that is closed while it leaves has no slots left to hand over. It
	// counts as left, because the next generation would not know about the request to
	// leave.
	return i.left || leaving && i.closed, nil
}

// shutDown stops everything that runs for this generation.
func (i *incarnation) shutDown() {
	i.d.server.SetLease(time.Time{})
	i.d.server.CancelKeyed()
	i.d.storeDoubts.raise()
	i.cancel()
	i.wg.Wait()
}

// spawn runs f in a goroutine that ends with the incarnation.
func (i *incarnation) spawn(f func(ctx context.Context)) {
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		if err := guard.Run(func() { f(i.ctx) }); err != nil {
			// The core may wait for a result that will now never arrive, so the generation
			// has to end.
			i.d.logPanic("effect", err)
			i.post(i.ctx, panicMessage{})
		}
	}()
}

// post sends a message to the control goroutine and waits while its inbox is full.
func (i *incarnation) post(ctx context.Context, m control.Message) {
	select {
	case i.inbox <- m:
	case <-ctx.Done():
	case <-i.ctx.Done():
	}
}

// tryPost sends a message to the control goroutine, or drops and counts it if the inbox
// is full.
func (i *incarnation) tryPost(m control.Message) {
	select {
	case i.inbox <- m:
	default:
		i.d.counters.dropped.Inc(1)
	}
}

// processMessage handles one message. A panic in it ends the generation.
func (i *incarnation) processMessage(m control.Message) {
	if err := guard.Run(func() { i.handleMessage(m) }); err != nil {
		i.d.logPanic("control", err)
		i.closed = true
	}
}

// handleMessage passes one message to the core and executes the resulting effects.
func (i *incarnation) handleMessage(m control.Message) {
	now := clock.Now()
	if _, panicked := m.(panicMessage); panicked {
		i.closed = true
		return
	}
	if m, restarts := m.(restartMessage); restarts {
		i.targetRestarted = true
		i.d.log.Info(logs.EventGenerationEnds, logs.FieldGeneration, i.self.Generation, logs.FieldReason, m.reason)
		return
	}
	if loaded, ok := m.(configMessage); ok {
		i.activateConfig(loaded)
		m = loaded.ConfigLoaded
	}
	effects := i.core.Step(now, m)
	i.recordStoredDeparture()
	for _, e := range effects {
		i.runEffect(e)
	}
	i.publish()
	for _, e := range effects {
		i.runPublishedEffect(e)
	}
	i.watchLease()
}

// publish makes the routes and the lease visible to traffic. It opens newly assigned
// units before that and drops lost ones after it.
func (i *incarnation) publish() {
	i.d.server.SetLease(i.core.LeaseUntil())
	snapshot := i.core.Snapshot()
	published := i.d.server.ServingState()
	table := i.d.table.Load()
	if snapshot == i.snapshot && published.Table == table && published.Generation == i.self.Generation &&
		published.Closing == i.left && published.NoWitness == i.core.NoWitness() {
		return
	}
	if i.d.fetchedGrants != nil && !i.core.Joined() && published.Table != nil {
		// Until this generation knows the members, traffic keeps using the routes of the
		// previous generation.
		return
	}
	if i.d.fetchedGrants != nil && !i.joined {
		i.joined = true
		if m := i.d.loadedConfig.Load(); m != nil {
			i.spawn(func(ctx context.Context) { i.notifyPeers(ctx, m.Number) })
		}
	}
	gained, lost := i.heldUnits.Update(snapshot, i.self.Service, i.self.Generation)
	i.openUnits(gained)
	i.d.server.Publish(&owner.ServingState{
		Generation: i.self.Generation, Service: i.self.Service, Instance: i.self.Instance,
		Domain: i.self.Domain, Snapshot: snapshot, Table: table, Closing: i.left, NoWitness: i.core.NoWitness(),
	})
	i.dropUnits(lost)
	i.d.logMemberChanges(i.snapshot, snapshot)
	i.d.unreachable.retain(func(g wire.Generation) bool { return snapshot.Owner(g) != nil })
	if len(gained)+len(lost) > 0 {
		i.d.log.Info(logs.EventSlotsChanged, logs.FieldGained, len(gained), logs.FieldLost, len(lost), logs.FieldOwned, len(i.heldUnits))
	}
	if i.d.fetchedGrants != nil {
		i.grantOwnedSlots(snapshot)
		i.snapshot = snapshot
		return
	}
	slots, hot := i.grantLists(snapshot)
	i.d.setGrants(i.self.Generation, slots, hot)
	i.snapshot = snapshot
}

// watchLease logs gains and losses of the lease, and cancels keyed requests when it is
// lost.
func (i *incarnation) watchLease() {
	hasLease := i.d.server.HasLease()
	if i.hasLease && !hasLease {
		i.d.server.CancelKeyed()
		i.d.storeDoubts.raise()
		level := log.WarnLevel
		if i.d.leaving.Load() {
			level = log.InfoLevel
		}
		i.d.log.Log(level, logs.EventLeaseLost, logs.FieldGeneration, i.self.Generation)
	}
	if !i.hasLease && hasLease {
		i.d.leased.Store(true)
		i.d.log.Info(logs.EventLeaseHeld, logs.FieldGeneration, i.self.Generation)
	}
	i.hasLease = hasLease
}

// loadRows reads all rows from the platform and retries until it succeeds.
func (i *incarnation) loadRows(ctx context.Context, message func(rows []wire.Row, timeline uint64) control.Message) {
	backoff := storage.NewBackoff()
	for {
		rows, timeline, err := i.listRows(ctx)
		if err == nil {
			i.post(ctx, message(i.d.takeSuspects(rows), timeline))
			return
		}
		i.d.log.Warn(logs.EventPlatformReadFailed, logs.FieldErr, err)
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

// listRows reads all rows, and returns the timeline in which all of them were read.
func (i *incarnation) listRows(ctx context.Context) (rows []wire.Row, timeline uint64, err error) {
	for {
		timeline = i.d.store.Timeline()
		if rows, err = i.listRowsOnce(ctx); err != nil || i.d.store.Timeline() == timeline {
			return rows, timeline, err
		}
	}
}

func (i *incarnation) listRowsOnce(ctx context.Context) ([]wire.Row, error) {
	var out []wire.Row
	prefixes := []string{routes.MemberPrefix, routes.SlotsPrefix}
	if !i.d.suspects.loaded.Load() {
		prefixes = append(prefixes, suspectPrefix)
	}
	if i.d.protocols.WatchConfig == nil {
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
				after = r.Next()
			}
			if len(page) < listPage {
				break
			}
		}
	}
	return out, nil
}
