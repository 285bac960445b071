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
	// grantInterval is how often the grant of a target that checks is renewed.
	grantInterval = 250 * time.Millisecond
	// reportTimeout bounds the wait for what the target says of itself.
	reportTimeout = 500 * time.Millisecond
	// announceLife is how long a target counts as there after its last word.
	announceLife = 5 * time.Second
)

// targetServer takes the announcements of the target.
func (d *Daemon) targetServer() *http.Server {
	if d.outside.TargetHandler != nil {
		return newServer(d.outside.TargetHandler(d))
	}
	server := targethttp.NewServer()
	server.OnAnnounce = d.announce
	mux := http.NewServeMux()
	mux.Handle(targethttp.AnnouncePath, server)
	return newServer(mux)
}

func (d *Daemon) announce(a targethttp.Announcement) {
	now := clock.Now()
	d.targetMu.Lock()
	before := d.target
	d.target = announced{Announcement: a, at: now, seen: true}
	d.grantsFor(d.server.ServingState().Generation).ObserveStamp(now, a.Stamp)
	d.targetMu.Unlock()
	if !before.seen || before.Address != a.Address || before.ChecksFences != a.ChecksFences {
		d.client.SetDestination(targethttp.Destination{Address: a.Address, ChecksFences: a.ChecksFences})
		d.log.Info(logs.EventTargetTold, logs.FieldAddress, a.Address, logs.FieldChecks, a.ChecksFences)
	}
	if before.restarted(a, now) {
		d.gate.Restart()
	}
	switch {
	case a.State == targethttp.StateLeaving:
		// Keyed requests wait in the paused queue until their slots have moved.
		d.gate.Pause()
		d.server.RefuseUnkeyed(true)
		d.Leave("its target leaves")
	case !before.present(now):
		d.gate.Resume()
	}
}

// announced is the target's last word.
type announced struct {
	targethttp.Announcement
	at   time.Time
	seen bool
}

func (a announced) present(now time.Time) bool {
	return a.seen && now.Sub(a.at) < announceLife
}

// restarted tells whether an announcement is the first of a target that has
// started anew.
func (a announced) restarted(next targethttp.Announcement, now time.Time) bool {
	return !a.present(now) || a.Address != next.Address || next.Stamp < a.Stamp ||
		next.State == targethttp.StateCold && a.State != targethttp.StateCold
}

// grantsFor returns the grants of a generation; targetMu is held.
func (d *Daemon) grantsFor(g wire.Generation) *targethttp.GrantBuilder {
	if d.grants == nil || d.granted != g {
		d.grants, d.granted = targethttp.NewGrantBuilder(g), g
		d.slots, d.hotKeys = nil, nil
		if d.target.seen {
			d.grants.ObserveStamp(d.target.at, d.target.Stamp)
		}
	}
	return d.grants
}

// setGrants changes what the target is granted, if that is a change, and has it
// pushed at once.
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
	case d.grantNow <- struct{}{}:
	default:
	}
}

// pushGrants renews the grants of a target that checks, until ctx ends.
func (d *Daemon) pushGrants(ctx context.Context) error {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.grantNow:
		}
		d.pushGrant(ctx)
	}
}

func (d *Daemon) pushGrant(ctx context.Context) {
	d.targetMu.Lock()
	checks := d.target.seen && d.target.ChecksFences
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

// watchTarget stops admission while the target has not been heard of.
func (d *Daemon) watchTarget(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	present := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d.targetMu.Lock()
		now, state := d.target.present(clock.Now()), d.target.State
		d.targetMu.Unlock()
		if now {
			d.reportHealth(ctx, state)
		}
		if present && !now {
			d.gate.Pause()
			d.log.Warn(logs.EventTargetSilent)
		}
		present = now
		d.server.Expire()
		d.closeIdlePeers()
	}
}

// reportHealth asks the target how it is; the answer can only lower what the
// target is given.
func (d *Daemon) reportHealth(ctx context.Context, state targethttp.State) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
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

// closeIdlePeers ends the connections to generations that are closed.
func (d *Daemon) closeIdlePeers() {
	snapshot := d.server.ServingState().Snapshot
	if snapshot == nil {
		return
	}
	open := make(map[netip.AddrPort]bool)
	for _, o := range snapshot.AllMembers() {
		open[o.Peer] = true
	}
	d.peers.Retain(func(addr netip.AddrPort) bool { return open[addr] })
}
