package admission

import "time"

// Slot identifies one admitted request. The zero Slot identifies none.
type Slot struct {
	index uint32
	// sequence distinguishes successive uses of the same index.
	sequence uint32
}

// inFlightRequest is the state of one request in flight.
type inFlightRequest struct {
	sequence uint32
	taken    bool
	depth    uint8
	bytes    int64
	// kind and team are nil without an overload policy; team also if there is none.
	kind       *kindRecord
	team       *teamRecord
	startState StartState
	admittedAt time.Time
}

// slots holds the requests in flight. A released slot is reused with the next sequence
// number.
type slots struct {
	requests []inFlightRequest
	free     []uint32
}

// take assigns a slot to a request.
func (s *slots) take(o inFlightRequest) Slot {
	if len(s.free) == 0 {
		s.free = append(s.free, uint32(len(s.requests)))
		s.requests = append(s.requests, inFlightRequest{})
	}
	index := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	o.taken, o.sequence = true, s.requests[index].sequence+1
	s.requests[index] = o
	return Slot{index: index, sequence: o.sequence}
}

// release frees a slot; false if it was released before.
func (s *slots) release(slot Slot) (inFlightRequest, bool) {
	if int(slot.index) >= len(s.requests) {
		return inFlightRequest{}, false
	}
	o := &s.requests[slot.index]
	if !o.taken || o.sequence != slot.sequence {
		return inFlightRequest{}, false
	}
	o.taken = false
	s.free = append(s.free, slot.index)
	return *o, true
}
