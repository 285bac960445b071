package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarrun/quarantine"
	"fulmarrun/wire"
)

// simulation plays targets of one service, a ledger beside each, in steps of a millisecond. Copies of a
// deadly request come at random targets; the requests of others are sent again after each loss, to a
// random target that is up, a few times in all. One of them is popular.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	nodes   []*simNode
	pending []*simRequest
	news    []simNews
	// crashes counts the targets that the deadly request has crashed, after shutOutAt those that it
	// has crashed since it was shut out at all ledgers.
	crashes, crashesShutOut int
	shutOut                 bool
	// innocentsShutOut counts refusals of requests that crash nothing.
	innocentsShutOut int
}

type simNode struct {
	ledger  *quarantine.Ledger
	target  *quarantine.Target
	life    int
	upAt    time.Time
	running []*simRequest
}

type simRequest struct {
	path   string
	deadly bool
	tries  int
	endsAt time.Time
}

// simNews is on its way to a ledger.
type simNews struct {
	at       time.Time
	to       *simNode
	suspects []wire.Suspect
}

func newSimulation(seed uint64, targets int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 39)), now: start}
	for range targets {
		l := quarantine.NewLedger()
		s.nodes = append(s.nodes, &simNode{ledger: l, target: quarantine.NewTarget(l)})
	}
	return s
}

// spread sends what has changed at a ledger to all others, each with a delay of its own.
func (s *simulation) spread(changed []wire.Suspect) {
	if len(changed) == 0 {
		return
	}
	for _, n := range s.nodes {
		s.news = append(s.news, simNews{at: s.now.Add(time.Duration(1+s.rng.IntN(8)) * time.Millisecond), to: n, suspects: changed})
	}
}

func (s *simulation) step(work time.Duration) {
	s.now = s.now.Add(time.Millisecond)
	news := s.news
	s.news = nil
	for _, n := range news {
		if n.at.After(s.now) {
			s.news = append(s.news, n)
			continue
		}
		n.to.ledger.Merge(s.now, n.suspects)
	}
	pending := s.pending
	s.pending = nil
	for _, r := range pending {
		s.send(r, work)
	}
	for _, n := range s.nodes {
		s.finish(n)
	}
}

// send gives a request to a random target that is up, or lets it wait for a millisecond.
func (s *simulation) send(r *simRequest, work time.Duration) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if s.now.Before(n.upAt) {
		if !r.deadly {
			s.pending = append(s.pending, r)
		}
		return
	}
	wait, v := n.target.Enter(s.now, fingerprintOf(r.path))
	switch {
	case v.ShutOut():
		if !r.deadly {
			s.innocentsShutOut++
		}
	case wait != nil:
		s.pending = append(s.pending, r)
	default:
		r.endsAt = s.now.Add(work/2 + time.Duration(s.rng.Int64N(int64(work))))
		n.running = append(n.running, r)
	}
}

// finish ends the requests of a target whose work is done, or the target if one of them is deadly.
func (s *simulation) finish(n *simNode) {
	var running []*simRequest
	for _, r := range n.running {
		if r.endsAt.After(s.now) {
			running = append(running, r)
			continue
		}
		if r.deadly {
			s.crash(n)
			return
		}
		n.target.Leave(fingerprintOf(r.path))
		s.spread(n.ledger.Answered(s.now, fingerprintOf(r.path)))
	}
	n.running = running
}

func (s *simulation) crash(n *simNode) {
	s.crashes++
	if s.shutOut {
		s.crashesShutOut++
	}
	process := fmt.Sprintf("%p/%d", n, n.life)
	for _, r := range n.running {
		f := fingerprintOf(r.path)
		n.target.Lost(s.now, f, process)
		n.target.Leave(f)
		if r.tries++; !r.deadly && r.tries < 6 {
			s.pending = append(s.pending, r)
		}
	}
	lost, others := n.target.Ended(s.now, process)
	s.spread(n.ledger.Accuse(s.now, process, lost, others))
	n.running, n.upAt, n.life = nil, s.now.Add(3*time.Second), n.life+1
}

// TestInnocentShutOut plays a deadly request beside others, and checks that it is shut out at all
// targets, and that no other request ever is: not one that was at work at several crashes, and not a
// popular one.
func TestInnocentShutOut(t *testing.T) {
	for seed := range uint64(60) {
		targets := 3 + int(seed%4)
		s := newSimulation(seed, targets)
		work := time.Duration(40+20*(seed%10)) * time.Millisecond
		for i := range 12000 {
			if i%(20+int(seed)) == 0 && i > 2000 {
				s.pending = append(s.pending, &simRequest{path: "deadly", deadly: true})
			}
			if i%5 == 0 {
				s.pending = append(s.pending, &simRequest{path: fmt.Sprint(i)})
			}
			if i%25 == 0 {
				s.pending = append(s.pending, &simRequest{path: "popular"})
			}
			s.step(work)
			shutOut := true
			for _, n := range s.nodes {
				shutOut = shutOut && n.ledger.Verdict(s.now, fingerprintOf("deadly")).ShutOut()
			}
			atWork := false
			for _, n := range s.nodes {
				for _, r := range n.running {
					atWork = atWork || r.deadly
				}
			}
			s.shutOut = s.shutOut || shutOut && !atWork
		}
		if !s.shutOut || s.crashesShutOut > 0 || s.innocentsShutOut > 0 {
			t.Errorf("seed %d, %d targets: shut out %t, %d crashes, %d after that, %d refusals of others",
				seed, targets, s.shutOut, s.crashes, s.crashesShutOut, s.innocentsShutOut)
		}
		if s.crashes > 2*targets {
			t.Errorf("seed %d, %d targets: %d crashes before the request was shut out", seed, targets, s.crashes)
		}
	}
}
