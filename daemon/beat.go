package daemon

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/admission"
	"fulmarrun/clock"
	"fulmarrun/config"
	"fulmarrun/control"
	"fulmarrun/holds"
	"fulmarrun/logs"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// unknownColdRate is how many requests a second a cold target is given before the
	// configuration says what it bears.
	unknownColdRate = 5.0
	// absence is how long a target that sends beats every second is waited for
	// before it is taken to be away.
	absence = 2500 * time.Millisecond
	// absenceCheck is how often that is looked at.
	absenceCheck = 250 * time.Millisecond
)

// ErrWrongService is returned for a beat of a target of another service.
var ErrWrongService = errors.New("beat of another service")

// Beat takes in what the target beside the daemon says of itself, received at now,
// and returns what it is to hold.
func (d *Daemon) Beat(now time.Time, beat holds.Beat) (holds.Answer, error) {
	if beat.Service != d.settings.Service {
		return holds.Answer{}, fmt.Errorf("service %q: %w", beat.Service, ErrWrongService)
	}
	f := d.fetched
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.book.Classify(&beat) {
	case holds.Stale:
		d.log.Debug(logs.EventBeatLate, logs.FieldTarget, beat.Name, logs.FieldSequence, beat.Sequence)
		return holds.Answer{}, nil
	case holds.Restarted:
		d.meet(now, beat)
		d.renew("its target has started anew")
		return holds.Answer{}, nil
	case holds.Current:
	}
	d.meet(now, beat)
	f.book.SetRequestTime(d.gate.Stats().Latency)
	answer := f.book.Beat(now, &beat, d.server.LeaseUntil())
	if s, ok := d.service(); !ok || !s.Ranged {
		return holds.Answer{}, nil
	}
	if answer.Omitted > 0 {
		d.noteBelief(logs.EventNoRoom, "", logs.FieldSlots, answer.Omitted)
	}
	return answer, nil
}

// TargetDeparted notes that a life of the target leaves for good.
func (d *Daemon) TargetDeparted(name string) {
	f := d.fetched
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beat.Name != name {
		return
	}
	f.gone, f.left = true, f.beat.String()
	d.drain("the target leaves", f.drainLimit-drainMargin)
	d.tellTarget("the target leaves")
}

// learnLeft notes what earlier processes of this instance have written of lives that left.
func (d *Daemon) learnLeft(rows []wire.Row) {
	if d.fetched == nil {
		return
	}
	f := d.fetched
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left != "" {
		return
	}
	var latest time.Time
	for _, r := range rows {
		var m wire.Member
		if r.Deleted || !strings.HasPrefix(r.Key, routes.MemberPrefix) || wire.Decode(r.Value, &m) != nil {
			// What can't be read is logged where rows are taken in.
			continue
		}
		if m.Instance == d.settings.Instance && m.DepartedTarget != "" && !m.Joined.Before(latest) {
			f.left, latest = m.DepartedTarget, m.Joined
		}
	}
	if !f.heard.IsZero() && f.beat.String() == f.left && !f.gone {
		f.gone = true
		d.drain("the target had left", 0)
		d.tellTarget("the target had left")
	}
}

// meet notes who the target is; the lock is held.
func (d *Daemon) meet(now time.Time, beat holds.Beat) {
	f := d.fetched
	before := f.beat
	if before.Process != beat.Process {
		f.gone = beat.String() == f.left
		d.log.Info(logs.EventTargetMet, logs.FieldTarget, beat.Name, logs.FieldAddress, beat.Address,
			logs.FieldSlots, beat.Slots, logs.FieldCold, beat.Cold)
	}
	f.beat, f.heard = beat, now
	if before.Slots != beat.Slots {
		d.gate.SetFixedLimit(beat.Slots)
	}
	d.chillLocked()
	d.client.SetDestination(targethttp.Destination{Address: beat.Address, Name: beat.Name})
	switch {
	case (beat.Draining || f.gone) && before.Process != beat.Process:
		// An earlier process may have been told of it long ago.
		d.drain("the target drains", 0)
	case beat.Draining:
		d.drain("the target drains", f.drainLimit-drainMargin)
	case !f.gone:
		f.draining = false
		d.gate.Report(admission.Health{Draining: f.shut})
		d.setIdle(false, "the target is there")
	}
}

// chill bounds the rate of requests while the target is cold.
func (d *Daemon) chill() {
	if d.fetched == nil {
		return
	}
	d.fetched.mu.Lock()
	defer d.fetched.mu.Unlock()
	d.chillLocked()
}

func (d *Daemon) chillLocked() {
	f := d.fetched
	if f.heard.IsZero() {
		return
	}
	rate := unknownColdRate
	if s, ok := d.service(); ok {
		rate = s.ColdRate
	}
	d.gate.SetColdRate(max(0, f.beat.Cold-clock.Since(f.heard)), rate)
}

// service returns the service of the target, as the configuration has it.
func (d *Daemon) service() (*config.Service, bool) {
	table := d.table.Load()
	if table == nil {
		return nil, false
	}
	return table.Service(d.settings.Service)
}

// setIdle tells others whether the target takes work; the lock is held.
func (d *Daemon) setIdle(idle bool, reason string) {
	if d.fetched.idle == idle {
		return
	}
	d.fetched.idle = idle
	d.log.Info(logs.EventTargetChanged, logs.FieldIdle, idle, logs.FieldReason, reason)
	d.server.RefuseUnkeyed(idle || d.leaving.Load())
	d.tellTarget(reason)
}

// tellTarget has the own row say what the target does; the lock is held.
func (d *Daemon) tellTarget(reason string) {
	if i := d.current.Load(); i != nil {
		i.offer(control.TargetChanged{Idle: d.fetched.idle, DepartedTarget: d.fetched.left, Reason: reason})
	}
}

// noteTarget tells a new generation whether the target takes work: that may have
// changed after its first row was made, and before it could be told.
func (i *incarnation) noteTarget() {
	f := i.d.fetched
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	i.offer(control.TargetChanged{Idle: f.idle, DepartedTarget: f.left, Reason: "as it is at the start"})
}

// watchBeats takes a target to be away that has not been heard of.
func (d *Daemon) watchBeats(ctx context.Context) error {
	for storage.Sleep(ctx, absenceCheck) == nil {
		f := d.fetched
		f.mu.Lock()
		if !f.idle && clock.Since(f.heard) > absence {
			d.setIdle(true, "the target is not heard of")
		}
		f.mu.Unlock()
	}
	return nil
}

// renew ends the present generation, whose successor inherits what it owns under
// later epochs.
func (d *Daemon) renew(reason string) {
	if i := d.current.Load(); i != nil {
		i.offer(renewMessage{reason: reason})
	}
}

// renewMessage ends a generation of a daemon that goes on.
type renewMessage struct {
	control.Tick
	reason string
}
