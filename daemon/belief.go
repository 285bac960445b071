package daemon

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"fulmarrun/clock"
	"fulmarrun/forward"
	"fulmarrun/logs"
	"fulmarrun/routes"
)

// belief returns what decisions rest on, and how old that is, as fields of a line.
func (d *Daemon) belief() []any {
	standing := d.server.ServingState()
	fields := []any{
		logs.FieldGeneration, standing.Generation, logs.FieldMembers, d.KnownMembers(),
		logs.FieldConfig, d.configNumber(), logs.FieldConfigAge, since(d.configSince.Load()),
		logs.FieldLease, d.leaseLeft(), logs.FieldStoreAge, d.storeAge(),
	}
	if d.fetched != nil {
		fields = append(fields, logs.FieldTargetAge, d.targetAge())
	}
	return fields
}

// since returns how long ago a moment was, to the millisecond; zero if there was none.
func since(at *time.Time) time.Duration {
	if at == nil || at.IsZero() {
		return 0
	}
	return clock.Since(*at).Round(time.Millisecond)
}

func (d *Daemon) configNumber() uint64 {
	if table := d.table.Load(); table != nil {
		return table.Number()
	}
	return 0
}

// leaseLeft is what is left of the lease; zero without one.
func (d *Daemon) leaseLeft() time.Duration { return max(0, clock.Until(d.server.LeaseUntil())) }

// storeAge is how long the store has given no answer.
func (d *Daemon) storeAge() time.Duration {
	at := d.store.Answered()
	return since(&at)
}

// targetAge is how long the target has sent no beat.
func (d *Daemon) targetAge() time.Duration {
	heard := d.fetched.lastHeard()
	return since(&heard)
}

// registerGauges has the state of the process among the metrics.
func (d *Daemon) registerGauges() {
	gauge := func(name string, value func() int64) {
		_ = d.registry.Register(name, metrics.NewFunctionalGauge(value))
	}
	seconds := func(name string, value func() time.Duration) {
		_ = d.registry.Register(name, metrics.NewFunctionalGaugeFloat64(func() float64 { return value().Seconds() }))
	}
	gauge(metricInFlight, func() int64 { return int64(d.gate.Stats().InFlight) })
	gauge(metricQueued, func() int64 { return int64(d.gate.Stats().Queued) })
	gauge(metricLimit, func() int64 { return int64(d.gate.Stats().Limit) })
	gauge(metricConfig, func() int64 { return int64(d.configNumber()) })
	gauge(metricMembers, func() int64 { return int64(d.KnownMembers()) })
	gauge(metricOwned, func() int64 { return int64(d.status().Slots) })
	seconds(metricLease, d.leaseLeft)
	seconds(metricStore, d.storeAge)
	if d.fetched != nil {
		seconds(metricTargetAge, d.targetAge)
	}
}

// noteStore logs that the store has fallen silent, or answers again.
func (d *Daemon) noteStore(err error) {
	if err == nil {
		d.noteBelief(logs.EventStoreRegained, "", logs.FieldAge, d.storeAge())
		return
	}
	d.noteBelief(logs.EventStoreLost, "", logs.FieldAge, d.storeAge(), logs.FieldErr, err)
}

// noteBelief logs a change of what the process believes, of some subject, unless there
// were too many of the event.
func (d *Daemon) noteBelief(event, subject string, fields ...any) {
	if hidden, ok := d.mayLog(event, subject); ok {
		d.log.Info(event, append(fields, logs.FieldHidden, hidden)...)
	}
}

// mayLog tells whether a line of the event may be logged, and how many were not since
// the last one that was; one that may not is counted.
func (d *Daemon) mayLog(event, about string) (hidden uint64, ok bool) {
	if hidden, ok = d.sampler.Allow(event, about); !ok {
		d.counters.hidden.Inc(1)
	}
	return hidden, ok
}

// noteMembers logs how the members of a new snapshot differ from those before.
func (d *Daemon) noteMembers(before, after *routes.Snapshot) {
	if before == nil || after.SameOwners(before) {
		return
	}
	for _, m := range after.AllMembers() {
		old := before.Owner(m.Generation)
		switch {
		case m.Generation == d.server.ServingState().Generation:
		case old == nil:
			d.noteMember(logs.EventMemberKnown, m)
		case !old.Idle && m.Idle:
			d.noteMember(logs.EventMemberIdle, m)
		case old.Idle && !m.Idle:
			d.noteMember(logs.EventMemberActive, m)
		}
	}
	for _, m := range before.AllMembers() {
		if after.Owner(m.Generation) == nil {
			d.noteMember(logs.EventMemberGone, m)
		}
	}
}

func (d *Daemon) noteMember(event string, m *routes.Owner) {
	d.noteBelief(event, m.Instance, logs.FieldMember, m.Instance, logs.FieldService, m.Service, logs.FieldDomain, m.Domain,
		logs.FieldGeneration, m.Generation, logs.FieldPeer, m.Peer, logs.FieldIdle, m.Idle)
}

// watchPeer logs that a daemon can't be reached, or can be again.
func (d *Daemon) watchPeer(t forward.Try) {
	switch {
	case forward.IsUnreachable(t.Err):
		if d.unreached.begin(t.To.Generation, clock.Now()) {
			d.noteBelief(logs.EventPeerLost, t.To.Instance, logs.FieldMember, t.To.Instance, logs.FieldPeer, t.To.Peer,
				logs.FieldErr, t.Err)
		}
	case t.Err == nil:
		if began, ok := d.unreached.end(t.To.Generation); ok {
			d.noteBelief(logs.EventPeerRegained, t.To.Instance, logs.FieldMember, t.To.Instance, logs.FieldPeer, t.To.Peer,
				logs.FieldAge, since(&began))
		}
	}
}
