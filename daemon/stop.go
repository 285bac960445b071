package daemon

import (
	"context"
	"time"

	"fulmarrun/clock"
	"fulmarrun/logs"
	"fulmarrun/storage"
)

const (
	// notReadyPeriod is how long a stopping daemon keeps serving while it reports not
	// ready, so that callers can switch to other daemons: two readiness checks at an
	// interval of one second, plus a margin.
	notReadyPeriod = 2500 * time.Millisecond
)

// stop stops a daemon whose process will restart. Callers' requests and running
// requests finish; its slots stay assigned to its next process.
func (d *Daemon) stop() {
	d.leaving.Store(true)
	end := clock.Now().Add(d.settings.DrainTimeout)
	d.log.Info(logs.EventStopping, logs.FieldDrain, d.settings.DrainTimeout)
	// Other members serve the requests without a key.
	d.server.RefuseUnkeyed(true)
	_ = storage.Sleep(context.Background(), min(notReadyPeriod, d.settings.DrainTimeout/2))
	d.server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Until(end))
	defer cancel()
	if err := d.shutDownCallers(ctx); err != nil {
		d.log.Warn(logs.EventCallersCutOff, logs.FieldErr, err)
	}
	for d.server.Running() > 0 && storage.Sleep(ctx, drainPoll) == nil {
	}
}
