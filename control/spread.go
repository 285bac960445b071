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
	"fulmarrun/wire"
)

const (
	// fanout is how many peers each daemon passes news to.
	fanout = 4
	// handOverFanout is to how many of them it passes what owners gave to others.
	handOverFanout = 2
	// gatherTime is how long after such news more of it waits, to go in one frame.
	gatherTime = 50 * time.Millisecond
)

// spreadState is what a Core needs to pass news on and to compare rows.
type spreadState struct {
	// handOvers are the rows with news that waits, at the versions passed on last.
	handOvers []wire.Version
	passedAt  time.Time
	// asked are the rows that a peer was asked to send again.
	asked       map[string]asked
	nextCompare time.Time
	compareTurn int
	nextConfig  time.Time
	nextFill    time.Time
	// ring is kept while View.Changes is at ringOf.
	ring   []wire.Generation
	ringOf uint64
}

// asked is a version of a row that a peer was asked for.
type asked struct {
	version uint64
	at      time.Time
}

func newSpreadState() spreadState {
	return spreadState{asked: make(map[string]asked)}
}

// rowsArrived takes in rows and deltas. What no delta can be applied to is asked
// for again once.
func (c *Core) rowsArrived(now time.Time, m RowsArrived) {
	var urgent []wire.Version
	var wanted wire.ResendRequest
	for _, d := range m.Deltas {
		news, isNew, err := c.view.Patch(d)
		if isNew {
			urgent = c.take(now, m.From, d.Key, news, urgent)
		}
		if m.Reply == nil {
			continue
		}
		if have, want := c.want(now, d, err); want {
			wanted.Have = append(wanted.Have, have)
		}
	}
	c.spread(now, m.From, c.takeRows(now, m.From, m.Rows, urgent))
	if m.Reply != nil {
		m.Reply(wanted)
	}
}

// put takes rows into the view and passes those on that are news.
func (c *Core) put(now time.Time, from wire.Generation, rows []wire.Row) {
	c.spread(now, from, c.takeRows(now, from, rows, nil))
}

func (c *Core) takeRows(now time.Time, from wire.Generation, rows []wire.Row, urgent []wire.Version) []wire.Version {
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		news, isNew, err := c.view.Apply(row)
		switch {
		case err != nil:
			c.emit(RowSkipped{Key: row.Key, Err: err})
		case isNew:
			urgent = c.take(now, from, row.Key, news, urgent)
		}
	}
	return urgent
}

// take notes news of a row: as a hand-over that may wait, or as urgent.
func (c *Core) take(now time.Time, from wire.Generation, key string, news routes.RowChange, urgent []wire.Version) []wire.Version {
	row, _ := c.view.Row(key)
	if c.asked[key].version <= row.Version {
		delete(c.asked, key)
	}
	c.noticeRow(now, from, row)
	at := slices.IndexFunc(c.handOvers, func(v wire.Version) bool { return v.Key == key })
	switch {
	case news.OnlyHandover && at < 0:
		c.handOvers = append(c.handOvers, wire.Version{Key: key, Version: news.BaseVersion})
	case news.OnlyHandover:
	default:
		if at >= 0 {
			news.BaseVersion = c.handOvers[at].Version
			c.handOvers = slices.Delete(c.handOvers, at, at+1)
		}
		urgent = append(urgent, wire.Version{Key: key, Version: news.BaseVersion})
	}
	return urgent
}

// want tells whether to ask for a row that a delta could not be applied to, and
// which version of it is held here.
func (c *Core) want(now time.Time, d wire.Delta, err error) (wire.Version, bool) {
	have := wire.Version{Key: d.Key}
	switch {
	case err == nil || c.asked[d.Key].version >= d.Version:
		return have, false
	case errors.Is(err, routes.ErrWrongBase):
		row, _ := c.view.Row(d.Key)
		have.Version = row.Version
	}
	c.asked[d.Key] = asked{version: d.Version, at: now}
	return have, true
}

