package daemon

import (
	"context"
	"time"

	"fulmarrun/clock"
	"fulmarrun/logs"
	"fulmarrun/storage"
)

const (
	// stopLinger is how long a daemon that is to stop goes on serving, not ready,
	// so that callers can go elsewhere: two questions a second apart, and some room.
	stopLinger = 2500 * time.Millisecond
)

// stop ends a daemon that comes back: callers and running requests finish, and
// what it owns stays with its next process.
func (d *Daemon) stop() {
	d.leaving.Store(true)
	end := clock.Now().Add(d.settings.Drain)
	d.log.Info(logs.EventStopping, logs.FieldDrain, d.settings.Drain)
	// Other members serve what needs no key.
	d.server.RefuseUnkeyed(true)
	_ = storage.Sleep(context.Background(), min(stopLinger, d.settings.Drain/2))
	d.server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Until(end))
	defer cancel()
	if err := d.endCallers(ctx); err != nil {
		d.log.Warn(logs.EventCutOff, logs.FieldErr, err)
	}
	for d.server.Running() > 0 && storage.Sleep(ctx, drainPoll) == nil {
	}
}
