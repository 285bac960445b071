package control

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"fulmarrun/handover"
	"fulmarrun/lease"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// TickInterval is how often the shell sends a Tick.
	TickInterval = 50 * time.Millisecond

	maintenanceInterval = 250 * time.Millisecond
	compareInterval     = 2 * time.Second
	probeInterval       = 200 * time.Millisecond
	// configReadInterval is how often one daemon, chosen from all, reads the
	// configuration row.
	configReadInterval = 2 * time.Second
	// storeAnswerMaxAge is how recently the platform must have answered before a
	// step that needs it is started.
	storeAnswerMaxAge = time.Second
	// mutePhaseTTLs is how long, in TTLs of the lease, a daemon without a lease
	// continues to send heartbeats, and how long it then withholds them.
	mutePhaseTTLs = 2
	// maxReloadDelay bounds the time that a daemon waits for missing rows before it
	// reads them from the platform; each daemon draws a random delay up to it.
	maxReloadDelay = 500 * time.Millisecond
	// reloadInterval is the minimum time between two such reads.
	reloadInterval = 3 * time.Second
	// settleTime is how long members, slots and configuration must be unchanged
	// before slots move for balance alone: until then, other daemons may not have
	// received all changes.
	settleTime = time.Second
	// closedRetention is how long the row of a closed generation is retained.
	closedRetention = 10 * time.Minute
)

// Option configures a Core.
type Option func(*Core)

// WithSeed is a functional option that sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithLease is a functional option that passes options to the lease.
func WithLease(opts ...lease.Option) Option {
	return func(c *Core) { c.leaseOptions = append(c.leaseOptions, opts...) }
}

// WithIDs is a functional option that sets the generator of request IDs.
func WithIDs(newID func() string) Option {
	return func(c *Core) { c.newID = newID }
}

// WithRetention is a functional option that sets how long the row of a closed
// generation is retained.
func WithRetention(retention time.Duration) Option {
	return func(c *Core) { c.retention = retention }
}

// WithPlan is a functional option that sets the function that plans which slots
// each owner hands over; handover.PlanModulo is the baseline.
func WithPlan(plan handover.PlanFunc) Option {
	return func(c *Core) { c.planMoves = plan }
}

// WithExclusiveAddress is a functional option for deployments in which no two
// processes can receive at one address. A generation then closes its predecessors
// as soon as it has joined, and always becomes their only heir: the target beside
// it may still hold the slots that they granted.
func WithExclusiveAddress() Option {
	return func(c *Core) { c.exclusiveAddress = true }
}

// WithIdle is a functional option that makes the generation join as idle, for a
// target that takes no work yet; a TargetChanged ends the idle state.
func WithIdle() Option {
	return func(c *Core) { c.self.Idle, c.target.Idle = true, true }
}

// WithRowsPerMove is a functional option that limits how many rows of slots one
// hand-over may take slots from.
func WithRowsPerMove(rows int) Option {
	return func(c *Core) { c.rowsPerMove = rows }
}

// WithAssignDelay is a functional option that sets how long members must be
// unchanged before the slots of a service are assigned for the first time, so that
// members that start together share the slots from the first assignment.
func WithAssignDelay(d time.Duration) Option {
	return func(c *Core) { c.assignDelay = d }
}

// Core is the control state of one generation. Each embedded part is declared in
// the file that implements it.
type Core struct {
	leaseOptions     []lease.Option
	retention        time.Duration
	faults           Faults
	random           *rand.Rand
	newID            func() string
	planMoves        handover.PlanFunc
	exclusiveAddress bool
	rowsPerMove      int
	assignDelay      time.Duration
	// target is the last reported state of the target beside the daemon.
	target TargetChanged

	view *routes.View
	// config is the configuration in force, and loadingConfig the highest
	// configuration number whose fetch has started.
	config        ConfigLoaded
	loadingConfig uint64

	storeAnswered   time.Time
	wall            time.Time
	nextMaintenance time.Time
	nextProbe       time.Time

	selfState
	leaveState
	leaseState
	witnessState
	takeoverState
	gossipState
	planState
	moveState
	timelineState

	effects []Effect
}

