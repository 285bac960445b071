package owner

import (
	"context"

	"fulmarrun/handover"
	"fulmarrun/outcome"
)

// queueContext ends when the unit of a queued request is about to change hands.
// It costs nothing to a request that is admitted at once, since only one that
// waits asks for Done. It belongs to one goroutine.
type queueContext struct {
	context.Context
	units *handover.Units
	unit  outcome.Unit

	queue context.Context
	stop  func()
}

// Done returns a channel that is closed when the wait is over.
func (q *queueContext) Done() <-chan struct{} {
	if q.queue == nil {
		queue, cancel := context.WithCancel(q.Context)
		forget := q.units.OnFreeze(q.unit, cancel)
		q.queue, q.stop = queue, func() {
			forget()
			cancel()
		}
	}
	return q.queue.Done()
}

// Err returns why the wait is over.
func (q *queueContext) Err() error {
	if q.queue != nil {
		return q.queue.Err()
	}
	return q.Context.Err()
}

// end frees what Done has taken, and tells whether the request was recalled.
func (q *queueContext) end() (recalled bool) {
	if q.queue == nil {
		return false
	}
	recalled = q.queue.Err() != nil && q.Context.Err() == nil
	q.stop()
	return recalled
}
