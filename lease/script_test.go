package lease_test

import (
	"time"

	"fulmarrun/wire"
)

// script is a run with fixed witness sets and faults, for injected faults that random
// runs detect too rarely. Daemon 0, whose clock is slow, owns the key; the clocks of the
// others are fast.
type script struct {
	witnessSets [daemons][]int // by index of the daemon
	faults      func(w *world)
}

// witnesses returns the witness set of the daemon at index: in a script, generations are
// numbered from one in the order of the daemons.
func (s *script) witnesses(index int) []wire.Generation {
	set := make([]wire.Generation, 0, len(s.witnessSets[index]))
	for _, i := range s.witnessSets[index] {
		set = append(set, wire.Generation(i+1))
	}
	return set
}

// cutPairs cuts the connection between the daemons of each pair in both directions.
func (w *world) cutPairs(pairs ...[2]int) {
	for _, pair := range pairs {
		w.cut[pair[0]][pair[1]], w.cut[pair[1]][pair[0]] = true, true
	}
}

// closedWitnessScript causes witness 2 of the owner to be closed while it and the owner
// still exchange messages and neither can access the table.
func closedWitnessScript() *script {
	return &script{
		witnessSets: [daemons][]int{{1, 2, 3}, {3}, {1, 3, 4}, {1}, {3}},
		faults: func(w *world) {
			w.cutPairs([2]int{2, 1}, [2]int{2, 3}, [2]int{2, 4}, [2]int{0, 1})
			w.storeCutOff[0], w.storeCutOff[2] = true, true
		},
	}
}

// closedByClosedScript is like closedWitnessScript, but witness 2 is closed on the basis
// of the closing of daemon 4, which still supports it.
func closedByClosedScript() *script {
	return &script{
		witnessSets: [daemons][]int{{1, 2, 3}, {3}, {1, 4, 0}, {1}, {1, 3, 0}},
		faults: func(w *world) {
			w.cutPairs([2]int{4, 1}, [2]int{4, 3}, [2]int{4, 0}, [2]int{1, 2}, [2]int{1, 0})
			w.storeCutOff[0], w.storeCutOff[2], w.storeCutOff[4] = true, true, true
		},
	}
}

// lateMoveScript crashes the owner while its move of the key is in transit.
func lateMoveScript() *script {
	return &script{
		witnessSets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) {
			w.storeDelay = 3 * time.Second
			w.procs[0].moveSlotTo(5)
			w.storeDelay = 0
			w.procs[0].dead = true
		},
	}
}

// unseenMoveScript crashes the owner after a move that its heir, daemon 1, has not read.
func unseenMoveScript() *script {
	return &script{
		witnessSets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) {
			w.readsLost[1] = true
			w.procs[0].moveSlotTo(5)
			w.schedule(100*time.Millisecond, func() { w.procs[0].dead = true })
		},
	}
}

// partitionScript partitions the owner from all other daemons.
func partitionScript() *script {
	return &script{
		witnessSets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults:      func(w *world) { w.setIsolated(0, true) },
	}
}

// shortPauseScript pauses two witnesses of the owner for less than their pause threshold,
// and drops everything that the owner sends afterwards.
func shortPauseScript() *script {
	return &script{
		witnessSets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) {
			until := w.now + 450*time.Millisecond
			w.procs[1].pausedUntil, w.procs[2].pausedUntil = until, until
			w.schedule(440*time.Millisecond, func() {
				for j := range w.procs {
					w.cut[0][j] = true
				}
			})
		},
	}
}

// networkFreezeScript drops all traffic for two seconds during an outage of the table.
func networkFreezeScript() *script {
	return &script{
		witnessSets: [daemons][]int{{1, 2, 3}, {2, 3, 4}, {1, 3, 4}, {1, 2, 4}, {1, 2, 3}},
		faults: func(w *world) {
			w.storeDown = true
			w.schedule(500*time.Millisecond, func() { w.setAllIsolated(true) })
			w.schedule(2500*time.Millisecond, func() { w.setAllIsolated(false) })
		},
	}
}

func (w *world) setAllIsolated(cut bool) {
	for i := range w.procs {
		w.setIsolated(i, cut)
	}
}
