package daemon

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"fulmarrun/clock"
	"fulmarrun/forward"
	"fulmarrun/logs"
	"fulmarrun/routes"
)

// stateFields returns log fields with the state that decisions are based on and its
// age.
func (d *Daemon) stateFields() []any {
	state := d.server.ServingState()
	fields := []any{
		logs.FieldGeneration, state.Generation, logs.FieldMembers, d.KnownMembers(),
		logs.FieldConfig, d.configNumber(), logs.FieldConfigAge, age(d.configSince.Load()),
		logs.FieldLease, d.remainingLease(), logs.FieldStoreAge, d.storeSilence(), logs.FieldTimeline, d.store.Timeline(),
	}
	if d.fetchedGrants != nil {
		fields = append(fields, logs.FieldTargetAge, d.targetSilence())
	}
	return fields
}

// age returns the time since a moment, rounded to milliseconds; zero for nil or the
// zero time.
func age(moment *time.Time) time.Duration {
	if moment == nil || moment.IsZero() {
		return 0
	}
	return clock.Since(*moment).Round(time.Millisecond)
}

func (d *Daemon) configNumber() uint64 {
	if table := d.table.Load(); table != nil {
		return table.Number()
	}
	return 0
}

// remainingLease returns the remaining time of the lease; zero without a lease.
func (d *Daemon) remainingLease() time.Duration { return max(0, clock.Until(d.server.LeaseUntil())) }

// storeSilence returns the time since the store last answered.
func (d *Daemon) storeSilence() time.Duration {
	answeredAt := d.store.LastAnswer()
	return age(&answeredAt)
}

// targetSilence returns the time since the last beat of the target.
func (d *Daemon) targetSilence() time.Duration {
	lastBeat := d.fetchedGrants.lastBeatTime()
	return age(&lastBeat)
}

// registerGauges registers the state of the process in the metrics registry.
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
	gauge(metricSent, func() int64 { return int64(d.gate.Stats().Admitted) })
	_ = d.registry.Register(metricRateLimit, metrics.NewFunctionalGaugeFloat64(func() float64 { return d.condition.current().RateLimit }))
	gauge(metricConfigNumber, func() int64 { return int64(d.configNumber()) })
	gauge(metricClients, func() int64 { return int64(d.clients.Stats().Clients) })
	gauge(metricClientMemory, func() int64 { return d.clients.Stats().Used })
	gauge(metricEvicted, func() int64 { return int64(d.clients.Stats().Evicted) })
	gauge(metricNoRoom, func() int64 { return int64(d.clients.Stats().Refused) })
	gauge(metricShutOut, func() int64 { return int64(len(d.suspects.ledger.ShutOut(time.Now()))) })
	gauge(metricMembers, func() int64 { return int64(d.KnownMembers()) })
	gauge(metricOwnedSlots, func() int64 { return int64(d.status().Slots) })
	seconds(metricRemainingLease, d.remainingLease)
	seconds(metricStoreSilence, d.storeSilence)
	gauge(metricStoreTimeline, func() int64 { return int64(d.store.Timeline()) })
	if d.fetchedGrants != nil {
		seconds(metricTargetSilence, d.targetSilence)
	}
}

// observeStore logs that the store stopped answering (err is not nil) or answers again. Other
// calls of this daemon may have been lost as well.
func (d *Daemon) observeStore(err error) {
	if err == nil {
		d.logStateChange(logs.EventStoreRegained, "", logs.FieldAge, d.storeSilence())
		return
	}
	d.storeDoubts.raise()
	d.logStateChange(logs.EventStoreLost, "", logs.FieldAge, d.storeSilence(), logs.FieldErr, err)
}

// logTimeline logs when the store has been restored since the last call.
func (d *Daemon) logTimeline() {
	if d.store.LastAnswer().IsZero() {
		return
	}
	timeline := d.store.Timeline()
	if old := d.timeline.Swap(&timeline); old != nil && *old != timeline {
		d.log.Warn(logs.EventStoreRestored, logs.FieldTimeline, timeline, logs.FieldFrom, *old, logs.FieldAge, d.storeSilence())
	}
}

// logStateChange logs a change of this process's view of a subject, unless the event
// exceeds its rate limit.
func (d *Daemon) logStateChange(event, subject string, fields ...any) {
	if hidden, ok := d.allowLog(event, subject); ok {
		d.log.Info(event, append(fields, logs.FieldHidden, hidden)...)
	}
}

// allowLog reports whether a line of the event may be logged, and how many were
// suppressed since the last one that was logged. It counts a suppressed line.
func (d *Daemon) allowLog(event, subject string) (hidden uint64, ok bool) {
	if hidden, ok = d.sampler.Allow(event, subject); !ok {
		d.counters.hidden.Inc(1)
	}
	return hidden, ok
}

// logMemberChanges logs the differences between the members of two snapshots.
func (d *Daemon) logMemberChanges(before, after *routes.Snapshot) {
	if before == nil || after.SameOwners(before) {
		return
	}
	for _, m := range after.AllMembers() {
		old := before.Owner(m.Generation)
		switch {
		case m.Generation == d.server.ServingState().Generation:
		case old == nil:
			d.logMember(logs.EventMemberKnown, m)
		case !old.Idle && m.Idle:
			d.logMember(logs.EventMemberIdle, m)
		case old.Idle && !m.Idle:
			d.logMember(logs.EventMemberActive, m)
		}
	}
	for _, m := range before.AllMembers() {
		if after.Owner(m.Generation) == nil {
			d.logMember(logs.EventMemberGone, m)
		}
	}
}

func (d *Daemon) logMember(event string, m *routes.Owner) {
	d.logStateChange(event, m.Instance, logs.FieldMember, m.Instance, logs.FieldService, m.Service, logs.FieldDomain, m.Domain,
		logs.FieldGeneration, m.Generation, logs.FieldPeer, m.Peer, logs.FieldIdle, m.Idle)
}

// logReachability logs that a daemon became unreachable or reachable again.
func (d *Daemon) logReachability(t forward.Try) {
	switch {
	case forward.IsUnreachable(t.Err):
		if d.unreachable.begin(t.To.Generation, clock.Now()) {
			d.logStateChange(logs.EventPeerLost, t.To.Instance, logs.FieldMember, t.To.Instance, logs.FieldPeer, t.To.Peer,
				logs.FieldErr, t.Err)
		}
	case t.Err == nil:
		if lostAt, ok := d.unreachable.end(t.To.Generation); ok {
			d.logStateChange(logs.EventPeerRegained, t.To.Instance, logs.FieldMember, t.To.Instance, logs.FieldPeer, t.To.Peer,
				logs.FieldAge, age(&lostAt))
		}
	}
}
