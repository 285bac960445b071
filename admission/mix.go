package admission

import (
	"math"
	"time"
)

// mixShare is the share of recent requests whose priority differs from the most frequent one, as
// a divisor, from which on priorities count as mixed. Rare requests of another priority, such as
// checks of operators, leave nothing to choose.
const mixShare = 20

// WithPriorityPolicy is a functional option that applies WithOverloadPolicy while requests of
// different priorities meet at the target, so that a configuration asks for it by the priorities
// that it gives.
func WithPriorityPolicy() Option {
	return func(s *settings) { s.priorityPolicy = true }
}

// priorityMix counts recent requests by priority, over the current and the previous period of
// servedSeconds.
type priorityMix struct {
	clock             periodClock
	current, previous [math.MaxUint8 + 1]int32
	// mixed is updated once a second.
	mixed     bool
	updatedAt int64
}

// record counts a new request.
func (m *priorityMix) record(priority uint8, now time.Time) {
	for range m.clock.advance(now) {
		m.previous, m.current = m.current, [len(m.current)]int32{}
	}
	m.current[priority]++
	if m.updatedAt != now.Unix() {
		m.updatedAt, m.mixed = now.Unix(), m.isMixed()
	}
}

func (m *priorityMix) isMixed() bool {
	total, most := int32(0), int32(0)
	for i := range m.current {
		count := m.current[i] + m.previous[i]
		total += count
		most = max(most, count)
	}
	return mixShare*(total-most) >= total && total > most
}
