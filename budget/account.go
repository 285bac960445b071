package budget

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// ClientCost is the memory that a connection takes by itself, in bytes: its buffers, and the
	// stacks of two goroutines.
	ClientCost = 16 << 10

	// RequestCost is the memory that a request takes by itself while it is served, in bytes.
	RequestCost = 16 << 10

	// defaultMemory is the memory of an account in bytes, defaultClients the number of its clients.
	defaultMemory  = 64 << 20
	defaultClients = 1000
	// evictDivisor sets how many clients are evicted at once to make room for another one: the most
	// that there may be, divided by this. Choosing them looks at all.
	evictDivisor = 64
	// plentyDivisor sets up to which part of the memory there is plenty.
	plentyDivisor = 2
)

// Option configures an Account.
type Option func(*Account)

// WithMemory is a functional option that sets the memory for all clients together, in bytes.
func WithMemory(bytes int64) Option {
	return func(a *Account) { a.memory = bytes }
}

// WithClients is a functional option that sets how many clients there may be.
func WithClients(n int) Option {
	return func(a *Account) { a.maxClients = n }
}

// Account is what the clients of a process may use.
type Account struct {
	memory     int64
	maxClients int

	mu   sync.Mutex
	used int64
	// clients are those that are not kept.
	clients map[*Client]struct{}
	evicted uint64
	refused uint64
}

// NewAccount returns an Account without clients.
func NewAccount(opts ...Option) *Account {
	a := &Account{memory: defaultMemory, maxClients: defaultClients, clients: make(map[*Client]struct{})}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Stats are the counters of an Account.
type Stats struct {
	// Clients is the number of clients, Used the memory that is charged to them, in bytes.
	Clients int
	Used    int64
	// Evicted counts the clients that were evicted, Refused the reservations that failed.
	Evicted, Refused uint64
}

// Stats returns the current counters.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{Clients: len(a.clients), Used: a.used, Evicted: a.evicted, Refused: a.refused}
}

// Open adds a client that the process waits for. evict is called if it is evicted, from any goroutine; it
// must not block. Open returns nil if there is no room.
func (a *Account) Open(now time.Time, evict func()) *Client {
	c := &Client{account: a, evict: evict, since: now}
	a.mu.Lock()
	var victims []*Client
	if len(a.clients) >= a.maxClients {
		victims = a.longestWaiting(now)
	}
	ok := len(a.clients)-len(victims) < a.maxClients
	if ok {
		a.remove(victims)
		more, room := a.makeRoom(now, nil, ClientCost)
		ok, victims = room, append(victims, more...)
	}
	if ok {
		a.clients[c] = struct{}{}
		c.held = ClientCost
		a.used += ClientCost
	} else {
		a.refused++
	}
	a.mu.Unlock()
	evictAll(victims)
	if !ok {
		return nil
	}
	return c
}

// Plenty reports whether half of the memory or more is free, so that requests may be served side by side
// that could also be served one after the other.
func (a *Account) Plenty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used <= a.memory/plentyDivisor
}

// Evict evicts the clients that the process has waited for longest.
func (a *Account) Evict(now time.Time) {
	a.mu.Lock()
	victims := a.longestWaiting(now)
	a.remove(victims)
	a.mu.Unlock()
	evictAll(victims)
}

// longestWaiting returns the clients that the process has waited for longest, up to a part of all. The
// caller holds the lock.
func (a *Account) longestWaiting(now time.Time) []*Client {
	waiting := a.waiting(nil, func(c *Client) float64 { return now.Sub(c.since).Seconds() })
	return waiting[:min(len(waiting), max(1, a.maxClients/evictDivisor))]
}

// waiting returns the clients that may be evicted, other than one, those of the highest rank first. The
// caller holds the lock.
func (a *Account) waiting(other *Client, rank func(*Client) float64) []*Client {
	type ranked struct {
		client *Client
		rank   float64
	}
	all := make([]ranked, 0, len(a.clients))
	for c := range a.clients {
		if c != other && c.serving == 0 {
			all = append(all, ranked{c, rank(c)})
		}
	}
	slices.SortFunc(all, func(x, y ranked) int { return cmp.Compare(y.rank, x.rank) })
	out := make([]*Client, len(all))
	for i, r := range all {
		out[i] = r.client
	}
	return out
}

// makeRoom evicts the clients that have held most for longest until there is room for n bytes. It
// evicts none, and reports false, if that makes no room. The caller holds the lock, and calls evictAll
// without it.
func (a *Account) makeRoom(now time.Time, reserving *Client, n int64) (victims []*Client, ok bool) {
	missing := a.used + n - a.memory
	if missing <= 0 {
		return nil, true
	}
	waiting := a.waiting(reserving, func(c *Client) float64 { return float64(c.held) * now.Sub(c.since).Seconds() })
	freed := int64(0)
	for i, c := range waiting {
		if freed += c.held; freed >= missing {
			a.remove(waiting[:i+1])
			return waiting[:i+1], true
		}
	}
	return nil, false
}

// remove removes evicted clients. The caller holds the lock.
func (a *Account) remove(victims []*Client) {
	for _, c := range victims {
		a.evicted++
		a.drop(c)
	}
}

// drop removes a client. The caller holds the lock.
func (a *Account) drop(c *Client) {
	delete(a.clients, c)
	a.used -= c.held
	c.held, c.gone = 0, true
}

func evictAll(victims []*Client) {
	for _, c := range victims {
		c.evict()
	}
}
