package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/wire"
)

func generations(count int) []wire.Generation {
	all := make([]wire.Generation, count)
	for i := range all {
		all[i] = wire.Generation(i + 1)
	}
	return all
}

func TestBudget(t *testing.T) {
	b := admission.NewRetryBudget(admission.WithRetryRatio(0.1), admission.WithRetryFloor(1))
	now := epoch
	if b.AllowRetry(now) {
		t.Error("retry allowed before any request")
	}
	retries := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		b.RecordRequest(now)
		if b.AllowRetry(now) {
			retries++
		}
	}
	// A tenth of 1000 first tries, and one retry for the second that passed.
	if retries < 99 || retries > 101 {
		t.Errorf("%d retries allowed for 1000 requests", retries)
	}
}

func TestHedge(t *testing.T) {
	h := admission.NewHedge()
	for i := range 1000 {
		if _, ok := h.Delay(1); ok != (i >= 30) {
			t.Fatalf("hedged after %d latencies: %v", i, ok)
		}
		h.Record(time.Duration(i%100) * time.Millisecond)
	}
	delay, ok := h.Delay(1)
	if !ok || delay < 93*time.Millisecond || delay > 97*time.Millisecond {
		t.Errorf("hedge delay %v, hedged %v", delay, ok)
	}
	if _, ok := h.Delay(2); ok {
		t.Error("hedged at too high a cost")
	}
	fast := admission.NewHedge()
	for range 100 {
		fast.Record(100 * time.Microsecond)
	}
	if delay, _ := fast.Delay(1); delay != time.Millisecond {
		t.Errorf("hedge delay %v for fast responses", delay)
	}
}

// checkPool sends random messages to a Pool. It must pick only members that are not
// excluded, pick one if there is one, and eject no more than its maximum share.
func checkPool(seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 5))
	p := admission.NewPool(admission.WithSeed(seed))
	now, members := epoch, generations(1+random.IntN(8))
	p.SetMembers(members, now)
	for range 1000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		exclude := generations(random.IntN(len(members) + 1))
		picked, ok := p.Pick(now, exclude...)
		if ok != (len(exclude) < len(members)) {
			return fmt.Errorf("picked %v with %d of %d excluded", ok, len(exclude), len(members))
		}
		if ok && (int(picked) <= len(exclude) || int(picked) > len(members)) {
			return fmt.Errorf("picked %d with %d of %d excluded", picked, len(exclude), len(members))
		}
		if ejected := p.Ejected(now); float64(ejected) > 0.34*float64(len(members)) {
			return fmt.Errorf("%d of %d ejected", ejected, len(members))
		}
		p.Start(picked, now)
		latency := time.Duration(random.IntN(20)) * time.Millisecond * time.Duration(picked)
		p.Done(picked, admission.Completion{Latency: latency, Result: admission.Result(random.IntN(4))}, now)
	}
	return nil
}

func TestPoolPicksMembers(t *testing.T) {
	expectHolds(t, 50, checkPool)
}

func TestPoolEjectsAndReinstates(t *testing.T) {
	p := admission.NewPool()
	now := epoch
	members := generations(4)
	p.SetMembers(members, now)
	answerAll := func(straggler wire.Generation) {
		for _, g := range members {
			latency := 10 * time.Millisecond
			if g == straggler {
				latency *= 10
			}
			p.Start(g, now)
			p.Done(g, admission.Completion{Latency: latency}, now)
		}
		now = now.Add(10 * time.Millisecond)
	}
	count := func(g wire.Generation) int {
		count := 0
		for range 1000 {
			if picked, _ := p.Pick(now); picked == g {
				count++
			}
		}
		return count
	}
	for range 20 {
		answerAll(2)
	}
	if p.Ejected(now) != 1 || count(2) != 0 {
		t.Errorf("straggler not ejected: %d ejected, picked %d times", p.Ejected(now), count(2))
	}
	now = now.Add(1100 * time.Millisecond)
	if p.Ejected(now) != 0 {
		t.Error("straggler not reinstated after the ejection")
	}
	for range 600 {
		answerAll(0)
	}
	if n := count(2); n < 150 {
		t.Errorf("picked %d of 1000 times after it was reinstated", n)
	}
	for range 20 {
		answerAll(2)
	}
	now = now.Add(1100 * time.Millisecond)
	if p.Ejected(now) != 1 {
		t.Error("the second ejection was no longer than the first")
	}
}

// TestPoolAvoidsReinstatedStraggler has a straggler ejected and picks members after it
// was reinstated.
func TestPoolAvoidsReinstatedStraggler(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		// newLatency is the latency of a response that the member gave since it was
		// reinstated; zero if it gave none.
		newLatency time.Duration
		avoided    bool
	}{
		"no new response":     {6 * time.Second, 0, true},
		"fast again":          {6 * time.Second, 10 * time.Millisecond, false},
		"still slow":          {6 * time.Second, 100 * time.Millisecond, true},
		"measurement expired": {11 * time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := admission.NewPool()
			now := epoch
			p.SetMembers(generations(4), now)
			answer := func(g wire.Generation, latency time.Duration) {
				p.Start(g, now)
				p.Done(g, admission.Completion{Latency: latency}, now)
			}
			for range 5 {
				for g := range wire.Generation(4) {
					answer(g+1, 10*time.Millisecond)
				}
			}
			for p.Ejected(now) == 0 {
				answer(2, 100*time.Millisecond)
			}
			now = now.Add(c.after)
			for g := range wire.Generation(4) {
				if g+1 != 2 {
					answer(g+1, 10*time.Millisecond)
				}
			}
			if c.newLatency > 0 {
				answer(2, c.newLatency)
			}
			picked := 0
			for range 1000 {
				if g, _ := p.Pick(now); g == 2 {
					picked++
				}
			}
			if (picked == 0) != c.avoided {
				t.Errorf("straggler picked %d of 1000 times", picked)
			}
		})
	}
}

func BenchmarkPoolPick(b *testing.B) {
	p := admission.NewPool()
	p.SetMembers(generations(6), epoch)
	exclude := wire.Generation(3)
	b.ReportAllocs()
	for b.Loop() {
		g, _ := p.Pick(epoch, exclude)
		p.Start(g, epoch)
		p.Done(g, admission.Completion{Latency: time.Millisecond}, epoch)
	}
}
