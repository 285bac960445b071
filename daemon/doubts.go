package daemon

import "sync"

// doubts tells whoever waits for an answer of the store that this answer may never come.
// It is safe for concurrent use.
type doubts struct {
	mu sync.Mutex
	// next is closed at the next doubt; nil while nobody waits for it.
	next chan struct{}
}

// raise wakes all who wait.
func (s *doubts) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// wait returns a channel that is closed at the next doubt.
func (s *doubts) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// StoreDoubted returns a channel that is closed once a call that waits for the store may have
// been lost: the store has left a call of this daemon unserved, or the daemon has lost its
// lease, and with it the peers that would tell of such a loss.
func (d *Daemon) StoreDoubted() <-chan struct{} { return d.storeDoubts.wait() }

// Isolated reports whether the daemon has lost its lease, because too few peers answer it. It
// returns false before the first lease.
func (d *Daemon) Isolated() bool { return d.leased.Load() && !d.server.HasLease() }
