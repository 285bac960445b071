package pipeline

import (
	"net/http"
	"slices"
)

// pipelinedRequest is a request that was read ahead of net/http.
type pipelinedRequest struct {
	size int64
	// call is nil if the request was not started early.
	call *call
	// safe is true if other requests may be started while this one is served.
	safe bool
}

// readAheadFull reports whether a limit of the requests or bytes that are read ahead is
// reached. The caller must hold c.mu.
func (c *Conn) readAheadFull() bool {
	return len(c.queued) >= c.ingress.config.maxPipelined || len(c.received) >= c.ingress.config.maxReadAhead
}

// handOverNext selects the first queued request as the next one to pass to net/http.
// The caller must hold c.mu.
func (c *Conn) handOverNext() {
	first := c.queued[0]
	c.handedOver, c.queued = append(c.handedOver, first), c.queued[1:]
	c.remaining = first.size
}

// parseReceived parses the requests that have arrived, and starts those that may be
// started early. It stops at the first incomplete one. The caller must hold c.mu.
func (c *Conn) parseReceived() {
	for c.parsed < int64(len(c.received)) && len(c.queued) < c.ingress.config.maxPipelined {
		data := c.received[c.parsed:]
		h, status := c.ingress.config.read(data)
		if status == incomplete {
			return
		}
		if status == unsupported {
			// The requests that are queued before it are still passed on one by one.
			c.passThrough = len(c.queued) == 0
			return
		}
		c.parsed += h.size
		c.enqueue(&h)
	}
}

// enqueue queues a request that has arrived, and starts it early if it may be.
// Requests run concurrently only if all of them are safe. The first one that arrives
// while none is served is not started early, since net/http is about to serve it
// anyway. The caller must hold c.mu.
func (c *Conn) enqueue(h *head) {
	p := pipelinedRequest{size: h.size, safe: !h.hasBody && c.ingress.config.mayStartEarly(h.request)}
	behind := c.busy() || len(c.queued) > 0
	if behind && p.safe && c.allSafe() && !c.closing && c.ctx.Err() == nil {
		p.call = c.startEarly(h.request)
	}
	c.queued = append(c.queued, p)
	c.closing = c.closing || h.closes
}

// allSafe reports whether all unanswered requests that were received before are safe.
// The caller must hold c.mu.
func (c *Conn) allSafe() bool {
	unsafe := func(p pipelinedRequest) bool { return !p.safe }
	return (!c.serving || c.current.safe) && !slices.ContainsFunc(slices.Concat(c.handedOver, c.queued), unsafe)
}

// startEarly runs the handler for a request with a recorder.
func (c *Conn) startEarly(r *http.Request) *call {
	r.RemoteAddr = c.RemoteAddr().String()
	early := &call{request: r.WithContext(c.ctx), done: make(chan struct{})}
	c.ingress.early.Add(1)
	go early.run(c.ingress)
	return early
}

// startServing notes that net/http serves a request, and returns its call if it was
// started early.
func (c *Conn) startServing(r *http.Request) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.current = true, pipelinedRequest{}
	if len(c.handedOver) == 0 {
		return nil
	}
	early := c.handedOver[0].call
	if early != nil && !c.ingress.config.sameRequest(early.request, r) {
		// net/http parsed another request than this package did: the two found
		// different ends of a request before it.
		c.cancel()
		c.fallBack()
		return nil
	}
	c.current, c.handedOver = c.handedOver[0], c.handedOver[1:]
	return early
}

// finishServing notes that the current request is answered.
func (c *Conn) finishServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
}

// mayClose reports whether an answer may close the connection, which it may not if
// requests behind it have been started. If it may, no further request is started early.
func (c *Conn) mayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.ContainsFunc(slices.Concat(c.handedOver, c.queued), func(p pipelinedRequest) bool { return p.call != nil }) {
		return false
	}
	c.closing = true
	return true
}

// fallBack leaves the connection to net/http alone. The requests that were started
// early will not be answered. The caller must hold c.mu.
func (c *Conn) fallBack() {
	for _, p := range slices.Concat(c.handedOver, c.queued) {
		if p.call != nil {
			c.ingress.early.Add(-1)
		}
	}
	c.queued, c.handedOver, c.passThrough = nil, nil, true
}

// busy reports whether net/http has a request that is not answered. That includes
// requests that the handler does not have yet, since net/http may already read in the
// background to detect the end of the connection. The caller must hold c.mu.
func (c *Conn) busy() bool { return c.serving || len(c.handedOver) > 0 }
