package control

import (
	"maps"
	"slices"
	"time"

	"fulmarrun/audit"
	"fulmarrun/lease"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// predecessorTTLs is how long, in TTLs of the lease, self must have held its lease
// and known of another generation at its address before that one may be closed.
// Renewals go to the address, so that one that has lost it is without a lease after
// one TTL; the half more is for two clocks that differ in pace.
const predecessorTTLs = 1.5

const (
	// takeoverPatience is how long an attempt may gather votes before it starts
	// again from the row as it is then.
	takeoverPatience = time.Second
	// orphanWait is how long a member may have too few open witnesses before
	// the planner tries to close it.
	orphanWait = 3 * time.Second
	// maxHeirs bounds the heirs named in a closed row.
	maxHeirs = 32
)

// takeover is one attempt to close a generation.
type takeover struct {
	attempt *lease.Takeover
	version uint64
	since   time.Time
	writing bool
}

// takeoverState is what a Core knows of generations that are closed or may have
// to be.
type takeoverState struct {
	takeovers map[wire.Generation]*takeover
	// predecessor are the open generations with the own address, and since when
	// they have been known.
	predecessor map[wire.Generation]time.Time
	// orphans are those with too few open witnesses, and since when.
	orphans map[wire.Generation]time.Time
	// closedSince is when the closing of a generation was learned.
	closedSince map[wire.Generation]time.Time
}

func newTakeoverState() takeoverState {
	return takeoverState{
		takeovers:   make(map[wire.Generation]*takeover),
		predecessor: make(map[wire.Generation]time.Time),
		orphans:     make(map[wire.Generation]time.Time),
		closedSince: make(map[wire.Generation]time.Time),
	}
}

// findTakeovers starts attempts on holders whose lease has run out.
func (c *Core) findTakeovers(now time.Time) {
	if c.closing {
		return
	}
	for _, g := range c.witness.Overdue(now) {
		c.startTakeover(now, g)
	}
	for _, m := range c.view.Members() {
		if c.orphaned(now, m) {
			c.startTakeover(now, m.Generation)
		}
	}
}

// orphaned tells whether a member has had too few open witnesses for so long
// that it has to be presumed lost with them, and self is to act on it.
func (c *Core) orphaned(now time.Time, m *routes.MemberRow) bool {
	if !c.isOther(m) || m.Service != c.self.Service {
		return false
	}
	open := 0
	for _, w := range m.Witnesses {
		if r := c.view.Member(w); r != nil && r.State != wire.StateClosed {
			open++
		}
	}
	if _, votes := lease.Quorum(len(m.Witnesses)); votes > 0 && open >= votes {
		delete(c.orphans, m.Generation)
		return false
	}
	since, seen := c.orphans[m.Generation]
	if !seen {
		c.orphans[m.Generation] = now
		return false
	}
	return now.Sub(since) > orphanWait && c.isPlanner(m.Service)
}

func (c *Core) startTakeover(now time.Time, g wire.Generation) {
	row := c.view.Member(g)
	if row == nil || row.State == wire.StateClosed {
		return
	}
	if t := c.takeovers[g]; t != nil {
		stale := t.version != row.Version || now.Sub(t.since) > takeoverPatience
		if t.writing || !stale {
			return
		}
	}
	t := &takeover{
		attempt: lease.NewTakeover(row.Member, row.Version, now, c.takeoverOptions()...),
		version: row.Version, since: now,
	}
	for _, w := range row.Witnesses {
		if r := c.view.Member(w); r != nil && r.State == wire.StateClosed {
			t.attempt.AddClosedWitness(r.Member, c.closedSince[w])
		}
	}
	c.takeovers[g] = t
}

func (c *Core) takeoverOptions() []lease.Option {
	return append(slices.Clone(c.leaseOptions), lease.WithRequester(c.self.Generation))
}

func (c *Core) runTakeovers(now time.Time) {
	c.closePredecessors(now)
	for _, g := range slices.Sorted(maps.Keys(c.takeovers)) {
		t := c.takeovers[g]
		if t.writing {
			continue
		}
		if c.storeReady(now) {
			c.askVotes(now, t)
		}
		if t.attempt.Decided(now) {
			c.writeTakeover(now, g, t)
		}
	}
}

func (c *Core) askVotes(now time.Time, t *takeover) {
	for _, ask := range t.attempt.VoteRequests(now, c.storeAnswered) {
		vote := ask.Vote
		vote.From = c.self.Generation
		if ask.To == c.self.Generation {
			t.attempt.AddVerdict(now, ask.To, c.witness.Vote(now, vote))
			continue
		}
		if to := c.addr(ask.To); to.IsValid() {
			c.emit(RequestVote{To: to, Witness: ask.To, Vote: vote})
		}
	}
}

func (c *Core) verdict(now time.Time, m VerdictArrived) {
	t := c.takeovers[m.Verdict.Holder]
	if t == nil || t.writing {
		return
	}
	t.attempt.AddVerdict(now, m.Witness, m.Verdict)
	if t.attempt.Decided(now) {
		c.writeTakeover(now, m.Verdict.Holder, t)
	}
}

func (c *Core) writeTakeover(now time.Time, g wire.Generation, t *takeover) {
	row := c.view.Member(g)
	if row == nil || row.Version != t.version || row.State == wire.StateClosed {
		delete(c.takeovers, g)
		return
	}
	heirs := c.heirs(now, row.Member)
	tx, err := t.attempt.Transaction(c.self, c.version, heirs, c.name(), "its lease ran out")
	if err != nil {
		return
	}
	t.writing = true
	c.emitTakeover(row.Member, tx, heirs, "its lease ran out")
}

func (c *Core) emitTakeover(row wire.Member, tx storage.Transaction, heirs []wire.Generation, why string) {
	c.emit(Write{
		Purpose: PurposeTakeover, Subject: row.Generation, Transaction: tx,
		Entry: audit.Entry{
			Who: c.self.Instance, What: audit.Takeover, Subject: row.Instance,
			From: names([]wire.Generation{row.Generation}), To: names(heirs), Why: why, Change: tx.ID,
		},
	})
}

// closePredecessors closes the generations that held the own address before.
func (c *Core) closePredecessors(now time.Time) {
	for _, g := range slices.Sorted(maps.Keys(c.predecessor)) {
		row := c.view.Member(g)
		if row == nil || row.State == wire.StateClosed {
			delete(c.predecessor, g)
			continue
		}
		writing := c.takeovers[g] != nil && c.takeovers[g].writing
		if !writing && c.succeeds(now, row) && c.storeReady(now) {
			c.closePredecessor(now, row)
		}
	}
}

// succeeds tells whether a generation at the own address is known to receive
// nothing there any more.
func (c *Core) succeeds(now time.Time, row *routes.MemberRow) bool {
	if c.faults.NoPredecessorWait || c.soleAddress {
		return true
	}
	since := c.predecessor[row.Generation]
	if c.leasedSince.After(since) {
		since = c.leasedSince
	}
	wait := time.Duration(predecessorTTLs * float64(c.holder.TTL()))
	return c.leased && now.Sub(since) >= wait
}

// closePredecessor writes the close without votes. The row that it writes names
// no witnesses, so that it does not count as a vote elsewhere.
func (c *Core) closePredecessor(now time.Time, row *routes.MemberRow) {
	heirs := []wire.Generation{c.self.Generation}
	if c.self.State != wire.StateActive && !c.soleAddress {
		heirs = c.heirs(now, row.Member)
	}
	const why = "its successor has held its address since"
	tx, err := lease.Closing{
		Row: row.Member, Version: row.Version, Closer: c.self.Generation, CloserVersion: c.version,
		Heirs: heirs, Change: c.name(), Reason: why,
	}.Transaction()
	if err != nil {
		return
	}
	c.takeovers[row.Generation] = &takeover{version: row.Version, since: now, writing: true}
	c.emitTakeover(row.Member, tx, heirs, why)
}

// heirs returns who is to share the slots of a closing generation: those that
// may own, outside its failure domain where there are any.
func (c *Core) heirs(now time.Time, m wire.Member) []wire.Generation {
	overdue := c.witness.Overdue(now)
	var near, far []wire.Generation
	for _, o := range c.view.Snapshot().Members(m.Service) {
		switch {
		case o.Generation == m.Generation, !c.eligible(o), slices.Contains(overdue, o.Generation),
			c.takeovers[o.Generation] != nil:
		case o.Domain == m.Domain:
			near = append(near, o.Generation)
		default:
			far = append(far, o.Generation)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) <= maxHeirs {
		return far
	}
	routes.Rank(far, uint64(m.Generation))
	return far[:maxHeirs]
}

// notifyHeirs sends a closed row to its heirs themselves, so that the time until
// its slots are served again does not depend on the spreading of news.
func (c *Core) notifyHeirs(rows []wire.Row) {
	for _, row := range rows {
		var m wire.Member
		if wire.Decode(row.Value, &m) != nil || m.State != wire.StateClosed {
			continue
		}
		c.tell(m.Heirs, wire.Rows{From: c.self.Generation, Rows: []wire.Row{row}})
	}
}
