package control

import (
	"slices"
	"time"

	"fulmarrun/audit"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// A platform that is restored from a copy has forgotten who owned what since. The rows of
// slots of the earlier timeline stay in force for those that were owners under a lease when
// they entered the new one, and for nobody else, until rows of the new timeline replace
// all of them. That must wait until no other generation can be an owner by the old rows.

// renewerVoteInterval is the time after which members are asked again whether they still renew
// the lease of a holder that has not entered the present timeline.
const renewerVoteInterval = 200 * time.Millisecond

// registrationTime is the time for each member in which all of them write their rows in a new
// timeline, at the rate of writes that the platform accepts.
const registrationTime = time.Millisecond

// timelineState is the state of the change from one timeline of the platform to the next.
type timelineState struct {
	// timeline is the latest timeline that is known here. The rows that this generation
	// writes, and the conditions of its transactions, belong to it.
	timeline uint64
	// unsettledAt is when a generation last could have been an owner by rows of an earlier
	// timeline without having claimed its slots, or may have granted some just before.
	unsettledAt time.Time
	// enteredAt is when this generation entered the timeline or read the rows to join in it.
	enteredAt time.Time
	// rereadAt is when all rows were last requested, and reread is when those were requested
	// that have arrived.
	rereadAt, reread time.Time
}

// enterTimeline continues in a later timeline. A generation that holds its lease claims the
// slots that it owns and writes its row again. Without a lease it ends, since it can't know
// whether it was closed before the platform was restored.
func (c *Core) enterTimeline(now time.Time, timeline uint64) {
	if timeline <= c.timeline || c.closed {
		return
	}
	if c.loadedAt.IsZero() {
		c.timeline = timeline
		return
	}
	claims, leased := c.claims(), c.joined && !c.closing && c.holder.Valid(now)
	c.timeline, c.unsettledAt, c.enteredAt = timeline, now, now
	c.rereadAt, c.reread = time.Time{}, time.Time{}
	if !leased && !c.faults.EnterUnleased {
		c.endGeneration("the platform was restored while it held no lease")
		return
	}
	c.view.Claim(c.self.Generation, timeline, claims)
	c.abortWrites()
	c.self.ReleasedSlots, c.self.Claims, c.self.Renews = nil, claims, c.witness.Renewing()
	c.writeSelf(c.self, audit.Restore, "the platform was restored from a copy")
}

// abortWrites forgets the writes that are in progress: the platform no longer applies them,
// or has forgotten that it did.
func (c *Core) abortWrites() {
	c.version, c.writing, c.planning = 0, false, false
	clear(c.takeovers)
	if c.writtenMove != nil {
		c.emit(FinishMove{Move: *c.writtenMove})
		c.moving, c.writtenMove = false, nil
	}
}

// claims returns a bitmap of the slots that this generation owns. Those of a hand-over that
// is being written are left out: it may have been applied, and their next owners may know.
func (c *Core) claims() []byte {
	count := c.view.Snapshot().SlotCount(c.self.Service)
	out := make([]byte, count/8+1)
	for h := range c.view.Snapshot().Assignments(c.self.Service) {
		if h.Key == "" && h.Owner != nil && h.Owner.Generation == c.self.Generation {
			routes.SetInBitmap(out, h.Slot, true)
		}
	}
	if c.writtenMove != nil {
		for _, m := range c.writtenMove.Moves {
			routes.SetInBitmap(out, m.Slot, false)
		}
	}
	return out
}

// registered reports whether the own row has been written in the present timeline. Until
// then, no transaction can be conditional on it.
func (c *Core) registered() bool { return c.version != 0 }

// refounded reports whether all rows of slots of the own service belong to the present
// timeline.
func (c *Core) refounded() bool {
	if c.timeline == 0 {
		return true
	}
	first := c.view.SlotsRow(c.self.Service, 0)
	if first == nil {
		return false
	}
	for at := uint32(0); at < first.TotalSlots; at += routes.SlotsPerRow {
		if !c.isCurrent(c.view.SlotsRow(c.self.Service, at)) {
			return false
		}
	}
	return true
}

// isCurrent reports whether a row of slots is known and belongs to the present timeline.
func (c *Core) isCurrent(row *routes.SlotsRow) bool {
	return row != nil && storage.TimelineOf(row.Version) == c.timeline
}

// settled reports whether every generation of the own service that could be an owner by
// rows of an earlier timeline has claimed its slots or is closed.
func (c *Core) settled(now time.Time) bool {
	for _, m := range c.view.Members() {
		if m.Service == c.self.Service && m.State != wire.StateClosed && c.isBehind(m.Generation) {
			c.unsettledAt = now
			return false
		}
	}
	return true
}

// refound returns the rows of slots of the present timeline, made from the claims of their
// owners; nil while it is too early. Slots that nobody claims may still be held by the
// target of an owner that was lost. They are assigned once all that it was granted has
// run out, and what other members know of owners has been read.
func (c *Core) refound(now time.Time, layout ServiceLayout, candidates []wire.Generation) []routes.SlotsRow {
	if !c.faults.RefoundUnsettled && !c.settled(now) || !c.isFounder() {
		return nil
	}
	count := layout.Slots
	if first := c.view.SlotsRow(layout.Name, 0); first != nil {
		count, layout.Ranged = first.TotalSlots, first.NumericKeys
	}
	claimed, all := c.claimants(count)
	if !all && !c.unclaimedFree(now) {
		return nil
	}
	var out []routes.SlotsRow
	for at := uint32(0); at < count && len(out) < rowsPerPlan; at += routes.SlotsPerRow {
		old := c.view.SlotsRow(layout.Name, at)
		if c.isCurrent(old) {
			continue
		}
		row := c.newRow(layout, count, at)
		row.Revision = 1
		for i := range row.Slots.Slots {
			entry := &row.Slots.Slots[i]
			slot := at + uint32(i)
			entry.Owner, entry.AssignedAt = claimed[slot], wire.UnixTimeOf(c.wall)
			if entry.Owner == 0 {
				entry.Owner = c.formerOwner(old, i, candidateFor(&row, slot, candidates), candidates)
			}
			entry.Epoch++
		}
		out = append(out, row)
	}
	return out
}

// isFounder reports whether this generation writes the rows of slots of the present
// timeline: the highest ranked member of those that were there before the platform was
// restored, who know most, or of all members if there are none.
func (c *Core) isFounder() bool {
	var best wire.Generation
	var bestRank uint64
	bestClaims := false
	for _, m := range c.view.Members() {
		if _, orphan := c.orphans[m.Generation]; orphan || m.Service != c.self.Service || m.State == wire.StateClosed {
			continue
		}
		claims, rank := len(m.Claims) > 0, routes.Mix(uint64(len(m.Service)), uint64(m.Generation))
		if best == 0 || claims && !bestClaims || claims == bestClaims && rank > bestRank {
			best, bestRank, bestClaims = m.Generation, rank, claims
		}
	}
	return best == c.self.Generation
}

// claimants returns the generation that has claimed each slot, and whether all slots are
// claimed. Its owner may be closed by now; then its heirs own the slot.
func (c *Core) claimants(count uint32) (claimed map[uint32]wire.Generation, all bool) {
	claimed = make(map[uint32]wire.Generation, count)
	for _, m := range c.view.Members() {
		if m.Service != c.self.Service || c.isBehind(m.Generation) || len(m.Claims) == 0 {
			continue
		}
		for slot := range count {
			if routes.InBitmap(m.Claims, slot) {
				claimed[slot] = m.Generation
			}
		}
	}
	return claimed, len(claimed) == int(count)
}

// unclaimedFree reports whether slots without a claim may be assigned.
func (c *Core) unclaimedFree(now time.Time) bool {
	return c.rereadAfter(now, c.unsettledAt.Add(c.holder.TTL()))
}

// rereadAfter reports whether all rows have been read from the platform after a time, and
// requests them if not.
func (c *Core) rereadAfter(now, after time.Time) bool {
	if c.reread.After(after) {
		return true
	}
	if now.After(after) && now.Sub(c.rereadAt) > reloadInterval && c.storeReady(now) {
		c.rereadAt = now
		c.emit(Reload{At: now})
	}
	return false
}

// mayRenew reports whether the lease of a holder may be renewed. If its row belongs to an
// earlier timeline, the present one has to show that this generation renews it, as soon as
// all members can have written their rows: the row that names its witnesses may be lost.
func (c *Core) mayRenew(now time.Time, holder wire.Generation) bool {
	if !c.isBehind(holder) {
		return true
	}
	return slices.Contains(c.self.Renews, holder) && (c.registered() || now.Sub(c.enteredAt) < c.timeToRegister())
}

// isBehind reports whether a generation is not known to have entered the present timeline.
func (c *Core) isBehind(g wire.Generation) bool {
	m := c.view.Member(g)
	return m != nil && storage.TimelineOf(m.Version) < c.timeline
}

// timeToRegister returns how long after it entered a timeline a generation may take to write
// its row.
func (c *Core) timeToRegister() time.Duration {
	return time.Duration(len(c.view.Members())) * registrationTime
}

// stillRenewed returns the generations of a list of Member.Renews that are neither closed nor
// known to have entered the present timeline.
func (c *Core) stillRenewed(renews []wire.Generation) []wire.Generation {
	return slices.DeleteFunc(slices.Clone(renews), func(g wire.Generation) bool {
		m := c.view.Member(g)
		return m != nil && (m.State == wire.StateClosed || !c.isBehind(g))
	})
}

// vote returns the verdict of this generation, as a witness, on the lease of another. The
// row of a holder that has not entered the present timeline may name witnesses that it has
// replaced since, which must not vote.
func (c *Core) vote(now time.Time, v wire.Vote) wire.Verdict {
	if c.isBehind(v.Holder) && !slices.Contains(c.view.Member(v.Holder).Witnesses, c.self.Generation) &&
		!slices.Contains(c.self.Renews, v.Holder) {
		return wire.Verdict{Holder: v.Holder, Wait: c.holder.TTL()}
	}
	return c.witness.Vote(now, v)
}

// renewersAgree reports whether no member renews a lease any more whose holder has not entered
// the present timeline, whether or not the row that is known of the holder names the member. It
// requests the votes that are missing.
func (c *Core) renewersAgree(now time.Time, g wire.Generation, t *takeover) bool {
	if storage.TimelineOf(t.version) >= c.timeline {
		return true
	}
	// Others may have entered later, and know of more members.
	if !c.rereadAfter(now, c.enteredAt.Add(c.holder.TTL()+2*c.timeToRegister())) {
		return false
	}
	agree := true
	for _, m := range c.view.Members() {
		if c.isBehind(m.Generation) || t.votes[m.Generation] || !slices.Contains(m.Renews, g) {
			continue
		}
		if m.State == wire.StateClosed && now.Sub(c.closedSince[m.Generation]) >= c.holder.TTL() {
			continue
		}
		agree = false
		if !now.Before(t.nextRequest) {
			c.requestVote(now, t, m.Generation, wire.Vote{From: c.self.Generation, Holder: g})
		}
	}
	if !now.Before(t.nextRequest) {
		t.nextRequest = now.Add(renewerVoteInterval)
	}
	return agree
}

// formerOwner returns the candidate at the instance that owned a slot by a row of an earlier
// timeline, so that few slots change their target, or the given one.
func (c *Core) formerOwner(old *routes.SlotsRow, index int, fallback wire.Generation, candidates []wire.Generation) wire.Generation {
	if old == nil {
		return fallback
	}
	owner := c.view.Member(old.Slots.Slots[index].Owner)
	if owner == nil {
		return fallback
	}
	at := slices.IndexFunc(candidates, func(g wire.Generation) bool {
		m := c.view.Member(g)
		return m != nil && m.Instance == owner.Instance
	})
	if at < 0 {
		return fallback
	}
	return candidates[at]
}
