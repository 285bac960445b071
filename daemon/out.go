package daemon

import (
	"time"

	"fulmarrun/admission"
	"fulmarrun/config"
	"fulmarrun/logs"
)

const (
	// defaultDomainOutLimit is how long a target may still be sent work after its
	// failure domain was taken out of service, unless the platform sets another limit.
	defaultDomainOutLimit = 5 * time.Second
	// domainOutMargin is how long before that limit the daemon stops sending work, to allow
	// for the time until it learns that the domain is out of service.
	domainOutMargin = time.Second
)

// applyDomainOut stops sending work to the target some time after its failure domain
// was taken out of service, even if its keys have not all moved by then. firstConfig is
// true for the first configuration of the process; work then stops at once, because the
// domain may have been out for long.
func (d *Daemon) applyDomainOut(table *config.Table, firstConfig bool) {
	f := d.fetchedGrants
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	domainOut := table.DomainOut(d.settings.Domain)
	if domainOut == f.domainOut {
		return
	}
	f.domainOut, f.domainClosed = domainOut, false
	f.domainChanges++
	switch {
	case !domainOut:
		d.gate.Report(admission.Health{Draining: f.draining})
	case firstConfig:
		d.closeTargetLocked()
	default:
		changes := f.domainChanges
		time.AfterFunc(f.domainOutLimit-domainOutMargin, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.domainChanges == changes {
				d.closeTargetLocked()
			}
		})
	}
}

// closeTargetLocked stops sending work to the target. The caller holds the lock.
func (d *Daemon) closeTargetLocked() {
	f := d.fetchedGrants
	f.domainClosed = true
	d.log.Info(logs.EventTargetClosed, logs.FieldTarget, f.beat.Name, logs.FieldReason, "its failure domain is out of service")
	d.gate.Report(admission.Health{Draining: true})
}
