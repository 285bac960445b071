package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarrun/clock"
	"fulmarrun/config"
	"fulmarrun/control"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

const (
	// hotKeyInterval is how often the daemon looks for hot keys.
	hotKeyInterval = 250 * time.Millisecond
	// minBusyUtilization is the utilization of its target from which an owner is so busy
	// that it moves a hot key to another member.
	minBusyUtilization = 0.7
	// minUtilizationGap is by how much the utilization of the other member must be lower.
	minUtilizationGap = 0.3
)

// watchHotKeys splits hot keys off their slots while the target is busy, and returns
// keys that are no longer hot to their slots.
func (i *incarnation) watchHotKeys(ctx context.Context) {
	ticker := time.NewTicker(hotKeyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if i.d.hotKeyDetector.EndWindow(clock.Now()) {
			i.checkHotKeys(ctx)
		}
	}
}

// checkHotKeys requests a move for at most one hot key: back to its slot if it is no
// longer hot, or else to a less loaded member.
func (i *incarnation) checkHotKeys(ctx context.Context) {
	snapshot := i.d.server.ServingState().Snapshot
	var ownKeys []string
	hotKeys := make(map[string]bool)
	for h := range snapshot.HotKeys(i.self.Service) {
		hotKeys[h.Key] = true
		if h.Owner != nil && h.Owner.Generation == i.self.Generation {
			ownKeys = append(ownKeys, h.Key)
		}
	}
	if key, ok := i.d.hotKeyDetector.Cooled(ownKeys); ok {
		i.post(ctx, control.HotKeyCooled{Key: key})
		return
	}
	status := i.d.status()
	if utilization(&status) < minBusyUtilization {
		return
	}
	hottest, ok := i.d.hotKeyDetector.Hottest(func(key string) bool { return hotKeys[key] })
	if !ok {
		return
	}
	if to := i.leastLoaded(ctx, snapshot, &status); to != 0 {
		i.post(ctx, control.HotKeyDetected{Key: hottest.Key, To: to})
	}
}

// leastLoaded draws up to three random members and asks them for their load, except
// this member itself and members that may not take keys. It returns the member with the
// lowest utilization if that is lower than here by minUtilizationGap, or zero.
func (i *incarnation) leastLoaded(ctx context.Context, s *routes.Snapshot, ownStatus *wire.Status) wire.Generation {
	members := s.Members(i.self.Service)
	table := i.d.server.ServingState().Table
	best, lowest := wire.Generation(0), utilization(ownStatus)-minUtilizationGap
	for _, index := range rand.Perm(len(members))[:min(3, len(members))] {
		m := members[index]
		if !i.canTakeKeys(m, table) {
			continue
		}
		status, ok := i.fetchLoad(ctx, m)
		if !ok {
			continue
		}
		if u := utilization(status); u < lowest {
			best, lowest = m.Generation, u
		}
	}
	return best
}

// canTakeKeys reports whether m is another member and may take over keys.
func (i *incarnation) canTakeKeys(m *routes.Owner, table *config.Table) bool {
	return m.Generation != i.self.Generation && m.AcceptsWork(table.DomainOut)
}

// fetchLoad asks a member for its load. ok is false if it does not answer or has no
// lease, without which it can't take keys.
func (i *incarnation) fetchLoad(ctx context.Context, m *routes.Owner) (status *wire.Status, ok bool) {
	status, err := i.d.memberStatus(ctx, m)
	return status, err == nil && status.Generation == m.Generation && status.Lease > 0
}

// utilization returns the running and queued requests of a target as a share of its
// limit.
func utilization(s *wire.Status) float64 {
	return float64(s.InFlight+s.Queued) / float64(max(1, s.Limit))
}