// NewCore returns the state of a generation that has not joined yet.
func NewCore(self wire.Member, opts ...Option) *Core {
	c := &Core{
		retention:     closedRetention,
		planMoves:     handover.Plan,
		rowsPerMove:   1,
		selfState:     selfState{self: self},
		witnessState:  newWitnessState(),
		takeoverState: newTakeoverState(),
		gossipState:   newGossipState(),
		moveState:     newMoveState(),
	}
	WithSeed(uint64(self.Generation))(c)
	for _, opt := range opts {
		opt(c)
	}
	c.view = routes.NewView(routes.WithFaults(c.faults.Routes))
	c.holder = lease.NewHolder(self.Generation, c.leaseOptions...)
	c.witness = lease.NewWitness(self.Generation, c.leaseOptions...)
	return c
}

// Snapshot returns the current routes.
func (c *Core) Snapshot() *routes.Snapshot { return c.view.Snapshot() }

// LeaseUntil returns the end of the lease. It returns the zero time without a
// lease, before the join, and once the generation is closing, closed or drained.
func (c *Core) LeaseUntil() time.Time {
	if !c.joined || c.closing || c.closed || c.drained {
		return time.Time{}
	}
	return c.holder.Until()
}

// NoWitness reports whether the generation has no witnesses, or all of them have
// left without a replacement. No new keyed request may start then.
func (c *Core) NoWitness() bool {
	return c.joined && (len(c.self.Witnesses) == 0 || c.unwitnessed)
}

// Joined reports whether the table is known to contain the generation's own member
// row.
func (c *Core) Joined() bool { return c.joined }

// Self returns the latest known version of the generation's own member row.
func (c *Core) Self() wire.Member { return c.self }

// StoredDeparture returns the DepartedTarget of the generation's own member row in the present
// timeline; empty if the row is not stored yet.
func (c *Core) StoredDeparture() string {
	if !c.joined || !c.registered() {
		return ""
	}
	return c.self.DepartedTarget
}

// Step applies one message and returns the effects to carry out. The slice is valid
// until the next call.
func (c *Core) Step(now time.Time, message Message) []Effect {
	clear(c.effects)
	c.effects = c.effects[:0]
	if c.closed {
		return nil
	}
	switch m := message.(type) {
	case Tick:
		c.tick(now, m)
	case Heartbeat:
		c.heartbeat(now, m.Heartbeat)
	case RowsArrived:
		c.rowsArrived(now, m)
	case RowsLoaded:
		c.join(now, m)
	case WriteDone:
		c.writeDone(now, m)
	case VoteRequested:
		m.Reply(c.vote(now, m.Vote))
	case VerdictArrived:
		c.verdictArrived(now, m)
	case SummaryArrived:
		c.summaryArrived(m)
	case DigestsArrived:
		c.digestsArrived(m)
	case VersionsArrived:
		c.versionsArrived(m)
	case RowsRequested:
		m.Reply(c.rowsSince(m.ResendRequest.Have))
	case ConfigLoaded:
		c.configLoaded(m)
	default:
		c.stepSlots(now, message)
	}
	return c.effects
}

// stepSlots applies a message about the generation's own slots or about the target
// that serves them.
func (c *Core) stepSlots(now time.Time, message Message) {
	switch m := message.(type) {
	case TargetChanged:
		c.target = m
	case LeaveRequested:
		c.leaveReason = m.Reason
	case MoveReady:
		c.moveReady(now, m)
	case MoveFailed:
		c.moveFailed(now, m)
	case HotKeyDetected, HotKeyCooled:
		c.pendingHot = hotChange{message: m, since: now}
		c.runHot(now)
	case OverloadDetected:
		c.offload = offload{moves: m.Moves, since: now}
		c.runOffload(now)
	case Drained:
		c.drained = true
	case KeyedDrained:
		c.keyedDrained = c.unwitnessed && m.Round == c.drainRound
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) tick(now time.Time, m Tick) {
	c.storeAnswered, c.wall = m.StoreAnswered, m.Wall
	c.enterTimeline(now, m.Timeline)
	if c.closed {
		return
	}
	c.witness.Tick(now)
	if !c.joined {
		return
	}
	c.trackLease(now)
	c.sendHeartbeats(now)
	c.runTakeovers(now)
	if c.refounded() {
		c.startMove(now)
		c.runHot(now)
		c.runOffload(now)
	}
	c.sendHandOvers(now)
	if now.Before(c.nextMaintenance) {
		return
	}
	c.nextMaintenance = now.Add(maintenanceInterval)
	c.maintainSelf(now)
	c.findTakeovers(now)
	c.reloadMissing(now)
	c.assignSlots(now)
	c.compareRows(now)
	c.readConfig(now)
}

// storeReady reports whether the platform has answered recently, and sends a probe
// to it if not.
func (c *Core) storeReady(now time.Time) bool {
	if now.Sub(c.storeAnswered) < storeAnswerMaxAge {
		return true
	}
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(probeInterval)
		c.emit(Probe{})
	}
	return false
}

