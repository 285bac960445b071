package budget

import "time"

// Client is one client of a process. Its methods have no effect once it is evicted or closed. A nil
// Client is one that nothing is charged to.
type Client struct {
	account *Account
	evict   func()

	// The fields below are guarded by the lock of the account.
	//
	// held is the memory that is charged to the client, in bytes.
	held int64
	// serving counts the requests of the client that the process serves; while there are none it waits
	// for the client, since the time in since.
	serving int
	since   time.Time
	gone    bool
}

// Reserve charges memory to the client, in bytes. It reports false if there is no room, or if the
// client has been evicted.
func (c *Client) Reserve(now time.Time, n int64) bool {
	if c == nil {
		return true
	}
	a := c.account
	a.mu.Lock()
	if c.gone {
		a.mu.Unlock()
		return false
	}
	victims, ok := a.makeRoom(now, c, n)
	if ok {
		c.held += n
		a.used += n
	} else {
		a.refused++
	}
	a.mu.Unlock()
	evictAll(victims)
	return ok
}

// Charge charges memory to the client, in bytes, that is in use already. It evicts others if there is no
// room.
func (c *Client) Charge(now time.Time, n int64) {
	if c == nil || c.Reserve(now, n) {
		return
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.gone {
		c.held += n
		a.used += n
	}
}

// Release returns memory that was charged, in bytes.
func (c *Client) Release(n int64) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.gone {
		return
	}
	n = min(n, c.held)
	c.held -= n
	c.account.used -= n
}

// Serve records that the process serves a request of the client, which is not evicted until Wait.
func (c *Client) Serve() {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.serving++
}

// Wait ends a call of Serve: the process waits for the client to read its answer, or to send its next
// request.
func (c *Client) Wait(now time.Time) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.serving--; c.serving == 0 {
		c.since = now
	}
}

// Keep makes the client one that is never evicted, and that no longer counts as a connection. What is
// charged to it later counts.
func (c *Client) Keep() {
	if c == nil {
		return
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.clients[c]; !ok {
		return
	}
	delete(a.clients, c)
	a.used -= ClientCost
	c.held -= ClientCost
}

// Close removes the client and returns all that is charged to it.
func (c *Client) Close() {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.drop(c)
}
