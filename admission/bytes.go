package admission

// WithMaxBytes is a functional option that bounds the sum of Ticket.Bytes of the requests
// in flight, for targets that crash when the requests that they hold exceed their memory.
// A request that exceeds the bound by itself is admitted when nothing else is in flight.
// Zero bounds nothing.
func WithMaxBytes(limit int64) Option {
	return func(s *settings) { s.maxBytes = limit }
}

// byteBound counts the body sizes of the requests in flight. A limit of zero bounds
// nothing.
type byteBound struct {
	limit    int64
	inFlight int64
}

// fits reports whether a request of this size may start beside the given number of others.
func (b *byteBound) fits(size int64, others int) bool {
	return b.limit <= 0 || others == 0 || size <= b.limit-b.inFlight
}

// fits reports whether the byte bound allows a request to start now.
func (c *Core) fits(t *Ticket) bool {
	return c.bytes.fits(t.Bytes, c.reserve.InFlight())
}

// parallel returns how many requests are expected to run at once while the queue drains:
// the limit, or what is in flight if the next request has to wait for bytes.
func (c *Core) parallel(limit int) int {
	if next := c.urgent.Peek(); next != nil && !c.fits(&next.Ticket) {
		limit = min(limit, c.reserve.InFlight())
	}
	return max(limit, 1)
}

// byteFilter selects the next waiting request within the byte bound. A request that does
// not fit holds back those behind it, so that large requests are not passed over for
// ever. Small requests may pass, which can use half of the bound at most. Deeper calls may
// also pass, since requests in flight may wait for them.
type byteFilter struct {
	blocked  bool
	maxDepth uint8
}

// smallBytes returns the size up to which requests may pass one that does not fit: half of
// an equal share of the bound.
func (b *byteBound) smallBytes(limit int) int64 {
	return b.limit / int64(2*max(limit, 1))
}

// allows reports whether a request may start; requests are given in the order of service.
func (f *byteFilter) allows(c *Core, t *Ticket, limit int) bool {
	if f.blocked && t.Depth <= f.maxDepth && t.Bytes > c.bytes.smallBytes(limit) {
		return false
	}
	if c.fits(t) {
		return true
	}
	f.blocked, f.maxDepth = true, max(f.maxDepth, t.Depth)
	return false
}
