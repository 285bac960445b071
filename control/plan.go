package control

import (
	"slices"
	"time"

	"fulmarrun/audit"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// rowsPerPlan bounds the rows of slots that one transaction assigns.
const rowsPerPlan = 16

// planState is what a Core knows of its work as a planner.
type planState struct {
	// planning is true while a write of assignments is under way.
	planning bool
}

// isPlanner tells whether self plans for a service: the member that ranks first
// does. Two that both think so waste work but break nothing.
func (c *Core) isPlanner(service string) bool {
	var best wire.Generation
	var most uint64
	for _, o := range c.view.Snapshot().Members(service) {
		if _, orphan := c.orphans[o.Generation]; orphan || !c.eligible(o) {
			continue
		}
		if rank := routes.Mix(uint64(len(service)), uint64(o.Generation)); best == 0 || rank > most {
			best, most = o.Generation, rank
		}
	}
	return best == c.self.Generation
}

// plan assigns free slots and replaces closed owners by the heirs that the
// chain gives anyway.
func (c *Core) plan(now time.Time) {
	shape, ok := c.shape()
	if !ok || c.planning || c.writing || !c.holder.Valid(now) || !c.isPlanner(c.self.Service) {
		return
	}
	rows := c.rowsToWrite(now, shape)
	if len(rows) == 0 {
		c.collect(now)
		return
	}
	if !c.storeReady(now) {
		return
	}
	change := c.name()
	// The own row shows that no assignment by a closed generation comes late.
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
	c.emit(Write{
		Purpose: PurposePlan, Transaction: tx,
		Entry: audit.Entry{
			Who: c.self.Instance, What: audit.Assign, Subject: c.self.Service,
			To: tx.Writes[0].Key, Why: "slots without an open owner in their row", Change: change,
		},
	})
}

// rowsToWrite returns some rows that have a free slot or a closed owner, as they
// should be. The first row is written alone, since it fixes the slot count.
func (c *Core) rowsToWrite(now time.Time, shape ServiceLayout) []routes.SlotsRow {
	takers := c.takers()
	if len(takers) == 0 {
		return nil
	}
	first := c.view.SlotsRow(shape.Name, 0)
	if first == nil && now.Sub(c.quietSince) < c.gather {
		return nil
	}
	if first == nil {
		return []routes.SlotsRow{c.fill(c.newRow(shape, shape.Slots, 0), takers)}
	}
	var out []routes.SlotsRow
	for at := uint32(0); at < first.TotalSlots && len(out) < rowsPerPlan; at += routes.SlotsPerRow {
		row := c.view.SlotsRow(shape.Name, at)
		if row == nil {
			out = append(out, c.fill(c.newRow(shape, first.TotalSlots, at), takers))
			continue
		}
		if c.needsWrite(row) {
			out = append(out, c.fill(*row, takers))
		}
	}
	return out
}

func (c *Core) newRow(shape ServiceLayout, count, first uint32) routes.SlotsRow {
	return routes.SlotsRow{Slots: wire.Slots{
		Service: shape.Name, TotalSlots: count, NumericKeys: shape.Ranged, FirstSlot: first,
		Slots: make([]wire.Slot, min(routes.SlotsPerRow, count-first)),
	}}
}

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

// fill returns the row with every chain folded and every free slot assigned.
func (c *Core) fill(row routes.SlotsRow, takers []wire.Generation) routes.SlotsRow {
	resolved := row
	row.Revision++
	row.Slots.Slots = slices.Clone(row.Slots.Slots)
	for i, s := range row.Slots.Slots {
		slot := row.FirstSlot + uint32(i)
		row.Slots.Slots[i] = c.fold(&resolved, s, slot, "", takerOf(&row, slot, takers))
	}
	row.HotKeys = slices.Clone(row.HotKeys)
	for i, h := range row.HotKeys {
		row.HotKeys[i].Slot = c.fold(&resolved, h.Slot, 0, h.Key, takers[i%len(takers)])
	}
	return row
}

// takerOf returns who is to have a free slot: runs of slots lie in few rows, but
// ranges of keys next to each other are busy together.
func takerOf(row *routes.SlotsRow, slot uint32, takers []wire.Generation) wire.Generation {
	if row.NumericKeys {
		return takers[int(slot)%len(takers)]
	}
	return takers[int(slot)*len(takers)/int(row.TotalSlots)]
}

func (c *Core) fold(row *routes.SlotsRow, s wire.Slot, slot uint32, hot string, taker wire.Generation) wire.Slot {
	r := c.view.Resolve(row, s, slot, hot)
	switch {
	case !r.Known:
		return s
	case r.Owner == 0:
		return wire.Slot{Owner: taker, Epoch: r.Epoch + 1, AssignedAt: wire.UnixTimeOf(c.wall)}
	case r.Owner == s.Owner:
		return s
	default:
		return wire.Slot{Owner: r.Owner, Epoch: r.Epoch, AssignedAt: wire.UnixTimeOf(c.wall)}
	}
}

func (c *Core) takers() []wire.Generation {
	var out []wire.Generation
	for _, o := range c.view.Snapshot().Members(c.self.Service) {
		if c.eligible(o) {
			out = append(out, o.Generation)
		}
	}
	return out
}

// collect deletes the row of one long closed member that no row of slots names,
// nor an open member as its witness: it may have to count as a vote.
func (c *Core) collect(now time.Time) {
	for _, m := range c.view.Members() {
		if m.Service != c.self.Service || m.State != wire.StateClosed ||
			now.Sub(c.closedSince[m.Generation]) < c.retain || c.referenced(m.Generation) || c.isWitness(m.Generation) {
			continue
		}
		if !c.storeReady(now) {
			return
		}
		key := routes.MemberKey(m.Generation)
		change := c.name()
		c.planning = true
		c.emit(Write{
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

// isWitness tells whether an open member has the given one as a witness.
func (c *Core) isWitness(g wire.Generation) bool {
	return slices.ContainsFunc(c.view.Members(), func(m *routes.MemberRow) bool {
		return m.State != wire.StateClosed && slices.Contains(m.Witnesses, g)
	})
}

func (c *Core) referenced(g wire.Generation) bool {
	shape, ok := c.shape()
	if !ok {
		return true
	}
	first := c.view.SlotsRow(shape.Name, 0)
	if first == nil {
		return true
	}
	for at := uint32(0); at < first.TotalSlots; at += routes.SlotsPerRow {
		row := c.view.SlotsRow(shape.Name, at)
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
	return c.inherits(g)
}

// inherits tells whether a closed row that is still kept names g as an heir.
func (c *Core) inherits(g wire.Generation) bool {
	for _, m := range c.view.Members() {
		if m.State == wire.StateClosed && slices.Contains(m.Heirs, g) {
			return true
		}
	}
	return false
}
