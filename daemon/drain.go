package daemon

import (
	"time"

	"github.com/pkg/errors"

	"fulmarrun/admission"
	"fulmarrun/clock"
	"fulmarrun/logs"
	"fulmarrun/targethttp"
)

const (
	// defaultDrainLimit is how long a draining target may still be sent work, unless the
	// platform sets another limit.
	defaultDrainLimit = 2 * time.Second
	// drainMargin is how long before the drain limit the daemon sends the last request, to
	// allow for the time that the request takes to arrive.
	drainMargin = 500 * time.Millisecond
)

// errTargetClosed is returned for a request to a target that receives no more work.
var errTargetClosed = errors.New("target is closed to new work")

// drainTarget marks the target idle, so that other members serve instead, and stops
// sending it work after the delay, or earlier if an earlier call says so. The caller holds
// the lock.
func (d *Daemon) drainTarget(reason string, delay time.Duration) {
	d.setIdle(true, reason)
	f := d.fetchedGrants
	closesAt := clock.Now().Add(delay)
	if f.draining && !closesAt.Before(f.closesAt) {
		return
	}
	f.draining, f.closesAt = true, closesAt
	process := f.beat.Process
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.draining && f.beat.Process == process && f.closesAt.Equal(closesAt) {
			d.log.Info(logs.EventTargetClosed, logs.FieldTarget, process.Name)
			d.gate.Report(admission.Health{Draining: true})
		}
	})
}

// checkSend reports whether a request may be sent to the target now. The timer that closes
// the target may be late, also by the length of a suspension of the machine.
func (d *Daemon) checkSend(fence targethttp.Fence) error {
	if f := d.fetchedGrants; f != nil && f.isClosed() {
		return errTargetClosed
	}
	return d.server.CheckFence(fence)
}

// isClosed reports whether the target may be sent no work, since it drains or leaves, or since
// an earlier process of the daemon may know that it does.
func (f *fetchedGrants) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.departuresLoaded || f.draining && !clock.Now().Before(f.closesAt)
}
