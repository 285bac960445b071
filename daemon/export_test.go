package daemon

import (
	"context"
	"time"

	"fulmarrun/clock"
	"fulmarrun/wire"
)

// PanicInEffect makes an effect of the current generation panic. It returns false if
// there is no generation yet.
func (d *Daemon) PanicInEffect() bool {
	i := d.current.Load()
	if i == nil {
		return false
	}
	i.spawn(func(context.Context) { panic("broken") })
	return true
}

// AdoptCondition records what another daemon knows about the target.
func (d *Daemon) AdoptCondition(known *wire.TargetCondition) { d.adoptCondition(known) }

// ClosesIn returns after what time a target that leaves receives no more work, and whether it
// leaves.
func (d *Daemon) ClosesIn() (time.Duration, bool) {
	f := d.fetchedGrants
	f.mu.Lock()
	defer f.mu.Unlock()
	return clock.Until(f.closesAt), f.draining
}
