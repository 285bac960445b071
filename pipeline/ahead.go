package pipeline

import (
	"net/http"
	"slices"
)

// pending is a request that has arrived behind another.
type pending struct {
	size int64
	// call is nil if the request was not begun.
	call *call
	// safe tells that others may be begun while it is served.
	safe bool
}

// full tells whether nothing more is read ahead; the lock is held.
func (c *Conn) full() bool {
	return len(c.waiting) >= c.ingress.set.calls || len(c.received) >= c.ingress.set.bytes
}

// next begins to hand over the first request that waits; the lock is held.
func (c *Conn) next() {
	first := c.waiting[0]
	c.handed, c.waiting = append(c.handed, first), c.waiting[1:]
	c.left = first.size
}

// parse looks at the requests that have arrived, and begins those that may be; the lock
// is held. It stops at the first that is not there whole.
func (c *Conn) parse() {
	for c.parsed < int64(len(c.received)) && len(c.waiting) < c.ingress.set.calls {
		data := c.received[c.parsed:]
		h, v := c.ingress.set.read(data)
		if v == partial {
			return
		}
		if v == odd {
			// What waits before it is still handed over one by one.
			c.plain = len(c.waiting) == 0
			return
		}
		c.parsed += h.size
		c.add(&h)
	}
}

// add notes a request that has arrived, and runs it if it may be run before its turn;
// the lock is held. Requests run side by side only if all of them are safe, and the
// first while none is served is about to be served anyway.
func (c *Conn) add(h *head) {
	p := pending{size: h.size, safe: !h.body && c.ingress.set.ahead(h.request)}
	behind := c.busy() || len(c.waiting) > 0
	if behind && p.safe && c.allSafe() && !c.closing && c.ctx.Err() == nil {
		p.call = c.begin(h.request)
	}
	c.waiting = append(c.waiting, p)
	c.closing = c.closing || h.last
}

// allSafe tells whether all requests that were received before are safe; the lock is
// held.
func (c *Conn) allSafe() bool {
	unsafe := func(p pending) bool { return !p.safe }
	return (!c.serving || c.served.safe) && !slices.ContainsFunc(slices.Concat(c.handed, c.waiting), unsafe)
}

func (c *Conn) begin(r *http.Request) *call {
	r.RemoteAddr = c.RemoteAddr().String()
	begun := &call{request: r.WithContext(c.ctx), done: make(chan struct{})}
	c.ingress.begun.Add(1)
	go begun.run(c.ingress.next)
	return begun
}

// enter notes that a request is served, and returns its call if it was begun.
func (c *Conn) enter(r *http.Request) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.served = true, pending{}
	if len(c.handed) == 0 {
		return nil
	}
	begun := c.handed[0].call
	if begun != nil && !c.ingress.set.same(begun.request, r) {
		// net/http has found another end than this package did.
		c.ended()
		c.forget()
		return nil
	}
	c.served, c.handed = c.handed[0], c.handed[1:]
	return begun
}

// leave notes that the handler has answered.
func (c *Conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
}

// mayClose tells whether an answer may close the connection: not while requests behind
// it have been begun. If it may, none is begun any more.
func (c *Conn) mayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.ContainsFunc(slices.Concat(c.handed, c.waiting), func(p pending) bool { return p.call != nil }) {
		return false
	}
	c.closing = true
	return true
}

// forget leaves the connection to net/http: what was begun will not be answered. The
// lock is held.
func (c *Conn) forget() {
	for _, p := range slices.Concat(c.handed, c.waiting) {
		if p.call != nil {
			c.ingress.begun.Add(-1)
		}
	}
	c.waiting, c.handed, c.plain = nil, nil, true
}

// busy tells whether net/http has a request that is not answered; the lock is held. Its
// reader may look for the end of the connection before the handler has the request.
func (c *Conn) busy() bool { return c.serving || len(c.handed) > 0 }
