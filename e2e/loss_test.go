package e2e_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"fulmarrun/operator"
	"fulmarrun/platformstub"
)

var (
	lossKills  = flag.Int("loss.kills", 2, "number of losses in TestLoss; CI uses 2")
	lossSeed   = flag.Uint64("loss.seed", 1, "random seed of TestLoss")
	lossChecks = flag.Bool("loss.checks", true, "whether targets of TestLoss check grants")
	lossFault  = flag.String("loss.fault", "kill", "kill, domain (kill of a whole failure domain), freeze (for 3 s) or outage (kill 5 s into a platform outage of 10 s)")
)

const (
	lossInstances = 6
	// lossFreeze is how long the fault freeze stops a daemon.
	lossFreeze = 3 * time.Second
	// lossOutage is the duration of the platform outage of the fault outage.
	lossOutage = 10 * time.Second
	// probeInterval is the time between two requests of the same probe.
	probeInterval = 20 * time.Millisecond
	// probeTimeout fails the test if a key is still not served that long after a loss.
	probeTimeout = 60 * time.Second
)

// probe is a kind of request; TestLoss measures how long after a loss each kind is
// answered again.
type probe struct {
	name   string
	method string
	newID  func() string
}

// probes returns a repeatable read, and requests that must never run twice under an ID
// that the first daemon creates and under one that the caller supplies.
func probes() []probe {
	return []probe{
		{"read", http.MethodGet, newID},
		{"never, ID of ingress", http.MethodPost, func() string { return "" }},
		{"never, ID of caller", http.MethodPost, newID},
	}
}

// TestLoss measures how long requests for a key are not answered after the loss of its
// owner.
func TestLoss(t *testing.T) {
	d := deployTraced(t, lossInstances, *lossChecks)
	d.awaitServing()
	l := d.startLoad(8, 40*time.Millisecond, *lossSeed)
	random := rand.New(rand.NewPCG(*lossSeed, 0))
	times := make(map[string][]time.Duration)
	for n := range *lossKills {
		d.awaitBalanced()
		key := fmt.Sprint(random.IntN(200))
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		victim := d.owner(key)
		for name, took := range d.loseAndProbe(victim, key) {
			times[name] = append(times[name], took)
			t.Logf("%d: %s of %s, key %s: %s after %s", n, *lossFault, victim.name, key, name, took.Round(time.Millisecond))
		}
	}
	d.awaitSettled()
	l.end()
	t.Logf("%s: %s", *lossFault, d.audit())
	for _, p := range probes() {
		logPercentiles(t, p.name, times[p.name])
	}
}

// logPercentiles logs the distribution of the recovery times of a probe.
func logPercentiles(t *testing.T, name string, times []time.Duration) {
	t.Helper()
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	quantile := func(share float64) time.Duration {
		return times[min(len(times)-1, int(share*float64(len(times))))].Round(time.Millisecond)
	}
	slow := 0
	for _, took := range times {
		if took > 2*time.Second {
			slow++
		}
	}
	t.Logf("%s: n=%d p50=%s p90=%s p99=%s max=%s, over 2s: %d", name, len(times), quantile(0.5), quantile(0.9), quantile(0.99), quantile(1), slow)
}

// loseAndProbe applies the configured fault to an instance and returns for each probe
// the time from the fault to the first answer.
func (d *deployment) loseAndProbe(victim *instance, key string) map[string]time.Duration {
	d.t.Helper()
	if *lossFault == "outage" {
		d.setFaults(platformstub.Faults{Outage: true})
		time.Sleep(lossOutage / 2)
	}
	lost := []*instance{victim}
	if *lossFault == "domain" {
		lost = d.inDomain(victim.domain)
	}
	start := time.Now()
	var wg sync.WaitGroup
	switch *lossFault {
	case "freeze":
		victim.daemon.signal(syscall.SIGSTOP)
		wg.Go(func() { time.Sleep(lossFreeze); victim.daemon.signal(syscall.SIGCONT) })
	case "outage":
		victim.kill()
		wg.Go(func() { time.Sleep(lossOutage / 2); d.setFaults(platformstub.Faults{}) })
	default:
		var kills sync.WaitGroup
		for _, i := range lost {
			kills.Go(i.kill)
		}
		kills.Wait()
	}
	out := make(map[string]time.Duration)
	var mu sync.Mutex
	for _, p := range probes() {
		wg.Go(func() {
			took := d.awaitProbeServed(p, d.other(lost...), key, start)
			mu.Lock()
			defer mu.Unlock()
			out[p.name] = took
		})
	}
	wg.Wait()
	if *lossFault != "freeze" {
		for _, i := range lost {
			d.startInstance(i)
		}
	}
	return out
}

// inDomain returns the instances in a failure domain.
func (d *deployment) inDomain(domain string) (out []*instance) {
	for _, i := range d.instances {
		if i.domain == domain {
			out = append(out, i)
		}
	}
	return out
}

// awaitProbeServed sends probes for a key at a fixed rate, and returns the time from
// start to the first answer.
func (d *deployment) awaitProbeServed(p probe, via *instance, key string, start time.Time) time.Duration {
	d.t.Helper()
	answered := make(chan time.Time, int(probeTimeout/probeInterval)+1)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	limit := time.After(probeTimeout)
	for {
		go func() {
			if d.trace.send(via, p.method, "/agenda/visits/"+key, p.newID()).outcome == "answered" {
				answered <- time.Now()
			}
		}()
		select {
		case when := <-answered:
			return when.Sub(start)
		case <-limit:
			d.t.Fatalf("probe %q was not answered within the probe timeout", p.name)
		case <-ticker.C:
		}
	}
}

// awaitSettled waits until all instances are active, hold a lease and own slots.
func (d *deployment) awaitSettled() {
	d.t.Helper()
	d.awaitShares(configSlots)
}

// awaitBalanced is like awaitSettled, and waits until the numbers of slots that the
// instances own differ by at most one.
func (d *deployment) awaitBalanced() {
	d.t.Helper()
	d.awaitShares(1)
}

// awaitShares is like awaitSettled, and waits until the numbers of slots that the
// instances own differ by at most spread.
func (d *deployment) awaitShares(spread int) {
	d.t.Helper()
	waitUntil(d.t, 60*time.Second, "all instances are active, hold a lease and own their share of the slots", func() bool {
		status, err := d.status(d.instances[0])
		if err != nil || len(status.Silent) > 0 || len(status.Instances) != len(d.instances) {
			return false
		}
		least, most := configSlots, 0
		for _, i := range status.Instances {
			if i.State != "active" || i.Lease == 0 {
				return false
			}
			least, most = min(least, i.Slots), max(most, i.Slots)
		}
		return least > 0 && most-least <= spread
	})
}

// status asks the daemon of via for the status of all instances.
func (d *deployment) status(via *instance) (operator.StatusReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return operator.NewClient(netip.MustParseAddrPort(via.operatorAddr)).Status(ctx)
}
