package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fulmarrun/admission"
)

// quotaWorld is the traffic of one service at many daemons: requests and retries by
// hundredths of a window.
type quotaWorld struct {
	quota    admission.RetryQuota
	requests []int
	retries  []int
}

const hundredth = 100

// worst returns the most by which a window has passed the bound: requests are counted in
// the window, in the one before it or in the one half a window before it, whichever has
// most.
func (w *quotaWorld) worst() float64 {
	sum := func(counts []int, from int) (total int) {
		for i := max(from, 0); i < min(from+hundredth, len(counts)); i++ {
			total += counts[i]
		}
		return total
	}
	worst := -1e9
	for from := range w.requests {
		most := max(sum(w.requests, from), sum(w.requests, from-hundredth/2), sum(w.requests, from-hundredth))
		worst = max(worst, float64(sum(w.retries, from))-2*w.quota.Ratio*float64(most)-w.quota.Floor)
	}
	return worst
}

// quotaDaemon is one of the daemons, which learns late of those that join.
type quotaDaemon struct {
	budget  admission.RetryBudget
	joined  int
	known   int
	cutFrom int
	cutTo   int
}

// playQuota has so many daemons start together, carry traffic in waves and meet troubles in
// which every request is tried again, with some daemons cut off from others and some added
// late. It returns the most by which a window has passed the bound.
func playQuota(seed uint64, count int, budget func(q admission.RetryQuota, members func() int) admission.RetryBudget) float64 {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	const ticks = 8 * hundredth
	w := &quotaWorld{
		quota:    admission.RetryQuota{Ratio: 0.1, Floor: 2 * float64(count+20), Window: 10 * time.Second},
		requests: make([]int, ticks), retries: make([]int, ticks),
	}
	daemons := make([]*quotaDaemon, count)
	for i := range daemons {
		d := &quotaDaemon{joined: random.IntN(hundredth / 10)}
		if random.IntN(8) == 0 {
			d.joined = random.IntN(ticks)
		}
		if d.cutFrom = ticks; random.IntN(3) == 0 {
			d.cutFrom = random.IntN(ticks)
			d.cutTo = d.cutFrom + random.IntN(2*hundredth)
		}
		d.budget = budget(w.quota, func() int { return d.known })
		daemons[i] = d
	}
	rate := random.Float64() * 3
	for tick := range ticks {
		now := epoch.Add(time.Duration(tick) * w.quota.Window / hundredth)
		alive := 0
		for _, d := range daemons {
			if d.joined <= tick {
				alive++
			}
		}
		trouble := tick/hundredth%2 == 1 || random.IntN(20) == 0
		for _, d := range daemons {
			if d.joined > tick {
				continue
			}
			switch cut := d.cutFrom <= tick && tick < d.cutTo; {
			case cut:
				d.known = 1 + random.IntN(3)
			case tick-d.joined >= 5:
				d.known = alive
			default:
				d.known = 1 + random.IntN(alive)
			}
			for n := random.Float64() * 2 * rate; n > random.Float64(); n-- {
				w.requests[tick]++
				d.budget.RecordRequest(now)
				for trouble && random.IntN(4) > 0 && d.budget.AllowRetry(now) {
					w.retries[tick]++
				}
			}
		}
	}
	return w.worst()
}

// TestQuota checks that all daemons together keep to the bound on retries, whatever their
// number, what they know of each other and when trouble comes. The floor divided by a number
// that is assumed, with retries saved up at each, does not.
func TestQuota(t *testing.T) {
	mine := func(q admission.RetryQuota, members func() int) admission.RetryBudget {
		return admission.NewRetryBudget(admission.WithRetryQuota(q), admission.WithMemberCount(members))
	}
	assumed := func(q admission.RetryQuota, _ func() int) admission.RetryBudget {
		return admission.NewRetryBudget(admission.WithRetryRatio(q.Ratio), admission.WithRetryFloor(q.Floor/q.Window.Seconds()/64))
	}
	for _, count := range []int{1, 10, 195, 1000} {
		passed := -1e9
		for seed := range uint64(5) {
			if over := playQuota(seed, count, mine); over > 0 {
				t.Errorf("%d daemons, seed %d: %.1f retries over the bound", count, seed, over)
			}
			passed = max(passed, playQuota(seed, count, assumed))
		}
		if count >= 195 && passed <= 0 {
			t.Errorf("%d daemons: an assumed number passes no bound: the oracle is blind", count)
		}
		t.Logf("%d daemons: an assumed number passes the bound by %.0f", count, passed)
	}
}

// TestQuotaIsUsed checks that a daemon that knows the others has its part of the floor and
// of its own requests.
func TestQuotaIsUsed(t *testing.T) {
	q := admission.RetryQuota{Ratio: 0.1, Floor: 50, Window: 10 * time.Second}
	b := admission.NewRetryBudget(admission.WithRetryQuota(q), admission.WithMemberCount(func() int { return 10 }))
	b.RecordRequest(epoch)
	now := epoch.Add(q.Window)
	for range 200 {
		b.RecordRequest(now)
	}
	retries := 0
	for b.AllowRetry(now) {
		retries++
	}
	if retries != 25 {
		t.Errorf("%d retries, want 20 of the requests and 5 of the floor", retries)
	}
	if now = now.Add(2 * q.Window); !b.AllowRetry(now) {
		t.Error("none two windows later")
	}
}
