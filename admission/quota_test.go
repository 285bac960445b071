package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fulmarrun/admission"
)

// quotaTraffic is the traffic of one service at many daemons: requests and retries in
// each hundredth of a window.
type quotaTraffic struct {
	quota    admission.RetryQuota
	requests []int
	retries  []int
}

const ticksPerWindow = 100

// worstExcess returns the highest excess of retries over the bound in any window. The
// requests are those in the window, in the one before it or in the one half a window
// before it, whichever are most.
func (w *quotaTraffic) worstExcess() float64 {
	sum := func(counts []int, from int) (total int) {
		for i := max(from, 0); i < min(from+ticksPerWindow, len(counts)); i++ {
			total += counts[i]
		}
		return total
	}
	worstExcess := -1e9
	for from := range w.requests {
		most := max(sum(w.requests, from), sum(w.requests, from-ticksPerWindow/2), sum(w.requests, from-ticksPerWindow))
		worstExcess = max(worstExcess, float64(sum(w.retries, from))-2*w.quota.Ratio*float64(most)-w.quota.Floor)
	}
	return worstExcess
}

// quotaDaemon is one of the daemons. It learns of daemons that join with a delay.
type quotaDaemon struct {
	budget       admission.RetryBudget
	joined       int
	knownMembers int
	isolatedFrom int
	isolatedTo   int
}

// simulateQuota starts count daemons together with varying traffic and outages in which
// every request is retried; some daemons are partitioned from others and some join
// late. It returns the highest excess over the bound in any window.
func simulateQuota(seed uint64, count int, budget func(q admission.RetryQuota, members func() int) admission.RetryBudget) float64 {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	const ticks = 8 * ticksPerWindow
	w := &quotaTraffic{
		quota:    admission.RetryQuota{Ratio: 0.1, Floor: 2 * float64(count+20), Window: 10 * time.Second},
		requests: make([]int, ticks), retries: make([]int, ticks),
	}
	daemons := make([]*quotaDaemon, count)
	for i := range daemons {
		d := &quotaDaemon{joined: random.IntN(ticksPerWindow / 10)}
		if random.IntN(8) == 0 {
			d.joined = random.IntN(ticks)
		}
		if d.isolatedFrom = ticks; random.IntN(3) == 0 {
			d.isolatedFrom = random.IntN(ticks)
			d.isolatedTo = d.isolatedFrom + random.IntN(2*ticksPerWindow)
		}
		d.budget = budget(w.quota, func() int { return d.knownMembers })
		daemons[i] = d
	}
	rate := random.Float64() * 3
	for tick := range ticks {
		now := epoch.Add(time.Duration(tick) * w.quota.Window / ticksPerWindow)
		alive := 0
		for _, d := range daemons {
			if d.joined <= tick {
				alive++
			}
		}
		outage := tick/ticksPerWindow%2 == 1 || random.IntN(20) == 0
		for _, d := range daemons {
			if d.joined > tick {
				continue
			}
			switch isolated := d.isolatedFrom <= tick && tick < d.isolatedTo; {
			case isolated:
				d.knownMembers = 1 + random.IntN(3)
			case tick-d.joined >= 5:
				d.knownMembers = alive
			default:
				d.knownMembers = 1 + random.IntN(alive)
			}
			for n := random.Float64() * 2 * rate; n > random.Float64(); n-- {
				w.requests[tick]++
				d.budget.RecordRequest(now)
				for outage && random.IntN(4) > 0 && d.budget.AllowRetry(now) {
					w.retries[tick]++
				}
			}
		}
	}
	return w.worstExcess()
}

// TestQuota checks that all daemons together respect the bound on retries, whatever
// their number, what they know of each other and when outages happen. A Floor that is
// divided by an assumed number of daemons, with accumulated retries at each, does not
// respect it.
func TestQuota(t *testing.T) {
	quotaBudget := func(q admission.RetryQuota, members func() int) admission.RetryBudget {
		return admission.NewRetryBudget(admission.WithRetryQuota(q), admission.WithMemberCount(members))
	}
	assumedBudget := func(q admission.RetryQuota, _ func() int) admission.RetryBudget {
		return admission.NewRetryBudget(admission.WithRetryRatio(q.Ratio), admission.WithRetryFloor(q.Floor/q.Window.Seconds()/64))
	}
	for _, count := range []int{1, 10, 195, 1000} {
		worstAssumed := -1e9
		for seed := range uint64(5) {
			if over := simulateQuota(seed, count, quotaBudget); over > 0 {
				t.Errorf("%d daemons, seed %d: %.1f retries above the bound", count, seed, over)
			}
			worstAssumed = max(worstAssumed, simulateQuota(seed, count, assumedBudget))
		}
		if count >= 195 && worstAssumed <= 0 {
			t.Errorf("%d daemons: a budget for an assumed number of daemons stays within the bound, so the oracle detects nothing", count)
		}
		t.Logf("%d daemons: a budget for an assumed number of daemons exceeds the bound by %.0f", count, worstAssumed)
	}
}

// TestQuotaIsUsed checks that a daemon that knows the others can use its share of
// RetryQuota.Floor and the retries for its own requests.
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
		t.Errorf("%d retries, want 20 for the requests and 5 from the floor", retries)
	}
	if now = now.Add(2 * q.Window); !b.AllowRetry(now) {
		t.Error("no retry allowed two windows later")
	}
}
