package admission

import (
	"math"
	"time"
)

// Threshold is the value under which a request may not join the queue, since it
// would take the room of one that is worth more. It rises to the value of each
// request that has to go for lack of room and decays as fast as the queue
// drains.
type Threshold struct {
	value float64
	at    time.Time
	decay time.Duration
}

// Raise notes that a request of this value had to go from a queue that drains
// in the given time.
func (t *Threshold) Raise(value float64, drain time.Duration, now time.Time) {
	if value > t.Value(now) {
		*t = Threshold{value: value, at: now, decay: max(drain, time.Millisecond)}
	}
}

// Value returns the threshold; zero turns nothing away.
func (t *Threshold) Value(now time.Time) float64 {
	if t.value <= 0 {
		return 0
	}
	return t.value * math.Exp(-float64(now.Sub(t.at))/float64(t.decay))
}
