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
	// hotInterval is how often hot keys are looked for.
	hotInterval = 250 * time.Millisecond
	// busyFrom is the share of its target's limit from which an owner has so much
	// to do that a hot key should go elsewhere.
	busyFrom = 0.7
	// reliefBy is by how much less of its limit another must be in use.
	reliefBy = 0.3
)

// watchHot sets hot keys apart while the target is busy, and has those that have
// cooled go back.
func (i *incarnation) watchHot(ctx context.Context) {
	ticker := time.NewTicker(hotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if i.d.hot.EndWindow(clock.Now()) {
			i.checkHot(ctx)
		}
	}
}

func (i *incarnation) checkHot(ctx context.Context) {
	snapshot := i.d.server.ServingState().Snapshot
	var own []string
	apart := make(map[string]bool)
	for h := range snapshot.HotKeys(i.self.Service) {
		apart[h.Key] = true
		if h.Owner != nil && h.Owner.Generation == i.self.Generation {
			own = append(own, h.Key)
		}
	}
	if key, ok := i.d.hot.Cooled(own); ok {
		i.post(ctx, control.HotKeyCooled{Key: key})
		return
	}
	status := i.d.status()
	if utilization(&status) < busyFrom {
		return
	}
	hottest, ok := i.d.hot.Hottest(func(key string) bool { return apart[key] })
	if !ok {
		return
	}
	if to := i.leastLoaded(ctx, snapshot, &status); to != 0 {
		i.post(ctx, control.HotKeyDetected{Key: hottest.Key, To: to})
	}
}

// leastLoaded asks two members at random and returns the one that has less to do, if
// that is much less than here.
func (i *incarnation) leastLoaded(ctx context.Context, s *routes.Snapshot, own *wire.Status) wire.Generation {
	members := s.Members(i.self.Service)
	table := i.d.server.ServingState().Table
	best, least := wire.Generation(0), utilization(own)-reliefBy
	for _, at := range rand.Perm(len(members))[:min(3, len(members))] {
		m := members[at]
		if !i.mayTake(m, table) {
			continue
		}
		status, ok := i.askLoad(ctx, m)
		if !ok {
			continue
		}
		if u := utilization(status); u < least {
			best, least = m.Generation, u
		}
	}
	return best
}

// mayTake tells whether another member may be given keys.
func (i *incarnation) mayTake(m *routes.Owner, table *config.Table) bool {
	return m.Generation != i.self.Generation && m.AcceptsWork(table.Out)
}

// askLoad asks a member how busy it is; ok is false if it does not say so, or has no
// lease to take keys under.
func (i *incarnation) askLoad(ctx context.Context, m *routes.Owner) (status *wire.Status, ok bool) {
	status, err := i.d.statusOf(ctx, m)
	return status, err == nil && status.Generation == m.Generation && status.Lease > 0
}

// utilization is the share of its limit that a target has to do, queue included.
func utilization(s *wire.Status) float64 {
	return float64(s.InFlight+s.Queued) / float64(max(1, s.Limit))
}
