package logs

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// markedShare is the part of all request IDs, one in so many, whose lines have room
// of their own. Each process chooses the same IDs, so that the lines of all processes
// about such a request are there also under load.
const markedShare = 16

// Sampler bounds the lines about requests, each event apart. It is safe for
// concurrent use.
type Sampler struct {
	perSecond int

	mu     sync.Mutex
	limits map[string]*eventLimits
}

type eventLimits struct {
	any, marked *Limit
}

// NewSampler returns a Sampler that lets so many lines of each event pass in a
// second, and as many again about marked IDs.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond, limits: make(map[string]*eventLimits)}
}

// Allow reports whether a line of the event about the request may be logged, and how
// many were not since the last one that was.
func (s *Sampler) Allow(event, id string) (hidden uint64, ok bool) {
	l := s.of(event)
	if xxhash.Sum64String(id)%markedShare == 0 {
		if hidden, ok = l.marked.Allow(); ok {
			return hidden, true
		}
	}
	return l.any.Allow()
}

func (s *Sampler) of(event string) *eventLimits {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limits[event]
	if l == nil {
		l = &eventLimits{any: NewLimit(s.perSecond), marked: NewLimit(s.perSecond)}
		s.limits[event] = l
	}
	return l
}
