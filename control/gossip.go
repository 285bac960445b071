package control

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// fanout is how many peers each daemon sends updates to.
	fanout = 4
	// handOverFanout is how many of them it sends hand-overs to.
	handOverFanout = 2
	// batchInterval is the minimum time between two frames of hand-overs; those
	// that arrive in between are sent together.
	batchInterval = 50 * time.Millisecond
)

// gossipState is the state for the dissemination and comparison of rows.
type gossipState struct {
	// pendingHandOvers are the rows with hand-overs not sent yet, each with the
	// version that was sent last.
	pendingHandOvers []wire.Version
	handOversSentAt  time.Time
	// requested are the rows that peers were asked to send again, by key.
	requested      map[string]requested
	nextCompare    time.Time
	compareCount   int
	nextConfigRead time.Time
	nextReload     time.Time
	// ring are the members that updates are sent to, computed when View.MemberChanges was
	// ringChanges.
	ring        []wire.Generation
	ringChanges uint64
}

// requested is the version of a row that a peer was asked for, and when.
type requested struct {
	version uint64
	at      time.Time
}

func newGossipState() gossipState {
	return gossipState{requested: make(map[string]requested)}
}

// rowsArrived applies rows and deltas. A row whose delta can't be applied is
// requested from the sender once.
func (c *Core) rowsArrived(now time.Time, m RowsArrived) {
	var urgent []wire.Version
	var wanted wire.ResendRequest
	c.recordHeard(m.From)
	c.enterTimeline(now, m.Timeline)
	for _, d := range m.Deltas {
		c.enterTimeline(now, storage.TimelineOf(d.Version))
		update, isNew, err := c.view.Patch(d)
		if isNew {
			urgent = c.recordUpdate(now, m.From, d.Key, update, urgent)
		}
		if m.Reply == nil {
			continue
		}
		if have, needsRow := c.needsRow(now, d, err); needsRow {
			wanted.Have = append(wanted.Have, have)
		}
	}
	c.gossip(now, m.From, c.mergeRows(now, m.From, m.Rows, urgent))
	if m.Timeline == c.timeline && m.ReloadAt.After(c.reread) {
		c.reread = m.ReloadAt
	}
	if m.Reply != nil {
		m.Reply(wanted)
	}
}

// applyRows merges rows into the view and sends those that are new to peers.
func (c *Core) applyRows(now time.Time, from wire.Generation, rows []wire.Row) {
	c.gossip(now, from, c.mergeRows(now, from, rows, nil))
}

// mergeRows merges rows into the view and appends the urgent updates to urgent.
func (c *Core) mergeRows(now time.Time, from wire.Generation, rows []wire.Row, urgent []wire.Version) []wire.Version {
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		// What is claimed has to be found out before rows of the later timeline are applied.
		timeline := storage.TimelineOf(row.Version)
		c.enterTimeline(now, timeline)
		if from == 0 && timeline < c.timeline && !c.faults.TrustCopy {
			row.Version = routes.UncertainVersion(row)
		}
		update, isNew, err := c.view.Apply(row)
		switch {
		case err != nil:
			c.emit(RowSkipped{Key: row.Key, Err: err})
		case isNew:
			urgent = c.recordUpdate(now, from, row.Key, update, urgent)
		}
	}
	return urgent
}

// recordUpdate processes a row that has changed. A hand-over is queued and may
// wait; other updates are appended to urgent.
func (c *Core) recordUpdate(now time.Time, from wire.Generation, key string, update routes.RowChange, urgent []wire.Version) []wire.Version {
	row, _ := c.view.Row(key)
	if c.requested[key].version <= row.Version {
		delete(c.requested, key)
	}
	c.applyRow(now, from, row)
	at := slices.IndexFunc(c.pendingHandOvers, func(v wire.Version) bool { return v.Key == key })
	switch {
	case update.OnlyHandover && at < 0:
		c.pendingHandOvers = append(c.pendingHandOvers, wire.Version{Key: key, Version: update.BaseVersion})
	case update.OnlyHandover:
	default:
		if at >= 0 {
			update.BaseVersion = c.pendingHandOvers[at].Version
			c.pendingHandOvers = slices.Delete(c.pendingHandOvers, at, at+1)
		}
		urgent = append(urgent, wire.Version{Key: key, Version: update.BaseVersion})
	}
	return urgent
}

