package daemon

import "sync"

// doubts reports that answers of the store that are still awaited may be lost. It is safe for
// concurrent use.
type doubts struct {
	mu sync.Mutex
	// next is closed at the next doubt; nil while nobody waits for it.
	next chan struct{}
}

// raise closes the channel that wait has returned.
func (d *doubts) raise() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next != nil {
		close(d.next)
		d.next = nil
	}
}

// wait returns a channel that is closed at the next doubt.
func (d *doubts) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next == nil {
		d.next = make(chan struct{})
	}
	return d.next
}

// StoreDoubted returns a channel that is closed once a call that waits for the store may have
// been lost: the store has left a call of this daemon unserved, or the daemon has lost its
// lease, and with it the peers that would tell of such a loss.
func (d *Daemon) StoreDoubted() <-chan struct{} { return d.storeDoubts.wait() }

// Isolated reports whether the daemon has lost its lease, so that peers may not notify it. It
// returns false before the first lease.
func (d *Daemon) Isolated() bool { return d.leased.Load() && !d.server.HasLease() }
