package daemon

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"fulmarrun/clock"
	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/logs"
	"fulmarrun/routes"
	"fulmarrun/storage"
)

const (
	// lateThreshold is the delay of a load sample from which the log reports that the
	// process does not get enough processor time.
	lateThreshold = 150 * time.Millisecond
	// reliefInterval is how often the daemon looks for relief of its target. After a move
	// it waits for reliefCooldown instead, so that the effect can be measured.
	reliefInterval = 400 * time.Millisecond
	reliefCooldown = 1200 * time.Millisecond
	// maxReliefCandidates bounds the members that are asked for their load.
	maxReliefCandidates = 8
)

// watchLoad samples the load of the target, and moves key ranges to other members while
// the target is overloaded compared with them.
func (i *incarnation) watchLoad(ctx context.Context) {
	var meter handover.LoadMeter
	next := clock.Now().Add(reliefInterval)
	for sleepStart := clock.Now(); storage.Sleep(ctx, handover.LoadSampleInterval) == nil; sleepStart = clock.Now() {
		i.d.sampleLoad(&meter)
		now := clock.Now()
		if late := now.Sub(sleepStart) - handover.LoadSampleInterval; late > lateThreshold {
			stats := i.d.gate.Stats()
			i.d.log.Warn(logs.EventProcessLate, logs.FieldLate, late,
				logs.FieldRunning, i.d.server.Running(), logs.FieldInFlight, stats.InFlight, logs.FieldWaiting, stats.Queued,
				logs.FieldGoroutines, runtime.NumGoroutine())
		}
		if now.Before(next) {
			continue
		}
		next = now.Add(reliefInterval)
		rates := i.d.server.Rates().Decay(now)
		if i.relieveOverload(ctx, rates) {
			next = now.Add(reliefCooldown)
		}
	}
}

// sampleLoad adds one sample to the smoothed load of the target.
func (d *Daemon) sampleLoad(meter *handover.LoadMeter) {
	stats := d.gate.Stats()
	sample := meter.Sample(handover.TargetLoad{
		InFlight: stats.InFlight, Queued: stats.Queued, Limit: stats.Limit,
		Offered: stats.Admitted + stats.Refused, RateLimit: stats.StatedRate,
	}, clock.Now())
	next := d.meanTargetLoad().Update(sample)
	d.targetLoadMean.Store(&next)
}

// meanTargetLoad returns the smoothed load of the target.
func (d *Daemon) meanTargetLoad() handover.Load {
	if mean := d.targetLoadMean.Load(); mean != nil {
		return *mean
	}
	return handover.Load{}
}

// relieveOverload requests moves to less loaded members if the target is overloaded. It
// returns false if no move was requested.
func (i *incarnation) relieveOverload(ctx context.Context, rates []handover.Rate) bool {
	service, ok := i.d.service()
	ownLoad := i.d.meanTargetLoad()
	ownLoad.Generation = i.self.Generation
	if !ok || !service.Ranged || !handover.Overloaded(ownLoad) {
		return false
	}
	moves := handover.PlanRelief(service.Name, ownLoad, rates, i.candidateLoads(ctx, service.Name))
	if len(moves) == 0 {
		return false
	}
	i.post(ctx, control.OverloadDetected{Moves: moves})
	return true
}

// candidateLoads asks other members for their load.
func (i *incarnation) candidateLoads(ctx context.Context, service string) []handover.Load {
	state := i.d.server.ServingState()
	var candidates []*routes.Owner
	for _, m := range state.Snapshot.Members(service) {
		if i.canTakeKeys(m, state.Table) {
			candidates = append(candidates, m)
		}
	}
	rand.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	candidates = candidates[:min(len(candidates), maxReliefCandidates)]
	answers := make(chan handover.Load, len(candidates))
	for _, m := range candidates {
		i.spawn(func(context.Context) {
			var load handover.Load
			defer func() { answers <- load }()
			if status, ok := i.fetchLoad(ctx, m); ok {
				load = handover.Load{Generation: m.Generation, Utilization: status.Utilization, Steady: status.SmoothedUtilization}
			}
		})
	}
	var out []handover.Load
	for range candidates {
		if load := <-answers; load.Generation != 0 {
			out = append(out, load)
		}
	}
	return out
}
