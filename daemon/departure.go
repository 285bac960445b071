package daemon

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/admission"
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

// departures are the target processes beside the daemon that are known to drain or to leave for
// good: for each name, when the last of them started. Earlier processes of the name have left as
// well.
type departures map[string]time.Time

func (d departures) add(p grants.Process) {
	if started, known := d[p.Name]; !known || started.Before(p.Started) {
		d[p.Name] = p.Started
	}
}

func (d departures) contain(p grants.Process) bool {
	started, known := d[p.Name]
	return known && !p.Started.After(started)
}

// TargetDeparted records that a process of the target leaves for good; its start is zero if it is
// not known. TargetDeparted returns nil once that is stored at the platform, since the next
// process of the daemon has to know.
func (d *Daemon) TargetDeparted(ctx context.Context, p grants.Process) error {
	departed, err := d.recordDeparture(p)
	if err != nil {
		return err
	}
	return d.awaitStored(ctx, departed)
}

// recordDeparture records that a process of the target leaves for good, and returns the process
// with its start.
func (d *Daemon) recordDeparture(p grants.Process) (grants.Process, error) {
	f := d.fetchedGrants
	f.mu.Lock()
	defer f.mu.Unlock()
	current, met := f.beat.Process, !f.lastBeatAt.IsZero()
	switch {
	case met && p.Name == current.Name && (p.Started.IsZero() || p.Started.Equal(current.Started)):
		d.closeDeparted("the target leaves", f.drainLimit-drainMargin)
		return current, nil
	case !met && p.Started.IsZero():
		p = f.unmetDeparture(p.Name)
	case p.Started.After(current.Started):
	default:
		return grants.Process{}, fmt.Errorf("target %q: %w", p.Name, ErrUnknownTarget)
	}
	d.addDeparture(p)
	d.publishTargetState("the target leaves")
	return p, nil
}

// unmetDeparture returns the process of a target that leaves if only its name is known. The
// caller holds the lock.
func (f *fetchedGrants) unmetDeparture(name string) grants.Process {
	if last, ok := grants.ParseProcess(f.lastDeparture); ok && last.Name == name {
		return last
	}
	// An earlier process of the daemon has met the target. It serves at least for the drain limit
	// from now on, so that its next process can't have started by then.
	return grants.Process{Name: name, Started: time.Now().Add(f.drainLimit).Truncate(time.Millisecond)}
}

// awaitStored waits until the platform has stored that a target process leaves.
func (d *Daemon) awaitStored(ctx context.Context, departed grants.Process) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	f := d.fetchedGrants
	stored := waitUntil(ctx, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.storedDepartures.contain(departed)
	})
	if !stored {
		return fmt.Errorf("target %s: %w", departed, ErrNotStored)
	}
	return nil
}

// recordStoredDeparture records the departure in the member row that is stored at the platform.
func (i *incarnation) recordStoredDeparture() {
	f, departed := i.d.fetchedGrants, i.core.StoredDeparture()
	if f == nil || departed == i.storedDeparture {
		return
	}
	i.storedDeparture = departed
	if p, ok := grants.ParseProcess(departed); ok {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.storedDepartures.add(p)
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
		d.closeDeparted("the target's answers say that it leaves", f.drainLimit-drainMargin-age)
	}
}

// addDeparture records a process that the target has announced to leave. The caller holds the
// lock.
func (d *Daemon) addDeparture(p grants.Process) {
	f := d.fetchedGrants
	f.departures.add(p)
	f.lastDeparture = p.String()
}

// closeDeparted records that the current process of the target drains or leaves for good, and
// sends it no more work after the delay. The caller holds the lock.
func (d *Daemon) closeDeparted(reason string, delay time.Duration) {
	f := d.fetchedGrants
	f.departed = true
	d.addDeparture(f.beat.Process)
	d.drainTarget(reason, delay)
	d.publishTargetState(reason)
}

// loadDepartures restores the departed target processes from the member rows that earlier
// processes of this instance wrote. all is true if those are all rows of the platform.
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
		if m.Instance != d.settings.Instance {
			continue
		}
		if p, ok := grants.ParseProcess(m.DepartedTarget); ok {
			f.departures.add(p)
		}
	}
	loaded := all && !f.departuresLoaded
	f.departuresLoaded = f.departuresLoaded || all
	switch {
	case f.lastBeatAt.IsZero() || f.departed:
	case f.departures.contain(f.beat.Process):
		d.closeDeparted("the target had left", 0)
	case loaded:
		d.openTarget()
	}
}

// openTarget lets the target receive work, unless an earlier process of the daemon may have
// acknowledged that it leaves. The caller holds the lock.
func (d *Daemon) openTarget() {
	f := d.fetchedGrants
	if !f.departuresLoaded {
		return
	}
	f.draining = false
	d.gate.Report(admission.Health{Draining: f.domainClosed})
	d.setIdle(false, "the target is there")
}
