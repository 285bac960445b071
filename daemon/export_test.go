package daemon

import "context"

// PanicInEffect has an effect of the present generation panic. It reports false if there is no
// generation yet.
func (d *Daemon) PanicInEffect() bool {
	i := d.current.Load()
	if i == nil {
		return false
	}
	i.spawn(func(context.Context) { panic("broken") })
	return true
}
