package logs

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// reservedOneIn determines the share of request IDs, one in so many, whose lines have a
// reserved limit in addition to the shared one. All processes select the same IDs, so
// that under load, too, the lines of all processes about such a request are logged.
const reservedOneIn = 16

// Sampler limits the rate of log lines about requests, separately for each event. It is
// safe for concurrent use.
type Sampler struct {
	perSecond int

	mu     sync.Mutex
	limits map[string]*eventLimits
}

type eventLimits struct {
	shared, reserved *Limit
}

// NewSampler returns a Sampler that allows perSecond lines of each event per second, and
// as many again for request IDs with a reserved limit.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond, limits: make(map[string]*eventLimits)}
}

// Allow reports whether a line of the event about the request with the ID may be logged.
// If ok is true, hidden is the number of lines that the same limit did not allow since
// the last one that it did.
func (s *Sampler) Allow(event, id string) (hidden uint64, ok bool) {
	l := s.limitsFor(event)
	if xxhash.Sum64String(id)%reservedOneIn == 0 {
		if hidden, ok = l.reserved.Allow(); ok {
			return hidden, true
		}
	}
	return l.shared.Allow()
}

func (s *Sampler) limitsFor(event string) *eventLimits {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limits[event]
	if l == nil {
		l = &eventLimits{shared: NewLimit(s.perSecond), reserved: NewLimit(s.perSecond)}
		s.limits[event] = l
	}
	return l
}
