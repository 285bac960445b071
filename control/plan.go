package control

import (
	"slices"
	"time"

	"fulmarrun/audit"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// epochBits is the number of bits of an epoch below its timeline, so that epochs of a later
// timeline are higher than those that the platform may have forgotten.
const epochBits = 24

// rowsPerPlan bounds the rows of slots that one transaction assigns.
const rowsPerPlan = 16

// planState is the state of the generation's work as a planner.
type planState struct {
	// planning is true while a write of assignments is in progress.
	planning bool
}

// isPlanner reports whether this generation plans for a service, which the highest
// ranked eligible member does. If two members both believe that they are the
// planner, they duplicate work, but the conditional writes keep the rows
// consistent.
func (c *Core) isPlanner(service string) bool {
	var best wire.Generation
	var bestRank uint64
	for _, o := range c.view.Snapshot().Members(service) {
		if _, orphan := c.orphans[o.Generation]; orphan || !c.eligible(o) {
			continue
		}
		if rank := routes.Mix(uint64(len(service)), uint64(o.Generation)); best == 0 || rank > bestRank {
			best, bestRank = o.Generation, rank
		}
	}
	return best == c.self.Generation
}

// assignSlots assigns free slots, and replaces closed owners in the rows by the
// heirs to which their slots already resolve.
func (c *Core) assignSlots(now time.Time) {
	layout, ok := c.layout()
	if !ok || c.planning || c.writing || !c.registered() || !c.holder.Valid(now) || c.refounded() && !c.isPlanner(c.self.Service) {
		return
	}
	rows := c.rowsToAssign(now, layout)
	if len(rows) == 0 {
		if c.refounded() {
			c.deleteClosed(now)
		}
		return
	}
	if !c.storeReady(now) {
		return
	}
	change := c.newID()
	// The condition on the member row of this generation prevents a late assignment
	// by a closed generation.
	tx := storage.Transaction{ID: change, Conditions: []storage.Condition{
		{Key: routes.MemberKey(c.self.Generation), Version: c.version},
	}}
	for _, row := range rows {
		row.Change = change
		value, err := wire.Encode(&row.Slots)
		if err != nil {
			return
		}
		key := routes.SlotsKey(row.Service, row.FirstSlot)
		tx.Conditions = append(tx.Conditions, storage.Condition{Key: key, Version: row.Version})
		tx.Writes = append(tx.Writes, storage.Write{Key: key, Value: value})
	}
	c.planning = true
	c.emitWrite(Write{
		Purpose: PurposePlan, Transaction: tx,
		Entry: audit.Entry{
			Who: c.self.Instance, What: audit.Assign, Subject: c.self.Service,
			To: tx.Writes[0].Key, Why: "slots without an open owner in their row", Change: change,
		},
	})
}

// rowsToAssign returns new versions of some of the rows that have a free slot or a
// closed owner. The first row is written alone, since it fixes the slot count.
func (c *Core) rowsToAssign(now time.Time, layout ServiceLayout) []routes.SlotsRow {
	candidates := c.candidates()
	if len(candidates) == 0 {
		return nil
	}
	if !c.refounded() {
		return c.refound(now, layout, candidates)
	}
	first := c.view.SlotsRow(layout.Name, 0)
	if first == nil && now.Sub(c.unchangedSince) < c.assignDelay {
		return nil
	}
	if first == nil {
		return []routes.SlotsRow{c.resolveRow(c.newRow(layout, layout.Slots, 0), candidates)}
	}
	var out []routes.SlotsRow
	for at := uint32(0); at < first.TotalSlots && len(out) < rowsPerPlan; at += routes.SlotsPerRow {
		row := c.view.SlotsRow(layout.Name, at)
		if row == nil {
			out = append(out, c.resolveRow(c.newRow(layout, first.TotalSlots, at), candidates))
			continue
		}
		if c.needsWrite(row) {
			out = append(out, c.resolveRow(*row, candidates))
		}
	}
	return out
}

func (c *Core) newRow(layout ServiceLayout, count, first uint32) routes.SlotsRow {
	return routes.SlotsRow{Slots: wire.Slots{
		Service: layout.Name, TotalSlots: count, NumericKeys: layout.Ranged, FirstSlot: first,
		Slots: slices.Repeat([]wire.Slot{{Epoch: c.timeline << epochBits}}, int(min(routes.SlotsPerRow, count-first))),
	}}
}

// needsWrite reports whether a slot or hot key of the row is free or resolves to
// another owner than the row names.
func (c *Core) needsWrite(row *routes.SlotsRow) bool {
	for i, s := range row.Slots.Slots {
		r := c.view.Resolve(row, s, row.FirstSlot+uint32(i), "")
		if r.Known && (r.Owner == 0 || r.Owner != s.Owner) {
			return true
		}
	}
	for _, h := range row.HotKeys {
		r := c.view.Resolve(row, h.Slot, 0, h.Key)
		if r.Known && (r.Owner == 0 || r.Owner != h.Owner) {
			return true
		}
	}
	return false
}

// resolveRow returns the next version of a row, in which every slot of a closed
// owner names the owner that it resolves to and every free slot is assigned.
func (c *Core) resolveRow(row routes.SlotsRow, candidates []wire.Generation) routes.SlotsRow {
	resolved := row
	row.Revision++
	row.Slots.Slots = slices.Clone(row.Slots.Slots)
	for i, s := range row.Slots.Slots {
		slot := row.FirstSlot + uint32(i)
		row.Slots.Slots[i] = c.resolveSlot(&resolved, s, slot, "", candidateFor(&row, slot, candidates))
	}
	row.HotKeys = slices.Clone(row.HotKeys)
	for i, h := range row.HotKeys {
		row.HotKeys[i].Slot = c.resolveSlot(&resolved, h.Slot, 0, h.Key, candidates[i%len(candidates)])
	}
	return row
}

// candidateFor returns the member that a free slot is assigned to. Each member gets
// a run of consecutive slots, which lie in few rows; but slots that are ranges of
// keys are assigned in turn, since adjacent ranges are busy together.
func candidateFor(row *routes.SlotsRow, slot uint32, candidates []wire.Generation) wire.Generation {
	if row.NumericKeys {
		return candidates[int(slot)%len(candidates)]
	}
	return candidates[int(slot)*len(candidates)/int(row.TotalSlots)]
}

// resolveSlot returns the entry with the owner that it resolves to, or with candidate
// as the owner if it is free.
func (c *Core) resolveSlot(row *routes.SlotsRow, s wire.Slot, slot uint32, hot string, candidate wire.Generation) wire.Slot {
	r := c.view.Resolve(row, s, slot, hot)
	switch {
	case !r.Known:
		return s
	case r.Owner == 0:
		return wire.Slot{Owner: candidate, Epoch: r.Epoch + 1, AssignedAt: wire.UnixTimeOf(c.wall)}
	case r.Owner == s.Owner:
		return s
	default:
		return wire.Slot{Owner: r.Owner, Epoch: r.Epoch, AssignedAt: wire.UnixTimeOf(c.wall)}
	}
}

// candidates returns the members that free slots may be assigned to.
func (c *Core) candidates() []wire.Generation {
	var out []wire.Generation
	for _, o := range c.view.Snapshot().Members(c.self.Service) {
		if c.eligible(o) {
			out = append(out, o.Generation)
		}
	}
	return out
}

// deleteClosed deletes the row of one member that was closed long ago, unless a row
// of slots or the heirs of a closed row name it, or an open member has it as a
// witness: its closed row may have to count as a vote.
func (c *Core) deleteClosed(now time.Time) {
	for _, m := range c.view.Members() {
		if m.Service != c.self.Service || m.State != wire.StateClosed || c.isBehind(m.Generation) ||
			now.Sub(c.closedSince[m.Generation]) < c.retention || c.referenced(m.Generation) || c.isWitness(m.Generation) {
			continue
		}
		if !c.storeReady(now) {
			return
		}
		key := routes.MemberKey(m.Generation)
		change := c.newID()
		c.planning = true
		c.emitWrite(Write{
			Purpose: PurposePlan,
			Transaction: storage.Transaction{
				ID:         change,
				Conditions: []storage.Condition{{Key: key, Version: m.Version}},
				Writes:     []storage.Write{{Key: key, Delete: true}},
			},
			Entry: audit.Entry{
				Who: c.self.Instance, What: audit.Forget, Subject: m.Instance,
				From: key, Why: "closed long ago and owns nothing", Change: change,
			},
		})
		return
	}
}

// isWitness reports whether an open member has g as a witness.
func (c *Core) isWitness(g wire.Generation) bool {
	return slices.ContainsFunc(c.view.Members(), func(m *routes.MemberRow) bool {
		return m.State != wire.StateClosed && slices.Contains(m.Witnesses, g)
	})
}

// referenced reports whether a row of slots or of a closed member names g. It reports
// true while that is unknown because rows are missing here.
func (c *Core) referenced(g wire.Generation) bool {
	layout, ok := c.layout()
	if !ok {
		return true
	}
	first := c.view.SlotsRow(layout.Name, 0)
	if first == nil {
		return true
	}
	for at := uint32(0); at < first.TotalSlots; at += routes.SlotsPerRow {
		row := c.view.SlotsRow(layout.Name, at)
		if row == nil {
			return true
		}
		for _, s := range row.Slots.Slots {
			if s.Owner == g {
				return true
			}
		}
		for _, h := range row.HotKeys {
			if h.Owner == g {
				return true
			}
		}
	}
	return c.isHeir(g)
}

// isHeir reports whether the row of a closed member names g as an heir.
func (c *Core) isHeir(g wire.Generation) bool {
	for _, m := range c.view.Members() {
		if m.State == wire.StateClosed && slices.Contains(m.Heirs, g) {
			return true
		}
	}
	return false
}
