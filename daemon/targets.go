package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"fulmarrun/admission"
	"fulmarrun/clock"
	"fulmarrun/logs"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// grantInterval is how often the grant of a target that checks grants is renewed.
	grantInterval = 250 * time.Millisecond
	// healthTimeout bounds the request for the target's health report.
	healthTimeout = 500 * time.Millisecond
	// announcementTTL is how long a target counts as present after its last announcement.
	announcementTTL = 5 * time.Second
)

// targetServer returns the server that receives the target's announcements.
func (d *Daemon) targetServer() *http.Server {
	if d.protocols.TargetHandler != nil {
		return newServer(d.protocols.TargetHandler(d))
	}
	server := targethttp.NewServer()
	server.OnAnnounce = d.handleAnnouncement
	mux := http.NewServeMux()
	mux.Handle(targethttp.AnnouncePath, server)
	return newServer(mux)
}

func (d *Daemon) handleAnnouncement(a targethttp.Announcement) {
	now := clock.Now()
	d.targetMu.Lock()
	previous := d.lastAnnouncement
	d.lastAnnouncement = receivedAnnouncement{Announcement: a, receivedAt: now, received: true}
	d.grantsFor(d.server.ServingState().Generation).ObserveStamp(now, a.Stamp)
	d.targetMu.Unlock()
	if !previous.received || previous.Address != a.Address || previous.ChecksFences != a.ChecksFences {
		d.client.SetDestination(targethttp.Destination{Address: a.Address, ChecksFences: a.ChecksFences})
		d.log.Info(logs.EventTargetAnnounced, logs.FieldAddress, a.Address, logs.FieldChecks, a.ChecksFences)
	}
	if previous.isRestart(a, now) {
		d.gate.Restart()
	}
	switch {
	case a.State == targethttp.StateLeaving:
		// Keyed requests wait in the paused queue until their slots have moved.
		d.gate.Pause()
		d.server.RefuseUnkeyed(true)
		d.Leave("its target leaves")
	case !previous.isCurrent(now):
		d.gate.Resume()
	}
}

// receivedAnnouncement is the last announcement of the target.
type receivedAnnouncement struct {
	targethttp.Announcement
	receivedAt time.Time
	received   bool
}

// isCurrent reports whether the announcement is recent enough for its target to count
// as present.
func (a receivedAnnouncement) isCurrent(now time.Time) bool {
	return a.received && now.Sub(a.receivedAt) < announcementTTL
}

// isRestart reports whether an announcement is the first one after the target has
// restarted.
func (a receivedAnnouncement) isRestart(next targethttp.Announcement, now time.Time) bool {
	return !a.isCurrent(now) || a.Address != next.Address || next.Stamp < a.Stamp ||
		next.State == targethttp.StateCold && a.State != targethttp.StateCold
}

// grantsFor returns the grants of a generation. The caller holds targetMu.
func (d *Daemon) grantsFor(g wire.Generation) *targethttp.GrantBuilder {
	if d.grants == nil || d.grantsGeneration != g {
		d.grants, d.grantsGeneration = targethttp.NewGrantBuilder(g), g
		d.slots, d.hotKeys = nil, nil
		if d.lastAnnouncement.received {
			d.grants.ObserveStamp(d.lastAnnouncement.receivedAt, d.lastAnnouncement.Stamp)
		}
	}
	return d.grants
}

// setGrants replaces the grants of the target if they have changed, and has them pushed
// at once.
func (d *Daemon) setGrants(g wire.Generation, slots []targethttp.SlotGrant, hot []targethttp.HotGrant) {
	d.targetMu.Lock()
	defer d.targetMu.Unlock()
	grants := d.grantsFor(g)
	if slices.Equal(slots, d.slots) && slices.Equal(hot, d.hotKeys) {
		return
	}
	d.slots, d.hotKeys = slots, hot
	grants.Set(slots, hot)
	select {
	case d.grantsChanged <- struct{}{}:
	default:
	}
}

// pushGrants renews the grants of a target that checks grants, until ctx ends.
func (d *Daemon) pushGrants(ctx context.Context) error {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.grantsChanged:
		}
		d.pushGrant(ctx)
	}
}

func (d *Daemon) pushGrant(ctx context.Context) {
	d.targetMu.Lock()
	checks := d.lastAnnouncement.received && d.lastAnnouncement.ChecksFences
	grants := d.grantsFor(d.server.ServingState().Generation)
	grant, ok := grants.Next(d.server.LeaseUntil())
	d.targetMu.Unlock()
	if !checks || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, grantInterval)
	defer cancel()
	reply, err := d.client.PushGrant(ctx, grant)
	if err != nil {
		return
	}
	d.targetMu.Lock()
	defer d.targetMu.Unlock()
	grants.ObserveReply(clock.Now(), reply)
}

// watchTarget pauses admission while the target sends no announcements.
func (d *Daemon) watchTarget(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	wasPresent := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d.targetMu.Lock()
		isPresent, state := d.lastAnnouncement.isCurrent(clock.Now()), d.lastAnnouncement.State
		d.targetMu.Unlock()
		if isPresent {
			d.updateHealth(ctx, state)
		}
		if wasPresent && !isPresent {
			d.gate.Pause()
			d.log.Warn(logs.EventTargetSilent)
		}
		wasPresent = isPresent
		d.server.Expire()
		d.closeStalePeers()
	}
}

// updateHealth asks the target for its health report. The report can only reduce the
// load that the target is sent.
func (d *Daemon) updateHealth(ctx context.Context, state targethttp.State) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health := admission.Health{Unready: state == targethttp.StateCold}
	if report, err := d.client.Status(ctx); err == nil {
		health.Unready = health.Unready || !report.Healthy
		health.Limit = report.Load.Capacity
		if report.Load.Capacity > 0 {
			health.Load = float64(report.Load.Running) / float64(report.Load.Capacity)
		}
	}
	d.gate.Report(health)
}

// closeStalePeers closes the connections to generations that are no longer members.
func (d *Daemon) closeStalePeers() {
	snapshot := d.server.ServingState().Snapshot
	if snapshot == nil {
		return
	}
	inUse := make(map[netip.AddrPort]bool)
	for _, o := range snapshot.AllMembers() {
		inUse[o.Peer] = true
	}
	d.peers.Retain(func(addr netip.AddrPort) bool { return inUse[addr] })
}
