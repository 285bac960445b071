package daemon

import "context"

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
