//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"fulmarrun/platformwire"
)

const (
	allKeys = 65536
	// bothLimit is how long two upstreams may hold the same keys.
	bothLimit = 500 * time.Millisecond
	// calmTime is how long the deployment runs before the disruption.
	calmTime = 5 * time.Second
	// watchTime is how long the holds are watched.
	watchTime = 20 * time.Second
	// watchInterval is the time between two looks at the holds.
	watchInterval = 10 * time.Millisecond
)

// forged posts one heartbeat that lacks fields to a daemon whose upstream holds keys, and checks
// that no two upstreams hold the same keys for over half a second.
func forged(ctx context.Context, g *rig, trouble bool) error {
	a, b := g.machines[0].upstream, g.machines[1].upstream
	if !waitFor(ctx, readyTimeout, func() bool { return a.keys()+b.keys() == allKeys }) {
		return fmt.Errorf("the upstreams hold %d and %d keys", a.keys(), b.keys())
	}
	wait(ctx, calmTime)
	if trouble {
		message := map[string]any{
			"address":   a.address,
			"born":      time.Now().UnixMilli(),
			"node_info": map[string]any{"service": a.service, "slots": slots},
			"status":    map[string]any{"state": "draining", "sequence": 1},
		}
		body, err := msgp.AppendIntf(nil, message)
		if err != nil {
			return fmt.Errorf("encode heartbeat: %w", err)
		}
		answer, ok := a.post(ctx, "/-/Instances.Heartbeat/i-99", body)
		g.note("heartbeat of another writer, i-99 to %s, without zone, version and cold_left_ms: %v; answered with success %v: %q", a.control, message, ok, answer)
	}
	if longest := g.watchHolds(ctx, a, b); longest > bothLimit {
		return fmt.Errorf("OWNER: two upstreams held the same keys for %v: %w", longest.Round(watchInterval), errBroken)
	}
	return nil
}

// watchHolds records the holds of two upstreams and returns the longest time in which both held
// the same keys.
func (g *rig) watchHolds(ctx context.Context, a, b *upstream) (longest time.Duration) {
	var since time.Time
	last := ""
	for end := time.Now().Add(watchTime); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, watchInterval) {
		now := time.Now()
		both := common(a, b)
		switch {
		case both == 0:
			since = time.Time{}
		case since.IsZero():
			since = now
		default:
			longest = max(longest, now.Sub(since))
		}
		if line := fmt.Sprintf("%s (up) holds %d keys, %s (up) holds %d keys, both hold %d", a.name, a.keys(), b.name, b.keys(), both); line != last {
			g.note("%s", line)
			last = line
		}
	}
	return longest
}

// common returns how many keys both upstreams hold now.
func common(a, b *upstream) int {
	n := 0
	for _, x := range a.held() {
		for _, y := range b.held() {
			if first, last := max(x.First, y.First), min(x.Last, y.Last); first <= last {
				n += int(last-first) + 1
			}
		}
	}
	return n
}

// held returns the ranges that the upstream holds now.
func (u *upstream) held() []platformwire.Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !time.Now().Before(u.until) {
		return nil
	}
	return u.holds
}

// keys returns how many keys the upstream holds now.
func (u *upstream) keys() int {
	n := 0
	for _, x := range u.held() {
		n += int(x.Last-x.First) + 1
	}
	return n
}
