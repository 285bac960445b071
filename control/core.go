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
	"fulmarrun/wire"
)

const (
	// TickInterval is how often the shell sends a Tick.
	TickInterval = 50 * time.Millisecond

	upkeepInterval  = 250 * time.Millisecond
	compareInterval = 2 * time.Second
	probeInterval   = 200 * time.Millisecond
	// configInterval is how often the row of the configuration is read by one
	// daemon of all.
	configInterval = 2 * time.Second
	// storeFresh is how long ago the platform may have answered for a step that
	// needs it to be started.
	storeFresh = time.Second
	// lapseTTLs is how long, in TTLs of the lease, a daemon without one goes on
	// sending heartbeats, and how long it then holds them back.
	lapseTTLs = 2
	// gapWait is how long, at most, rows that are missing are waited for before
	// they are read from the platform; each daemon draws its own time.
	gapWait = 500 * time.Millisecond
	// gapRest is the time between two such readings.
	gapRest = 3 * time.Second
	// settleTime is how long members, slots and configuration must be unchanged
	// before slots move for balance alone: others may not have them all yet.
	settleTime = time.Second
	// retainClosed is how long the row of a closed generation is kept.
	retainClosed = 10 * time.Minute
)

// Option configures a Core.
type Option func(*Core)

// WithSeed is a functional option that sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithLease is a functional option that passes options to the lease.
func WithLease(opts ...lease.Option) Option {
	return func(c *Core) { c.leaseOptions = opts }
}

// WithIDs is a functional option that sets the source of request IDs.
func WithIDs(name func() string) Option {
	return func(c *Core) { c.name = name }
}

// WithRetention is a functional option that sets how long the row of a closed
// generation is kept.
func WithRetention(retain time.Duration) Option {
	return func(c *Core) { c.retain = retain }
}

// WithPlan is a functional option that sets which slots each owner gives away;
// handover.PlanModulo is the baseline.
func WithPlan(plan handover.PlanFunc) Option {
	return func(c *Core) { c.planMoves = plan }
}

// WithExclusiveAddress is a functional option for deployments in which no two processes
// can receive at one address. A generation then closes its predecessors as soon as
// it has joined, and always as their heir: the target beside it may still hold what
// they granted.
func WithExclusiveAddress() Option {
	return func(c *Core) { c.soleAddress = true }
}

// WithIdle is a functional option that has the generation join while its target
// takes no work; a TargetChanged ends that.
func WithIdle() Option {
	return func(c *Core) { c.self.Idle, c.target.Idle = true, true }
}

// WithRowsPerMove is a functional option that sets how many rows of slots one
// hand-over may take from.
func WithRowsPerMove(rows int) Option {
	return func(c *Core) { c.rowsPerMove = rows }
}

// WithAssignDelay is a functional option that sets how long members must be unchanged
// before the slots of a service are assigned for the first time, so that those
// that start together share them from the beginning.
func WithAssignDelay(d time.Duration) Option {
	return func(c *Core) { c.gather = d }
}

// Core is the control state of one generation. Each part of it stands in the file
// of what it is for.
type Core struct {
	leaseOptions []lease.Option
	retain       time.Duration
	faults       Faults
	random       *rand.Rand
	name         func() string
	planMoves    handover.PlanFunc
	soleAddress  bool
	rowsPerMove  int
	gather       time.Duration
	// target is what the target beside the daemon last said.
	target TargetChanged

	view *routes.View
	// config is the configuration in force, and loading the number of the latest
	// that is being fetched.
	config  ConfigLoaded
	loading uint64

	storeAnswered time.Time
	wall          time.Time
	nextUpkeep    time.Time
	nextProbe     time.Time

	ownRow
	leaveState
	leaseState
	witnessState
	takeoverState
	spreadState
	planState
	moveState

	effects []Effect
}

// NewCore returns the state of a generation that has not joined yet.
func NewCore(self wire.Member, opts ...Option) *Core {
	c := &Core{
		retain:        retainClosed,
		planMoves:     handover.Plan,
		rowsPerMove:   1,
		ownRow:        ownRow{self: self},
		witnessState:  newWitnessState(),
		takeoverState: newTakeoverState(),
		spreadState:   newSpreadState(),
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

// Snapshot returns the routes for traffic.
func (c *Core) Snapshot() *routes.Snapshot { return c.view.Snapshot() }

// LeaseUntil returns the end of the lease; the zero time if there is none.
func (c *Core) LeaseUntil() time.Time {
	if !c.joined || c.closing || c.closed || c.drained {
		return time.Time{}
	}
	return c.holder.Until()
}

// LacksWitness tells whether there is no witness, or none that stays, so that no keyed
// request may begin.
func (c *Core) LacksWitness() bool {
	return c.joined && (len(c.self.Witnesses) == 0 || c.forsaken)
}

// Joined tells whether the own row is known to be in the table.
func (c *Core) Joined() bool { return c.joined }

// Self returns the own row as last known.
func (c *Core) Self() wire.Member { return c.self }

// Step takes one message and returns what is to be done. The slice is valid
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
		c.loaded(now, m)
	case WriteDone:
		c.writeDone(now, m)
	case VoteRequested:
		m.Reply(c.witness.Vote(now, m.Vote))
	case VerdictArrived:
		c.verdict(now, m)
	case SummaryArrived:
		c.summary(m)
	case DigestsArrived:
		c.digests(m)
	case VersionsArrived:
		c.versions(m)
	case RowsRequested:
		m.Reply(c.rowsSince(m.ResendRequest.Have))
	case ConfigLoaded:
		c.configLoaded(m)
	default:
		c.stepSlots(now, message)
	}
	return c.effects
}

