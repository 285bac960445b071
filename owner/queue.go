package owner

import (
	"context"

	"fulmarrun/handover"
	"fulmarrun/outcome"
)

// queueContext is cancelled when the unit of a queued request is about to be handed
// over. It costs nothing for a request that is admitted at once, since only a
// request that waits calls Done. It is not safe for concurrent use.
type queueContext struct {
	context.Context
	units *handover.Units
	unit  outcome.Unit

	queue context.Context
	stop  func()
}

// Done returns a channel that is closed when the request must stop waiting.
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

// Err returns why the request must stop waiting.
func (q *queueContext) Err() error {
	if q.queue != nil {
		return q.queue.Err()
	}
	return q.Context.Err()
}

// end releases the resources of Done and reports whether the request was recalled.
func (q *queueContext) end() (recalled bool) {
	if q.queue == nil {
		return false
	}
	recalled = q.queue.Err() != nil && q.Context.Err() == nil
	q.stop()
	return recalled
}