// needsRow reports whether to request a row whose delta could not be applied, and
// returns the version of the row that is known here.
func (c *Core) needsRow(now time.Time, d wire.Delta, err error) (wire.Version, bool) {
	have := wire.Version{Key: d.Key}
	switch {
	case err == nil || c.requested[d.Key].version >= d.Version:
		return have, false
	case errors.Is(err, routes.ErrWrongBase):
		row, _ := c.view.Row(d.Key)
		have.Version = row.Version
	}
	c.requested[d.Key] = requested{version: d.Version, at: now}
	return have, true
}

// gossip sends urgent updates at once, and hand-overs as soon as batchInterval
// allows. Urgent member rows are sent whole, not as deltas, so that no peer has to
// request the base version.
func (c *Core) gossip(now time.Time, from wire.Generation, urgent []wire.Version) {
	if !c.joined {
		c.pendingHandOvers = nil
		return
	}
	for i, v := range urgent {
		if strings.HasPrefix(v.Key, routes.MemberPrefix) {
			urgent[i].Version = 0
		}
	}
	if to := c.neighbours(from); len(urgent) > 0 && len(to) > 0 {
		c.emit(SendRows{To: to, Update: c.rowsSince(urgent)})
	}
	c.sendHandOvers(now)
}

// sendHandOvers sends hand-overs to fewer peers than other updates and at most once
// per batchInterval, since the previous owner notifies the new owners directly.
func (c *Core) sendHandOvers(now time.Time) {
	if len(c.pendingHandOvers) == 0 || now.Sub(c.handOversSentAt) < batchInterval {
		return
	}
	to := c.neighbours(0)
	if len(to) > 0 {
		c.emit(SendRows{To: to[:min(len(to), handOverFanout)], Update: c.rowsSince(c.pendingHandOvers)})
	}
	c.pendingHandOvers, c.handOversSentAt = nil, now
}

// rowsSince returns the rows and deltas that are newer here than the given
// versions.
func (c *Core) rowsSince(have []wire.Version) wire.Rows {
	rows, deltas := c.view.UpdatesSince(have)
	return wire.Rows{From: c.self.Generation, Rows: rows, Deltas: deltas}
}

// notifyNewOwners sends the moved rows directly to the new owners, so that the time
// until they serve the slots doesn't depend on gossip.
func (c *Core) notifyNewOwners(move Move) {
	rows := c.slotRows(move.Moves)
	whole := make([]wire.Version, 0, len(rows))
	for _, row := range rows {
		whole = append(whole, wire.Version{Key: routes.SlotsKey(row.Service, row.FirstSlot)})
	}
	if len(whole) > 0 {
		c.sendTo(newOwners(move), c.rowsSince(whole))
	}
}

// sendTo sends an update directly to the given members.
func (c *Core) sendTo(members []wire.Generation, update wire.Rows) {
	var to []netip.AddrPort
	for _, g := range members {
		if peerAddr := c.peerAddr(g); peerAddr.IsValid() && g != c.self.Generation {
			to = append(to, peerAddr)
		}
	}
	if len(to) > 0 {
		c.emit(SendRows{To: to, Update: update})
	}
}

// neighbours returns the peers that updates are sent to: the next member on each of
// several rings, each with its own pseudorandom order. Together the rings form a
// random graph in which any two daemons are a few hops apart.
func (c *Core) neighbours(except wire.Generation) []netip.AddrPort {
	if changes := c.view.MemberChanges(); changes != c.ringChanges {
		c.ring, c.ringChanges = c.ring[:0], changes
		for ring := range uint64(fanout) {
			if g := c.successor(ring); g != 0 {
				c.ring = append(c.ring, g)
			}
		}
	}
	out := make([]netip.AddrPort, 0, len(c.ring))
	for _, g := range c.ring {
		if g != except {
			out = append(out, c.peerAddr(g))
		}
	}
	return out
}

// successor returns the member that follows self on a ring and isn't a neighbour
// yet.
func (c *Core) successor(ring uint64) wire.Generation {
	var after, first wire.Generation
	var afterRank, firstRank uint64
	selfRank := routes.Mix(ring, uint64(c.self.Generation))
	for _, m := range c.view.Members() {
		if !c.isOpenPeer(m) || slices.Contains(c.ring, m.Generation) {
			continue
		}
		rank := routes.Mix(ring, uint64(m.Generation))
		if rank > selfRank && (after == 0 || rank < afterRank) {
			after, afterRank = m.Generation, rank
		}
		if first == 0 || rank < firstRank {
			first, firstRank = m.Generation, rank
		}
	}
	if after != 0 {
		return after
	}
	return first
}

