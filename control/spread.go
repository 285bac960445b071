package control

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// fanout is how many peers each daemon passes news to.
const fanout = 4

// spreadState is what a Core needs to pass news on and to compare rows.
type spreadState struct {
	nextCompare time.Time
	compareTurn int
	nextConfig  time.Time
	nextFill    time.Time
	// ring is kept while View.Changes is at ringOf.
	ring   []wire.Generation
	ringOf uint64
}

// neighbours returns the peers that news is passed to: the next member on each
// of several rings, each in an order of its own. Together the rings make a
// random graph in which every daemon is a few steps from every other.
func (c *Core) neighbours(except wire.Generation) []netip.AddrPort {
	if changes := c.view.Changes(); changes != c.ringOf {
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
	to := c.neighbours(0)
	if len(to) == 0 {
		return
	}
	c.compareTurn++
	c.emit(Compare{
		To: to[c.compareTurn%len(to)],
		Summary: wire.Summary{
			From: c.self.Generation, Buckets: c.view.Buckets(), Config: c.config.Number,
		},
	})
}

// fillGaps reads the rows again if some are missing here: whoever knew them may
// be lost. Each daemon waits for a time of its own first, so that one reads and
// the others get the rows from it.
func (c *Core) fillGaps(now time.Time) {
	if !c.view.Snapshot().Gaps(c.self.Service) {
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

// summary answers with what is known in the buckets that differ, so that the
// sender returns what is newer.
func (c *Core) summary(m SummaryArrived) {
	differing := c.view.Differing(m.Summary.Buckets)
	m.Reply(wire.Versions{
		From: c.self.Generation, Buckets: differing, Have: c.view.Versions(differing),
	})
}

func (c *Core) loadConfig(from wire.Generation) {
	current := c.view.Config()
	if current.Number <= c.config.Number || current.Number <= c.loading {
		return
	}
	c.loading = current.Number
	c.emit(LoadConfig{Current: current, From: c.addr(from)})
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
