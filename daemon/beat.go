package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/clock"
	"fulmarrun/config"
	"fulmarrun/control"
	"fulmarrun/grants"
	"fulmarrun/logs"
	"fulmarrun/storage"
	"fulmarrun/targethttp"
)

const (
	// defaultColdRate is how many requests a second a cold target is sent until the
	// configuration gives its rate.
	defaultColdRate = 5.0
	// absenceTimeout is how long after its last beat a target is considered absent.
	// Targets send a beat every second.
	absenceTimeout = 2500 * time.Millisecond
	// absenceCheckInterval is how often the time since the last beat is checked.
	absenceCheckInterval = 250 * time.Millisecond
)

// ErrWrongService is returned for a beat from a target of another service.
var ErrWrongService = errors.New("beat of another service")

// Beat applies a beat that the target beside the daemon sent and that was received at
// now, and returns the slots that the target is to hold. The beat of a target that drains is
// answered once that is stored at the platform, since the next process of the daemon has to
// know: the first beat that it receives may be a delayed one.
func (d *Daemon) Beat(ctx context.Context, now time.Time, beat grants.Beat) (grants.Answer, error) {
	if beat.Service != d.settings.Service {
		return grants.Answer{}, fmt.Errorf("service %q: %w", beat.Service, ErrWrongService)
	}
	answer, announced := d.applyBeat(now, beat)
	if announced == nil {
		return answer, nil
	}
	if err := d.awaitStored(ctx, *announced); err != nil {
		return grants.Answer{}, err
	}
	return answer, nil
}

// applyBeat applies a beat, and returns the departure that it announces; nil if it announces
// none.
func (d *Daemon) applyBeat(now time.Time, beat grants.Beat) (answer grants.Answer, announced *departure) {
	f := d.fetchedGrants
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.table.Classify(&beat) {
	case grants.Stale:
		d.log.Debug(logs.EventBeatOutdated, logs.FieldTarget, beat.Name, logs.FieldSequence, beat.Sequence)
		return grants.Answer{}, f.announcedBy(beat)
	case grants.Restarted:
		d.updateTarget(now, beat)
		d.restartGeneration("its target has started anew")
		return grants.Answer{}, f.announcedBy(beat)
	case grants.Current:
	}
	d.updateTarget(now, beat)
	f.table.SetRequestTime(d.gate.Stats().Latency)
	answer = f.table.Beat(now, &beat, d.server.LeaseUntil())
	if s, ok := d.service(); !ok || !s.Ranged {
		return grants.Answer{}, f.announcedBy(beat)
	}
	if answer.Omitted > 0 {
		d.logStateChange(logs.EventGrantTooLarge, "", logs.FieldSlots, answer.Omitted)
	}
	return answer, f.announcedBy(beat)
}

// announcedBy returns the departure that a beat announces: it says that the current process
// drains, and no later beat has taken that back. The caller holds the lock.
func (f *fetchedGrants) announcedBy(beat grants.Beat) *departure {
	if !beat.Draining || beat.Process != f.beat.Process {
		return nil
	}
	if f.left {
		return &departure{Process: beat.Process}
	}
	if drain, ok := f.departures.drainOf(beat.Process); ok {
		return &drain
	}
	return nil
}

// updateTarget records the current target process and its state. The caller holds the
// lock.
func (d *Daemon) updateTarget(now time.Time, beat grants.Beat) {
	f := d.fetchedGrants
	previous := f.beat
	if previous.Process != beat.Process {
		if !f.lastBeatAt.IsZero() {
			d.targetEnded(d.processName(previous.String()))
		}
		f.departures.dropBefore(previous.Started)
		f.left = false
		d.resetCondition(beat.String())
		d.log.Info(logs.EventNewTarget, logs.FieldTarget, beat.Name, logs.FieldAddress, beat.Address,
			logs.FieldSlots, beat.Slots, logs.FieldCold, beat.Cold)
	}
	f.beat, f.lastBeatAt = beat, now
	if previous.Slots != beat.Slots {
		d.gate.SetFixedLimit(beat.Slots)
	}
	d.limitColdRateLocked()
	d.client.SetDestination(targethttp.Destination{Address: beat.Address, Name: beat.Name, Process: beat.String()})
	delay := f.drainLimit - drainMargin
	if previous.Process != beat.Process {
		// An earlier process of the daemon may have received the drain notice long ago, so
		// the drain limit may already be over.
		delay = 0
	}
	d.reviewTarget(delay)
}

// limitColdRate bounds the request rate while the target is cold.
func (d *Daemon) limitColdRate() {
	if d.fetchedGrants == nil {
		return
	}
	d.fetchedGrants.mu.Lock()
	defer d.fetchedGrants.mu.Unlock()
	d.limitColdRateLocked()
}

func (d *Daemon) limitColdRateLocked() {
	f := d.fetchedGrants
	if f.lastBeatAt.IsZero() {
		return
	}
	rate := defaultColdRate
	if s, ok := d.service(); ok {
		rate = s.ColdRate
	}
	d.gate.SetColdRate(max(0, f.beat.Cold-clock.Since(f.lastBeatAt)), rate)
}

// service returns the configuration of the target's service.
func (d *Daemon) service() (*config.Service, bool) {
	table := d.table.Load()
	if table == nil {
		return nil, false
	}
	return table.Service(d.settings.Service)
}

// setIdle publishes whether the target accepts work. The caller holds the lock.
func (d *Daemon) setIdle(idle bool, reason string) {
	if d.fetchedGrants.idle == idle {
		return
	}
	d.fetchedGrants.idle = idle
	d.log.Info(logs.EventTargetChanged, logs.FieldIdle, idle, logs.FieldReason, reason)
	d.server.RefuseUnkeyed(idle || d.leaving.Load())
	d.publishTargetState(reason)
}

// publishTargetState updates this daemon's member row with the state of the target. The
// caller holds the lock.
func (d *Daemon) publishTargetState(reason string) {
	if i := d.current.Load(); i != nil {
		i.tryPost(control.TargetChanged{Idle: d.fetchedGrants.idle, DepartedTarget: d.fetchedGrants.lastDeparture, Reason: reason})
	}
}

// postTargetState passes the target's state to a new generation. The state may have
// changed after the first member row was built and before this generation could receive
// updates.
func (i *incarnation) postTargetState() {
	f := i.d.fetchedGrants
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	i.tryPost(control.TargetChanged{Idle: f.idle, DepartedTarget: f.lastDeparture, Reason: "as it is at the start"})
}

// watchAbsence marks the target idle once it has sent no beat for absenceTimeout.
func (d *Daemon) watchAbsence(ctx context.Context) error {
	for storage.Sleep(ctx, absenceCheckInterval) == nil {
		f := d.fetchedGrants
		f.mu.Lock()
		if !f.idle && clock.Since(f.lastBeatAt) > absenceTimeout {
			d.setIdle(true, "the target is not heard of")
		}
		f.mu.Unlock()
	}
	return nil
}

// restartGeneration ends the current generation. The next one inherits its slots under
// later epochs.
func (d *Daemon) restartGeneration(reason string) {
	if i := d.current.Load(); i != nil {
		i.tryPost(restartMessage{reason: reason})
	}
}

// restartMessage ends a generation while the daemon continues to run.
type restartMessage struct {
	control.Tick
	reason string
}
