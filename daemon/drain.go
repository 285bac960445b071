package daemon

import (
	"time"

	"fulmarrun/admission"
	"fulmarrun/logs"
)

const (
	// defaultDrainLimit is how long a draining target may be given work unless the
	// platform says otherwise.
	defaultDrainLimit = 2 * time.Second
	// drainMargin is how much earlier than that limit the last request is handed
	// over, for the time that it takes to arrive.
	drainMargin = 500 * time.Millisecond
)

// drain has others serve in place of a target that leaves, and gives it nothing more
// after the given time; the lock is held.
func (d *Daemon) drain(reason string, after time.Duration) {
	d.setIdle(true, reason)
	f := d.fetched
	if f.draining {
		return
	}
	f.draining = true
	life := f.beat.Process
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.draining && f.beat.Process == life {
			d.log.Info(logs.EventTargetClosed, logs.FieldTarget, life.Name)
			d.gate.Report(admission.Health{Draining: true})
		}
	})
}