// applyRow updates the state that is derived from rows after a row has changed.
func (c *Core) applyRow(now time.Time, from wire.Generation, row wire.Row) {
	if row.Deleted {
		if row.Key == routes.MemberKey(c.self.Generation) {
			c.endGeneration("its row is deleted")
			return
		}
		maps.DeleteFunc(c.closedSince, func(g wire.Generation, _ time.Time) bool {
			return routes.MemberKey(g) == row.Key
		})
		return
	}
	if row.Key == routes.ConfigKey {
		c.loadConfig(from)
		return
	}
	if m := c.view.MemberOf(row.Key); m != nil && m.Generation != 0 && m.Version == row.Version {
		if m.Instance == c.self.Instance && m.Generation != c.self.Generation && m.DepartedTarget != "" {
			c.emit(PredecessorFound{Row: row})
		}
		c.applyMember(now, m.Member, m.Version)
	}
}

func (c *Core) applyMember(now time.Time, m wire.Member, version uint64) {
	if m.Generation == c.self.Generation {
		c.applySelf(m, version)
		return
	}
	if m.State == wire.StateClosed {
		c.closedSince[m.Generation], c.unsettledAt = now, now
		delete(c.orphans, m.Generation)
		c.witness.Unwatch(m.Generation)
		delete(c.takeovers, m.Generation)
		for _, t := range c.takeovers {
			if t.attempt != nil {
				t.attempt.AddClosedWitness(m, now)
			}
		}
		return
	}
	if m.Instance == c.self.Instance && m.Peer == c.self.Peer {
		if _, known := c.predecessors[m.Generation]; !known {
			c.predecessors[m.Generation] = now
		}
	}
	if slices.Contains(m.Witnesses, c.self.Generation) {
		c.witness.Watch(m.Generation, now)
	} else {
		c.witness.Unwatch(m.Generation)
	}
}

func (c *Core) applySelf(m wire.Member, version uint64) {
	if version <= c.version || storage.TimelineOf(version) < c.timeline {
		return
	}
	c.self, c.version = m, version
	if m.State == wire.StateClosed {
		c.endGeneration(m.Reason)
	}
}

// endGeneration marks this generation as closed and notifies the shell.
func (c *Core) endGeneration(reason string) {
	c.closed = true
	if c.closing {
		c.emit(LeaveCompleted{})
		return
	}
	c.emit(Closed{Reason: reason})
}

func (c *Core) peerAddr(g wire.Generation) netip.AddrPort {
	if m := c.view.Member(g); m != nil {
		return m.Peer
	}
	return netip.AddrPort{}
}

// isOpenPeer reports whether a member is not closed and is another generation.
func (c *Core) isOpenPeer(m *routes.MemberRow) bool {
	return m.State != wire.StateClosed && m.Generation != c.self.Generation
}

// eligible reports whether a member may own slots. One whose row has not been written in the
// present timeline may have ended without a trace there.
func (c *Core) eligible(o *routes.Owner) bool {
	if c.isBehind(o.Generation) {
		return false
	}
	if !o.AcceptsWork(func(domain string) bool { return slices.Contains(c.config.Out, domain) }) {
		return false
	}
	return c.config.Serves == nil || c.config.Serves(o.Service, o.Domain, o.Instance)
}

func (c *Core) layout() (ServiceLayout, bool) {
	for _, s := range c.config.Services {
		if s.Name == c.self.Service {
			return s, true
		}
	}
	return ServiceLayout{}, false
}
