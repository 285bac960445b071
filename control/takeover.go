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

// predecessorTTLs is how long, in TTLs of the lease, this generation must have held
// its lease and known another generation at its address before it may close that
// one. Lease renewals are sent to the address, so a generation that has lost the
// address has no lease after one TTL; the extra half TTL allows for clocks that run
// at different rates.
const predecessorTTLs = 1.5

const (
	// predecessorReadTime is how long a generation leaves its predecessors of earlier timelines
	// open, so that it learns from other members what the platform has forgotten of them.
	predecessorReadTime = time.Second
	// voteTimeout is how long an attempt may collect votes before it is restarted
	// with the current version of the row.
	voteTimeout = time.Second
	// orphanDelay is how long a member may have too few open witnesses before the
	// planner tries to close it.
	orphanDelay = 3 * time.Second
	// maxHeirs bounds the heirs named in a closed row.
	maxHeirs = 32
)

// takeover is one attempt to close a generation.
type takeover struct {
	attempt *lease.Takeover
	version uint64
	since   time.Time
	writing bool
	// votes are the generations that have voted. nextRequest is when members that may renew
	// the lease in an earlier timeline are asked for their votes again.
	votes       map[wire.Generation]bool
	nextRequest time.Time
}

// takeoverState is the state of generations that are closed or may have to be
// closed.
type takeoverState struct {
	takeovers map[wire.Generation]*takeover
	// predecessors are the open generations with the same instance and address, and
	// since when they have been known.
	predecessors map[wire.Generation]time.Time
	// orphans are the generations with too few open witnesses, and since when.
	orphans map[wire.Generation]time.Time
	// closedSince is when this generation learned that another was closed.
	closedSince map[wire.Generation]time.Time
}

func newTakeoverState() takeoverState {
	return takeoverState{
		takeovers:    make(map[wire.Generation]*takeover),
		predecessors: make(map[wire.Generation]time.Time),
		orphans:      make(map[wire.Generation]time.Time),
		closedSince:  make(map[wire.Generation]time.Time),
	}
}

