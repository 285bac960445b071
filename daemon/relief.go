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
	"fulmarrun/wire"
)

const (
	// lateFrom is how late a look may be before the log says that the process does not
	// get the processor.
	lateFrom = 150 * time.Millisecond
	// reliefInterval is how often relief is looked for, and reliefPause how long it
	// is not once some was found, so that its effect can be measured.
	reliefInterval = 400 * time.Millisecond
	reliefPause    = 1200 * time.Millisecond
	// reliefAsked bounds the members that are asked how busy they are.
	reliefAsked = 8
)

// watchLoad measures how busy the target is, and gives ranges of keys away while it
// has much more to do than another.
func (i *incarnation) watchLoad(ctx context.Context) {
	next := clock.Now().Add(reliefInterval)
	for at := clock.Now(); storage.Sleep(ctx, handover.LoadSampleInterval) == nil; at = clock.Now() {
		i.d.observeLoad()
		now := clock.Now()
		if late := now.Sub(at) - handover.LoadSampleInterval; late > lateFrom {
			stats := i.d.gate.Stats()
			i.d.log.Warn(logs.EventLate, logs.FieldLate, late,
				logs.FieldRunning, i.d.server.Running(), logs.FieldInFlight, stats.InFlight, logs.FieldWaiting, stats.Queued,
				logs.FieldGoroutines, runtime.NumGoroutine())
		}
		if now.Before(next) {
			continue
		}
		next = now.Add(reliefInterval)
		rates := i.d.server.Rates().Decay(now)
		if i.findRelief(ctx, rates) {
			next = now.Add(reliefPause)
		}
	}
}

// observeLoad takes one look at the load of the target.
func (d *Daemon) observeLoad() {
	stats := d.gate.Stats()
	now := utilization(&wire.Status{InFlight: stats.InFlight, Queued: stats.Queued, Limit: stats.Limit})
	next := d.targetLoad().Update(now)
	d.load.Store(&next)
}

// targetLoad is how busy the target has been.
func (d *Daemon) targetLoad() handover.Load {
	if mean := d.load.Load(); mean != nil {
		return *mean
	}
	return handover.Load{}
}

func (i *incarnation) findRelief(ctx context.Context, rates []handover.Rate) bool {
	service, ok := i.d.service()
	own := i.d.targetLoad()
	own.Generation = i.self.Generation
	if !ok || !service.Ranged || !handover.Overloaded(own) {
		return false
	}
	moves := handover.PlanRelief(service.Name, own, rates, i.loads(ctx, service.Name))
	if len(moves) == 0 {
		return false
	}
	i.post(ctx, control.OverloadDetected{Moves: moves})
	return true
}

// loads asks other members how busy they are.
func (i *incarnation) loads(ctx context.Context, service string) []handover.Load {
	standing := i.d.server.ServingState()
	var others []*routes.Owner
	for _, m := range standing.Snapshot.Members(service) {
		if i.mayTake(m, standing.Table) {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(len(others), reliefAsked)]
	answers := make(chan handover.Load, len(others))
	for _, m := range others {
		i.spawn(func(context.Context) {
			var load handover.Load
			defer func() { answers <- load }()
			if status, ok := i.askLoad(ctx, m); ok {
				load = handover.Load{Generation: m.Generation, Utilization: status.Utilization, Steady: status.SmoothedUtilization}
			}
		})
	}
	var out []handover.Load
	for range others {
		if load := <-answers; load.Generation != 0 {
			out = append(out, load)
		}
	}
	return out
}
