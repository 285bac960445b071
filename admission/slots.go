package admission

import "time"

// Slot stands for one admitted request. The zero Slot stands for none.
type Slot struct {
	index uint32
	turn  uint32
}

// occupant is what the Core keeps of one request in flight.
type occupant struct {
	turn  uint32
	busy  bool
	depth uint8
	began Began
	at    time.Time
}

// slots holds the requests in flight. A slot that was given back is used again
// for another turn.
type slots struct {
	occupants []occupant
	vacant    []uint32
}

// take finds a slot for a request.
func (s *slots) take(o occupant) Slot {
	if len(s.vacant) == 0 {
		s.vacant = append(s.vacant, uint32(len(s.occupants)))
		s.occupants = append(s.occupants, occupant{})
	}
	index := s.vacant[len(s.vacant)-1]
	s.vacant = s.vacant[:len(s.vacant)-1]
	o.busy, o.turn = true, s.occupants[index].turn+1
	s.occupants[index] = o
	return Slot{index: index, turn: o.turn}
}

// release gives a slot back; false if that was done before.
func (s *slots) release(slot Slot) (occupant, bool) {
	if int(slot.index) >= len(s.occupants) {
		return occupant{}, false
	}
	o := &s.occupants[slot.index]
	if !o.busy || o.turn != slot.turn {
		return occupant{}, false
	}
	o.busy = false
	s.vacant = append(s.vacant, slot.index)
	return *o, true
}