// spread passes urgent news on at once, and hand-overs as soon as they need not
// wait. Urgent rows of members go whole, so that nobody has to ask for what was
// before.
func (c *Core) spread(now time.Time, from wire.Generation, urgent []wire.Version) {
	if !c.joined {
		c.handOvers = nil
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
	c.passHandOvers(now)
}

// passHandOvers passes hand-overs on, to fewer peers than other news and not more
// often than each gatherTime: those whom they concern are told by the giver.
func (c *Core) passHandOvers(now time.Time) {
	if len(c.handOvers) == 0 || now.Sub(c.passedAt) < gatherTime {
		return
	}
	to := c.neighbours(0)
	if len(to) > 0 {
		c.emit(SendRows{To: to[:min(len(to), handOverFanout)], Update: c.rowsSince(c.handOvers)})
	}
	c.handOvers, c.passedAt = nil, now
}

// rowsSince returns what is newer here than the versions given.
func (c *Core) rowsSince(have []wire.Version) wire.Rows {
	rows, deltas := c.view.UpdatesSince(have)
	return wire.Rows{From: c.self.Generation, Rows: rows, Deltas: deltas}
}

// notifyTakers tells those who are given something, so that the time until they
// serve it does not depend on the spreading of news.
func (c *Core) notifyTakers(move Move) {
	rows := c.rowsOf(move.Moves)
	whole := make([]wire.Version, 0, len(rows))
	for _, row := range rows {
		whole = append(whole, wire.Version{Key: routes.SlotsKey(row.Service, row.FirstSlot)})
	}
	if len(whole) > 0 {
		c.tell(takersOf(move), c.rowsSince(whole))
	}
}

// tell sends news to members themselves.
func (c *Core) tell(members []wire.Generation, news wire.Rows) {
	var to []netip.AddrPort
	for _, g := range members {
		if addr := c.addr(g); addr.IsValid() && g != c.self.Generation {
			to = append(to, addr)
		}
	}
	if len(to) > 0 {
		c.emit(SendRows{To: to, Update: news})
	}
}

// neighbours returns the peers that news is passed to: the next member on each
// of several rings, each in an order of its own. Together the rings make a
// random graph in which every daemon is a few steps from every other.
func (c *Core) neighbours(except wire.Generation) []netip.AddrPort {
	if changes := c.view.MemberChanges(); changes != c.ringOf {
		c.ring, c.ringOf = c.ring[:0], changes
		for ring := range uint64(fanout) {
			if g := c.next(ring); g != 0 {
				c.ring = append(c.ring, g)
			}
		}
	}
	out := make([]netip.AddrPort, 0, len(c.ring))
	for _, g := range c.ring {
		if g != except {
			out = append(out, c.addr(g))
		}
	}
	return out
}

// next returns the member that follows self on a ring and is not chosen yet.
func (c *Core) next(ring uint64) wire.Generation {
	var after, first wire.Generation
	var afterRank, firstRank uint64
	own := routes.Mix(ring, uint64(c.self.Generation))
	for _, m := range c.view.Members() {
		if !c.isOther(m) || slices.Contains(c.ring, m.Generation) {
			continue
		}
		rank := routes.Mix(ring, uint64(m.Generation))
		if rank > own && (after == 0 || rank < afterRank) {
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

// compare checks the rows against one neighbour now and then, which repairs
// whatever the spreading has lost.
func (c *Core) compare(now time.Time) {
	if now.Before(c.nextCompare) {
		return
	}
	c.nextCompare = now.Add(compareInterval)
	maps.DeleteFunc(c.asked, func(_ string, a asked) bool { return now.Sub(a.at) >= compareInterval })
	to := c.neighbours(0)
	if len(to) == 0 {
		return
	}
	c.compareTurn++
	c.emit(Compare{
		To: to[c.compareTurn%len(to)],
		Summary: wire.Summary{
			From: c.self.Generation, Groups: c.view.GroupDigests(), ConfigNumber: c.config.Number,
		},
	})
}

// fillGaps reads the rows again if some are missing here: whoever knew them may
// be lost. Each daemon waits for a time of its own first, so that one reads and
// the others get the rows from it.
func (c *Core) fillGaps(now time.Time) {
	if !c.view.Snapshot().HasUnresolved(c.self.Service) {
		c.nextFill = time.Time{}
		return
	}
	if c.nextFill.IsZero() {
		c.nextFill = now.Add(time.Duration(c.random.Int64N(int64(gapWait))))
	}
	if now.Before(c.nextFill) || !c.storeReady(now) {
		return
	}
	c.nextFill = now.Add(gapRest)
	c.emit(Reload{})
}

// watchConfig has one daemon of all read the row of the configuration now and
// then: who accepted a file may be lost before it told anyone.
func (c *Core) watchConfig(now time.Time) {
	if now.Before(c.nextConfig) {
		return
	}
	c.nextConfig = now.Add(configInterval)
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

// summary answers with the digests of the buckets in the groups that differ.
func (c *Core) summary(m SummaryArrived) {
	groups, buckets := c.view.DifferingGroups(m.Summary.Groups)
	m.Reply(wire.Digests{From: c.self.Generation, Groups: groups, Buckets: buckets})
}

// digests asks about the buckets that differ.
func (c *Core) digests(m DigestsArrived) {
	differing := c.view.DifferingBuckets(m.Digests.Groups, m.Digests.Buckets)
	m.Reply(wire.Versions{
		From: c.self.Generation, Buckets: differing, Have: c.view.Versions(differing),
	})
}

// versions answers with what is newer here, and asks for what is newer there.
func (c *Core) versions(m VersionsArrived) {
	newer, older := c.view.CompareVersions(m.Versions.Buckets, m.Versions.Have)
	rows := c.rowsSince(newer)
	rows.ResendRequest = older
	m.Reply(rows)
}

func (c *Core) loadConfig(from wire.Generation) {
	current := c.view.Config()
	if current.Number <= c.config.Number || current.Number <= c.loading {
		return
	}
	c.loading = current.Number
	c.emit(LoadConfig{CurrentConfig: current, From: c.addr(from)})
}

// configLoaded puts a configuration in force, never one with a lower number.
func (c *Core) configLoaded(m ConfigLoaded) {
	if m.Number > c.config.Number {
		c.config = m
	}
}

func names(generations []wire.Generation) string {
	out := make([]string, 0, len(generations))
	for _, g := range generations {
		out = append(out, fmt.Sprintf("%016x", uint64(g)))
	}
	return strings.Join(out, ",")
}
