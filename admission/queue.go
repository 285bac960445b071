package admission

import (
	"math"
	"sort"
	"time"
)

// defaultQueue is the maximum number of waiting requests of one class.
const defaultQueue = 512

// WithQueue is a functional option that sets the maximum number of waiting requests of
// one class.
func WithQueue(size int) Option {
	return func(s *settings) { s.queue = size }
}

// WithOrder is a functional option that sets the order in which waiting requests are
// admitted.
func WithOrder(order Order) Option {
	return func(s *settings) { s.order = order }
}

// Waiter is a request in a Queue.
type Waiter struct {
	Ticket
	// ID numbers the waiting requests in order of arrival.
	ID uint64
	// expiry is Ticket.expiry in nanoseconds of Unix time, or the maximum if there is
	// none.
	expiry int64
	// kind and team are the records of an overload policy; nil without one, and team
	// also if the request has none.
	kind *kindRecord
	team *teamRecord
	// latest and deadline are LatestStart and Deadline in nanoseconds of Unix time, and
	// left is the time to the deadline on arrival; the maximum if there is none. They are
	// set by an overload policy.
	latest   int64
	deadline int64
	left     int64
}

// Order reports whether a goes before b. Requests that are equal in the order go in
// order of arrival.
type Order func(a, b *Waiter) bool

// EarliestDeadline is the Order by due time: requests without one come last.
func EarliestDeadline(a, b *Waiter) bool {
	x, y := a.due(), b.due()
	if x.IsZero() || y.IsZero() {
		return y.IsZero() && !x.IsZero()
	}
	return x.Before(y)
}

// FIFO is the order of arrival.
func FIFO(_, _ *Waiter) bool {
	return false
}

// LIFO is the reverse order of arrival. Without overload hardly any request waits, so
// that it makes no difference then.
func LIFO(a, b *Waiter) bool {
	return a.ID > b.ID
}

// Queue holds waiting requests in an Order.
type Queue struct {
	order Order
	// waiters is sorted so that the next request is the last element.
	waiters []Waiter
}

// NewQueue returns an empty Queue.
func NewQueue(order Order) Queue {
	return Queue{order: order}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.waiters)
}

// Ahead returns the number of requests that go before w.
func (q *Queue) Ahead(w *Waiter) int {
	return len(q.waiters) - q.position(w)
}

// Push adds a request.
func (q *Queue) Push(w Waiter) {
	w.expiry = math.MaxInt64
	if expiry := w.Ticket.expiry(); !expiry.IsZero() {
		w.expiry = expiry.UnixNano()
	}
	i := q.position(&w)
	q.waiters = append(q.waiters, Waiter{})
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = w
}

// Peek returns the request that goes before all others, or nil.
func (q *Queue) Peek() *Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return &q.waiters[len(q.waiters)-1]
}

// PopFirst removes and returns the first request that satisfies ready.
func (q *Queue) PopFirst(ready func(*Waiter) bool) (Waiter, bool) {
	for i := len(q.waiters) - 1; i >= 0; i-- {
		if ready(&q.waiters[i]) {
			return q.removeAt(i), true
		}
	}
	return Waiter{}, false
}

// NextToDrop returns the request to drop if some request would expire when, from start
// on, one request leaves the queue in each interval. If the first request that would
// expire has a due time, that one is dropped, because those ahead of it are more
// urgent; otherwise the newest request up to it is.
func (q *Queue) NextToDrop(start time.Time, interval time.Duration) (id uint64, ok bool) {
	newest := uint64(0)
	at := start.UnixNano()
	for i := len(q.waiters) - 1; i >= 0; i-- {
		w := &q.waiters[i]
		newest = max(newest, w.ID)
		at += int64(interval)
		if at > w.expiry {
			if !w.Due.IsZero() {
				return w.ID, true
			}
			return newest, true
		}
	}
	return 0, false
}

// Remove removes the request with this ID.
func (q *Queue) Remove(id uint64) (Waiter, bool) {
	for i := range q.waiters {
		if q.waiters[i].ID == id {
			return q.removeAt(i), true
		}
	}
	return Waiter{}, false
}

// Find returns the request with this ID, or nil.
func (q *Queue) Find(id uint64) *Waiter {
	for i := range q.waiters {
		if q.waiters[i].ID == id {
			return &q.waiters[i]
		}
	}
	return nil
}

// position returns the index at which w belongs.
func (q *Queue) position(w *Waiter) int {
	return sort.Search(len(q.waiters), func(i int) bool {
		return q.before(&q.waiters[i], w)
	})
}

func (q *Queue) before(a, b *Waiter) bool {
	if q.order(a, b) {
		return true
	}
	return !q.order(b, a) && a.ID < b.ID
}

func (q *Queue) removeAt(i int) Waiter {
	w := q.waiters[i]
	copy(q.waiters[i:], q.waiters[i+1:])
	q.waiters = q.waiters[:len(q.waiters)-1]
	return w
}
