package daemon

import (
	"time"

	"fulmarrun/admission"
	"fulmarrun/config"
	"fulmarrun/logs"
)

const (
	// defaultOutLimit is how long a target may be given work after its failure domain was
	// taken out of service, unless the platform says otherwise.
	defaultOutLimit = 5 * time.Second
	// outMargin is how much earlier that ends here, for the time until the daemon learns
	// of it.
	outMargin = time.Second
)

// watchOut has the target given nothing more some time after its failure domain was
// taken out of service, whether its keys have moved by then or not. First is true for
// the first configuration of the process: its domain may have been out for long.
func (d *Daemon) watchOut(table *config.Table, first bool) {
	f := d.fetched
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := table.Out(d.settings.Domain)
	if out == f.out {
		return
	}
	f.out, f.shut = out, false
	f.outTurn++
	switch {
	case !out:
		d.gate.Report(admission.Health{Draining: f.draining})
	case first:
		d.shutLocked()
	default:
		turn := f.outTurn
		time.AfterFunc(f.outLimit-outMargin, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.outTurn == turn {
				d.shutLocked()
			}
		})
	}
}

func (d *Daemon) shutLocked() {
	f := d.fetched
	f.shut = true
	d.log.Info(logs.EventTargetClosed, logs.FieldTarget, f.beat.Name, logs.FieldReason, "its failure domain is out of service")
	d.gate.Report(admission.Health{Draining: true})
}