// stepSlots takes a message on own slots, or on the target that serves them.
func (c *Core) stepSlots(now time.Time, message Message) {
	switch m := message.(type) {
	case TargetChanged:
		c.target = m
	case LeaveRequested:
		c.leaving = m.Reason
	case MoveReady:
		c.moveReady(now, m)
	case MoveFailed:
		c.moveFailed(now, m)
	case HotKeyDetected, HotKeyCooled:
		c.hot = hotChange{message: m, since: now}
		c.runHot(now)
	case OverloadDetected:
		c.relief = relief{moves: m.Moves, since: now}
		c.runRelief(now)
	case Drained:
		c.drained = true
	case KeyedDrained:
		c.released = c.forsaken && m.Round == c.turn
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) tick(now time.Time, m Tick) {
	c.storeAnswered, c.wall = m.StoreAnswered, m.Wall
	c.witness.Tick(now)
	if !c.joined {
		return
	}
	c.watchLease(now)
	c.beat(now)
	c.runTakeovers(now)
	c.startMove(now)
	c.runHot(now)
	c.runRelief(now)
	c.passHandOvers(now)
	if now.Before(c.nextUpkeep) {
		return
	}
	c.nextUpkeep = now.Add(upkeepInterval)
	c.keepSelf(now)
	c.findTakeovers(now)
	c.fillGaps(now)
	c.plan(now)
	c.compare(now)
	c.watchConfig(now)
}

// storeReady tells whether the platform has answered a moment ago, and asks for
// a sign of life if not.
func (c *Core) storeReady(now time.Time) bool {
	if now.Sub(c.storeAnswered) < storeFresh {
		return true
	}
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(probeInterval)
		c.emit(Probe{})
	}
	return false
}

// noticeRow keeps what is derived from rows in step with them.
func (c *Core) noticeRow(now time.Time, from wire.Generation, row wire.Row) {
	if row.Deleted {
		if row.Key == routes.MemberKey(c.self.Generation) {
			c.end("its row is deleted")
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
		c.noticeMember(now, m.Member, m.Version)
	}
}

func (c *Core) noticeMember(now time.Time, m wire.Member, version uint64) {
	if m.Generation == c.self.Generation {
		c.noticeSelf(m, version)
		return
	}
	if m.State == wire.StateClosed {
		c.closedSince[m.Generation] = now
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
		if _, known := c.predecessor[m.Generation]; !known {
			c.predecessor[m.Generation] = now
		}
	}
	if slices.Contains(m.Witnesses, c.self.Generation) {
		c.witness.Watch(m.Generation, now)
	} else {
		c.witness.Unwatch(m.Generation)
	}
}

func (c *Core) noticeSelf(m wire.Member, version uint64) {
	if version <= c.version {
		return
	}
	c.self, c.version = m, version
	if m.State == wire.StateClosed {
		c.end(m.Reason)
	}
}

// end says that this generation is over.
func (c *Core) end(reason string) {
	c.closed = true
	if c.closing {
		c.emit(LeaveCompleted{})
		return
	}
	c.emit(Closed{Reason: reason})
}

func (c *Core) addr(g wire.Generation) netip.AddrPort {
	if m := c.view.Member(g); m != nil {
		return m.Peer
	}
	return netip.AddrPort{}
}

// isOther tells whether a member is open and not self.
func (c *Core) isOther(m *routes.MemberRow) bool {
	return m.State != wire.StateClosed && m.Generation != c.self.Generation
}

// eligible tells whether a member may be given slots.
func (c *Core) eligible(o *routes.Owner) bool {
	if !o.AcceptsWork(func(domain string) bool { return slices.Contains(c.config.Out, domain) }) {
		return false
	}
	return c.config.Serves == nil || c.config.Serves(o.Service, o.Domain, o.Instance)
}

func (c *Core) shape() (ServiceLayout, bool) {
	for _, s := range c.config.Services {
		if s.Name == c.self.Service {
			return s, true
		}
	}
	return ServiceLayout{}, false
}
