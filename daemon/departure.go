package daemon

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/admission"
	"fulmarrun/clock"
	"fulmarrun/grants"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// ErrUnknownTarget is returned for a notice of departure that names no process of the target
// beside the daemon.
var ErrUnknownTarget = errors.New("not the target of this daemon")

// storeTimeout bounds the wait for the platform to store that a target process leaves. Targets
// discard an answer that takes a second.
const storeTimeout = 800 * time.Millisecond

// ErrNotStored is returned if the platform has not stored yet that a target process leaves. The
// target is sent no more work all the same.
var ErrNotStored = errors.New("departure of the target is not stored yet")

// TargetDeparted records that a process of the target leaves for good; its start is zero if it is
// not known. TargetDeparted returns nil once that is stored at the platform, since the next
// process of the daemon has to know.
func (d *Daemon) TargetDeparted(ctx context.Context, p grants.Process) error {
	left, err := d.recordLeave(p)
	if err != nil {
		return err
	}
	return d.awaitStored(ctx, left)
}

// recordLeave records that a process of the target leaves for good.
func (d *Daemon) recordLeave(p grants.Process) (departure, error) {
	f := d.fetchedGrants
	f.mu.Lock()
	defer f.mu.Unlock()
	current, met := f.beat.Process, !f.lastBeatAt.IsZero()
	left := departure{Process: p}
	switch {
	case met && p.Name == current.Name && (p.Started.IsZero() || p.Started.Equal(current.Started)):
		d.closeLeft("the target leaves", f.drainLimit-drainMargin)
		return departure{Process: current}, nil
	case p.Started.IsZero() && !f.draining:
		// It is a process that this daemon has not met yet, or one that the current one replaced.
		left = f.departures.named(p.Name)
	case p.Started.IsZero() || !p.Started.After(current.Started):
		return departure{}, fmt.Errorf("target %q: %w", p.Name, ErrUnknownTarget)
	}
	d.recordDeparture(left)
	d.publishTargetState("the target leaves")
	return left, nil
}

// awaitStored waits until the platform has stored a departure.
func (d *Daemon) awaitStored(ctx context.Context, x departure) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	f := d.fetchedGrants
	stored := waitUntil(ctx, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.departures[x]
	})
	if !stored {
		return fmt.Errorf("target %s: %w", x.Process, ErrNotStored)
	}
	return nil
}

// recordStoredDeparture records that the departure in the member row is stored at the platform.
func (i *incarnation) recordStoredDeparture() {
	f, text := i.d.fetchedGrants, i.core.StoredDeparture()
	if f == nil || text == i.storedDeparture {
		return
	}
	i.storedDeparture = text
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, ok := parseDeparture(text); ok && f.departures.has(x) {
		f.departures[x] = true
	}
}

// targetLeaves records that a process of the target states in its answers that it leaves,
// and that the first such answer was received that long ago.
func (d *Daemon) targetLeaves(process string, age time.Duration) {
	f := d.fetchedGrants
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beat.String() == process {
		d.closeLeft("the target's answers say that it leaves", f.drainLimit-drainMargin-age)
	}
}

// recordDeparture records a departure that the target has announced. The caller holds the lock.
func (d *Daemon) recordDeparture(x departure) {
	f := d.fetchedGrants
	f.departures.add(x)
	f.lastDeparture = x.String()
}

// closeLeft records that the current process of the target leaves for good, and sends it no
// more work after the delay. The caller holds the lock.
func (d *Daemon) closeLeft(reason string, delay time.Duration) {
	f := d.fetchedGrants
	f.left = true
	f.departures.dropNamed(f.beat.Name)
	d.recordDeparture(departure{Process: f.beat.Process})
	d.drainTarget(reason, delay)
	d.publishTargetState(reason)
}

// reviewTarget opens or closes the target according to its latest beat and the departures that
// are known. A target that drains is sent no more work after the delay. The caller holds the lock.
func (d *Daemon) reviewTarget(delay time.Duration) {
	f := d.fetchedGrants
	drain, drained := f.departures.drainOf(f.beat.Process)
	switch {
	case f.left:
	case f.departures.hasLeft(f.beat.Process):
		d.closeLeft("the target had left", 0)
	case drained && f.beat.Sequence < drain.sequence:
		// The beat is older than the one that an earlier process of the daemon has received.
		d.closeDrained(drain, 0)
	case f.beat.Draining && drained:
		d.closeDrained(drain, delay)
	case f.beat.Draining:
		d.closeDrained(departure{Process: f.beat.Process, drains: true, sequence: f.beat.Sequence}, delay)
	default:
		if drained {
			delete(f.departures, drain)
			f.lastDeparture = ""
		}
		d.openTarget()
	}
}

// closeDrained records that the current process of the target drains, and sends it no more work
// after the delay. The caller holds the lock.
func (d *Daemon) closeDrained(drain departure, delay time.Duration) {
	d.recordDeparture(drain)
	d.drainTarget("the target drains", delay)
	d.publishTargetState("the target drains")
}

// openTarget lets the target receive work if it sends beats, and if what earlier processes of the
// daemon have acknowledged is known. The caller holds the lock.
func (d *Daemon) openTarget() {
	f := d.fetchedGrants
	if !f.departuresLoaded || clock.Since(f.lastBeatAt) > absenceTimeout {
		return
	}
	f.draining = false
	d.gate.Report(admission.Health{Draining: f.domainClosed})
	d.setIdle(false, "the target is there")
}

// loadDepartures restores the departures from the member rows that earlier processes of this
// instance wrote. all is true if those are all rows of the platform.
func (d *Daemon) loadDepartures(rows []wire.Row, all bool) {
	f := d.fetchedGrants
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rows {
		var m wire.Member
		if r.Deleted || !strings.HasPrefix(r.Key, routes.MemberPrefix) || wire.Decode(r.Value, &m) != nil {
			// Rows that can't be decoded are logged where rows are applied.
			continue
		}
		if x, ok := parseDeparture(m.DepartedTarget); ok && m.Instance == d.settings.Instance {
			f.departures[x] = f.departures[x] || all
		}
	}
	f.departuresLoaded = f.departuresLoaded || all
	if !f.lastBeatAt.IsZero() {
		d.reviewTarget(f.drainLimit - drainMargin)
	}
}
