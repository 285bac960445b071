package outcome

// chunkSize is the number of records per allocation.
const chunkSize = 256

// slab allocates records in chunks that never move in memory, and reuses freed
// records.
type slab struct {
	chunks []*[chunkSize]record
	free   []index
	used   index
}

func (s *slab) at(i index) *record {
	return &s.chunks[(i-1)/chunkSize][(i-1)%chunkSize]
}

func (s *slab) alloc() index {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		return i
	}
	if int(s.used) == len(s.chunks)*chunkSize {
		s.chunks = append(s.chunks, new([chunkSize]record))
	}
	s.used++
	return s.used
}

func (s *slab) release(i index) {
	*s.at(i) = record{}
	s.free = append(s.free, i)
}

// list is a linked list of records in the order of insertion.
type list struct {
	first, last index
	// oldestHeld is the first record whose answer has not been freed.
	oldestHeld index
}

func (l *list) push(s *slab, i index) {
	r := s.at(i)
	r.previous, r.next = l.last, 0
	if l.last != 0 {
		s.at(l.last).next = i
	} else {
		l.first = i
	}
	l.last = i
	if l.oldestHeld == 0 {
		l.oldestHeld = i
	}
}

func (l *list) remove(s *slab, i index) {
	r := s.at(i)
	if l.oldestHeld == i {
		l.oldestHeld = r.next
	}
	if r.previous != 0 {
		s.at(r.previous).next = r.next
	} else {
		l.first = r.next
	}
	if r.next != 0 {
		s.at(r.next).previous = r.previous
	} else {
		l.last = r.previous
	}
}