// compareRows periodically compares the rows with one neighbour, which repairs what
// gossip has lost.
func (c *Core) compareRows(now time.Time) {
	if now.Before(c.nextCompare) {
		return
	}
	c.nextCompare = now.Add(compareInterval)
	maps.DeleteFunc(c.requested, func(_ string, a requested) bool { return now.Sub(a.at) >= compareInterval })
	to := c.neighbours(0)
	if len(to) == 0 {
		return
	}
	c.compareCount++
	summary := wire.Summary{From: c.self.Generation, Groups: c.view.GroupDigests(), ConfigNumber: c.config.Number}
	if c.compareCount == 1 && c.timeline > 0 {
		// Any of them may know what the platform has forgotten.
		for _, neighbour := range to {
			c.emit(Compare{To: neighbour, Summary: summary})
		}
		return
	}
	c.emit(Compare{To: to[c.compareCount%len(to)], Summary: summary})
}

// reloadMissing reads all rows from the platform again if some are missing here,
// since all daemons that knew them may have failed. Each daemon waits for a random
// delay first, so that one reads and the others receive the rows from it.
func (c *Core) reloadMissing(now time.Time) {
	if !c.view.Snapshot().HasUnresolved(c.self.Service) || !c.refounded() {
		c.nextReload = time.Time{}
		return
	}
	if c.nextReload.IsZero() {
		c.nextReload = now.Add(time.Duration(c.random.Int64N(int64(maxReloadDelay))))
	}
	if now.Before(c.nextReload) || !c.storeReady(now) {
		return
	}
	c.nextReload = now.Add(reloadInterval)
	c.emit(Reload{At: now})
}

// readConfig reads the configuration row periodically if this generation is the
// lowest open one, so that a single daemon does it: the daemon that accepted a file
// may fail before it has informed any other.
func (c *Core) readConfig(now time.Time) {
	if now.Before(c.nextConfigRead) {
		return
	}
	c.nextConfigRead = now.Add(configReadInterval)
	for _, m := range c.view.Members() {
		if m.State == wire.StateClosed {
			continue
		}
		if m.Generation == c.self.Generation {
			c.emit(Probe{})
		}
		return
	}
}

// summaryArrived replies with the digests of the buckets in the groups that differ.
func (c *Core) summaryArrived(m SummaryArrived) {
	c.recordHeard(m.Summary.From)
	groups, buckets := c.view.DifferingGroups(m.Summary.Groups)
	m.Reply(wire.Digests{From: c.self.Generation, Groups: groups, Buckets: buckets})
}

// digestsArrived replies with the versions known here in the buckets that differ.
func (c *Core) digestsArrived(m DigestsArrived) {
	differing := c.view.DifferingBuckets(m.Digests.Groups, m.Digests.Buckets)
	m.Reply(wire.Versions{
		From: c.self.Generation, Buckets: differing, Have: c.view.Versions(differing),
	})
}

// versionsArrived replies with the rows that are newer here, and requests those
// that are older here.
func (c *Core) versionsArrived(m VersionsArrived) {
	newer, older := c.view.CompareVersions(m.Versions.Buckets, m.Versions.Have)
	rows := c.rowsSince(newer)
	rows.ResendRequest = older
	m.Reply(rows)
}

func (c *Core) loadConfig(from wire.Generation) {
	current := c.view.Config()
	if current.Number <= c.config.Number.File || current.Number <= c.loadingConfig {
		return
	}
	c.loadingConfig = current.Number
	c.emit(LoadConfig{CurrentConfig: current, From: c.peerAddr(from)})
}

// configLoaded records the configuration in force; a lower number never replaces a
// higher one.
func (c *Core) configLoaded(m ConfigLoaded) {
	if !c.config.Number.Covers(m.Number) {
		c.config = m
	}
}

func formatGenerations(generations []wire.Generation) string {
	out := make([]string, 0, len(generations))
	for _, g := range generations {
		out = append(out, fmt.Sprintf("%016x", uint64(g)))
	}
	return strings.Join(out, ",")
}
