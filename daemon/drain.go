package daemon

import (
	"time"

	"fulmarrun/admission"
	"fulmarrun/logs"
)

const (
	// defaultDrainLimit is how long a draining target may still be sent work, unless the
	// platform sets another limit.
	defaultDrainLimit = 2 * time.Second
	// drainMargin is how long before the drain limit the daemon sends the last request, to
	// allow for the time that the request takes to arrive.
	drainMargin = 500 * time.Millisecond
)

// drainTarget marks the target idle, so that other members serve instead, and stops
// sending it work after the delay. The caller holds the lock.
func (d *Daemon) drainTarget(reason string, delay time.Duration) {
	d.setIdle(true, reason)
	f := d.fetchedGrants
	if f.draining {
		return
	}
	f.draining = true
	process := f.beat.Process
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.draining && f.beat.Process == process {
			d.log.Info(logs.EventTargetClosed, logs.FieldTarget, process.Name)
			d.gate.Report(admission.Health{Draining: true})
		}
	})
}