// findTakeovers starts to close generations whose lease has expired.
func (c *Core) findTakeovers(now time.Time) {
	if c.closing || !c.registered() {
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

// orphaned reports whether a member has had too few open witnesses for so long that
// it is presumed to have failed with them, and whether this generation is the one
// to close it.
func (c *Core) orphaned(now time.Time, m *routes.MemberRow) bool {
	if !c.isOpenPeer(m) || m.Service != c.self.Service {
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
	return now.Sub(since) > orphanDelay && c.isPlanner(m.Service)
}

func (c *Core) startTakeover(now time.Time, g wire.Generation) {
	row := c.view.Member(g)
	if row == nil || row.State == wire.StateClosed {
		return
	}
	if t := c.takeovers[g]; t != nil {
		stale := t.version != row.Version || now.Sub(t.since) > voteTimeout
		if t.writing || !stale {
			return
		}
	}
	t := &takeover{
		attempt: lease.NewTakeover(c.rowToClose(row), row.Version, now, c.takeoverOptions()...),
		version: row.Version, since: now, votes: make(map[wire.Generation]bool),
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
	if !c.registered() {
		return
	}
	c.closePredecessors(now)
	for _, g := range slices.Sorted(maps.Keys(c.takeovers)) {
		t := c.takeovers[g]
		if t.writing {
			continue
		}
		if c.storeReady(now) {
			c.requestVotes(now, t)
		}
		if t.attempt.Decided(now) && c.renewersAgree(now, g, t) {
			c.writeTakeover(now, g, t)
		}
	}
}

func (c *Core) requestVotes(now time.Time, t *takeover) {
	for _, request := range t.attempt.VoteRequests(now, c.storeAnswered) {
		vote := request.Vote
		vote.From = c.self.Generation
		c.requestVote(now, t, request.To, vote)
	}
}

// requestVote asks a member for its vote.
func (c *Core) requestVote(now time.Time, t *takeover, member wire.Generation, vote wire.Vote) {
	if member == c.self.Generation {
		c.addVerdict(now, t, member, c.vote(now, vote))
		return
	}
	if to := c.peerAddr(member); to.IsValid() {
		c.emit(RequestVote{To: to, Witness: member, Vote: vote})
	}
}

func (c *Core) addVerdict(now time.Time, t *takeover, from wire.Generation, v wire.Verdict) {
	t.attempt.AddVerdict(now, from, v)
	if v.Expired {
		t.votes[from] = true
	}
}

func (c *Core) verdictArrived(now time.Time, m VerdictArrived) {
	t := c.takeovers[m.Verdict.Holder]
	if t == nil || t.writing || !c.registered() {
		return
	}
	c.addVerdict(now, t, m.Witness, m.Verdict)
	if t.attempt.Decided(now) && c.renewersAgree(now, m.Verdict.Holder, t) {
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
	tx, err := t.attempt.Transaction(c.self, c.version, heirs, c.newID(), "its lease ran out")
	if err != nil {
		return
	}
	t.writing = true
	c.emitTakeover(row.Member, tx, heirs, "its lease ran out")
}

func (c *Core) emitTakeover(row wire.Member, tx storage.Transaction, heirs []wire.Generation, reason string) {
	c.emitWrite(Write{
		Purpose: PurposeTakeover, Subject: row.Generation, Transaction: tx,
		Entry: audit.Entry{
			Who: c.self.Instance, What: audit.Takeover, Subject: row.Instance,
			From: formatGenerations([]wire.Generation{row.Generation}), To: formatGenerations(heirs), Why: reason, Change: tx.ID,
		},
	})
}

// closePredecessors closes the generations that had this generation's address
// before.
func (c *Core) closePredecessors(now time.Time) {
	for _, g := range slices.Sorted(maps.Keys(c.predecessors)) {
		row := c.view.Member(g)
		if row == nil || row.State == wire.StateClosed {
			delete(c.predecessors, g)
			continue
		}
		writing := c.takeovers[g] != nil && c.takeovers[g].writing
		if !writing && c.isSuperseded(now, row) && c.storeReady(now) {
			c.closePredecessor(now, row)
		}
	}
}

// isSuperseded reports whether another generation with the own address is known to
// receive nothing there any more.
func (c *Core) isSuperseded(now time.Time, row *routes.MemberRow) bool {
	if c.isBehind(row.Generation) && now.Sub(c.enteredAt) < predecessorReadTime {
		return false
	}
	if c.faults.NoPredecessorWait || c.exclusiveAddress {
		return true
	}
	since := c.predecessors[row.Generation]
	if c.leasedSince.After(since) {
		since = c.leasedSince
	}
	wait := time.Duration(predecessorTTLs * float64(c.holder.TTL()))
	return c.leased && now.Sub(since) >= wait
}

// rowToClose returns the row of a generation that is to be closed. What it owned in an
// earlier timeline is not owned in the present one.
func (c *Core) rowToClose(m *routes.MemberRow) wire.Member {
	row := m.Member
	if c.isBehind(m.Generation) {
		row.Claims, row.ReleasedSlots = nil, nil
	}
	return row
}

// closePredecessor closes a generation without votes. The row that it writes names
// no witnesses, so that it does not count as a vote elsewhere. A predecessor of an earlier
// timeline has to count: no slots are assigned until all of those are closed. If no two
// processes can receive at one address, it certainly renews nobody any more.
func (c *Core) closePredecessor(now time.Time, row *routes.MemberRow) {
	heirs := []wire.Generation{c.self.Generation}
	if c.self.State != wire.StateActive && !c.exclusiveAddress {
		heirs = c.heirs(now, row.Member)
	}
	const reason = "its successor has held its address since"
	var witnesses []wire.Generation
	if c.exclusiveAddress && c.isBehind(row.Generation) {
		witnesses = row.Witnesses
	}
	tx, err := lease.Closing{
		Witnesses: witnesses, Row: c.rowToClose(row), Version: row.Version, Closer: c.self.Generation, CloserVersion: c.version,
		Heirs: heirs, Change: c.newID(), Reason: reason,
	}.Transaction()
	if err != nil {
		return
	}
	c.takeovers[row.Generation] = &takeover{version: row.Version, since: now, writing: true}
	c.emitTakeover(row.Member, tx, heirs, reason)
}

// heirs returns the members that share the slots of a closing generation: those
// that may own slots, outside its failure domain if there are any.
func (c *Core) heirs(now time.Time, m wire.Member) []wire.Generation {
	overdue := c.witness.Overdue(now)
	var sameDomain, otherDomains []wire.Generation
	for _, o := range c.view.Snapshot().Members(m.Service) {
		switch {
		case o.Generation == m.Generation, !c.eligible(o), slices.Contains(overdue, o.Generation),
			c.takeovers[o.Generation] != nil:
		case o.Domain == m.Domain:
			sameDomain = append(sameDomain, o.Generation)
		default:
			otherDomains = append(otherDomains, o.Generation)
		}
	}
	if len(otherDomains) == 0 {
		otherDomains = sameDomain
	}
	if len(otherDomains) <= maxHeirs {
		return otherDomains
	}
	routes.Rank(otherDomains, uint64(m.Generation))
	return otherDomains[:maxHeirs]
}

// notifyHeirs sends a closed row directly to its heirs, so that the time until its
// slots are served again does not depend on gossip.
func (c *Core) notifyHeirs(rows []wire.Row) {
	for _, row := range rows {
		var m wire.Member
		if wire.Decode(row.Value, &m) != nil || m.State != wire.StateClosed {
			continue
		}
		c.sendTo(m.Heirs, wire.Rows{From: c.self.Generation, Rows: []wire.Row{row}})
	}
}
