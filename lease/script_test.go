package lease_test

import (
	"time"

	"fulmarrun/wire"
)

// script is a run with given witness sets and given faults, for mutations that
// random faults find too rarely. Daemon 0, whose clock is slow, owns the key;
// the others' clocks are fast.
type script struct {
	sets   [daemons][]int // by index
	faults func(w *world)
}

// witnesses returns the set of the daemon at an index: in a script generations
// are numbered from one in the order of the daemons.
func (s *script) witnesses(index int) []wire.Generation {
	set := make([]wire.Generation, 0, len(s.sets[index]))
	for _, i := range s.sets[index] {
		set = append(set, wire.Generation(i+1))
	}
	return set
}

// cutPairs cuts both ways between the daemons of each pair.
func (w *world) cutPairs(pairs ...[2]int) {
	for _, pair := range pairs {
		w.cut[pair[0]][pair[1]], w.cut[pair[1]][pair[0]] = true, true
	}
}

// closedWitness lets witness 2 of the owner be closed while the owner and it
// still hear each other and cannot see the table.
func closedWitness() *script {
	return &script{
		sets: [daemons][]int{{1, 2, 3}, {3}, {1, 3, 4}, {1}, {3}},
		faults: func(w *world) {
			w.cutPairs([2]int{2, 1}, [2]int{2, 3}, [2]int{2, 4}, [2]int{0, 1})
			w.cutOff[0], w.cutOff[2] = true, true
		},
	}
}

// closedByClosed is the same with a witness 2 whose closing rests on the
// closing of daemon 4, which still supports it.
func closedByClosed() *script {
	return &script{
		sets: [daemons][]int{{1, 2, 3}, {3}, {1, 4, 0}, {1}, {1, 3, 0}},
		faults: func(w *world) {
			w.cutPairs([2]int{4, 1}, [2]int{4, 3}, [2]int{4, 0}, [2]int{1, 2}, [2]int{1, 0})
			w.cutOff[0], w.cutOff[2], w.cutOff[4] = true, true, true
		},
	}
}

// lateMove crashes the owner while its move of the key is on the way.
func lateMove() *script {
	return &script{
		sets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) {
			w.slow = 3 * time.Second
			w.procs[0].giveTo(5)
			w.slow = 0
			w.procs[0].dead = true
		},
	}
}

// unseenMove crashes the owner after a move that daemon 1, its heir, did not
// read.
func unseenMove() *script {
	return &script{
		sets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) {
			w.noRead[1] = true
			w.procs[0].giveTo(5)
			w.after(100*time.Millisecond, func() { w.procs[0].dead = true })
		},
	}
}

// partition cuts the owner off from all others.
func partition() *script {
	return &script{
		sets:   [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) { w.setCuts(0, true) },
	}
}

// shortPause stops two witnesses of the owner for less than they notice, and
// loses all that it sends afterwards.
func shortPause() *script {
	return &script{
		sets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) {
			until := w.now + 450*time.Millisecond
			w.procs[1].pausedUntil, w.procs[2].pausedUntil = until, until
			w.after(440*time.Millisecond, func() {
				for j := range w.procs {
					w.cut[0][j] = true
				}
			})
		},
	}
}

// freeze stops all traffic for two seconds in an outage of the table.
func freeze() *script {
	return &script{
		sets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) {
			w.down = true
			w.after(500*time.Millisecond, func() { w.cutAll(true) })
			w.after(2500*time.Millisecond, func() { w.cutAll(false) })
		},
	}
}

func (w *world) cutAll(cut bool) {
	for i := range w.procs {
		w.setCuts(i, cut)
	}
}
