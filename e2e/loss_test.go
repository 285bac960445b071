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
	lossKills  = flag.Int("loss.kills", 2, "losses in TestLoss; CI takes 2")
	lossSeed   = flag.Uint64("loss.seed", 1, "seed of TestLoss")
	lossChecks = flag.Bool("loss.checks", true, "targets of TestLoss check grants")
	lossFault  = flag.String("loss.fault", "kill", "kill, domain (kill of a whole failure domain), freeze (3 s) or outage (kill within 10 s of outage)")
)

const (
	lossInstances = 6
	lossFreeze    = 3 * time.Second
	lossOutage    = 10 * time.Second
	// probeGap is the time between two probes of a kind.
	probeGap = 20 * time.Millisecond
	// probeLimit ends a loss after which a key is never served again.
	probeLimit = 60 * time.Second
)

// probe is a kind of request whose service after a loss is measured.
type probe struct {
	name   string
	method string
	id     func() string
}

func probes() []probe {
	return []probe{
		{"read", http.MethodGet, newID},
		{"never, ID of ingress", http.MethodPost, func() string { return "" }},
		{"never, ID of caller", http.MethodPost, newID},
	}
}

// TestLoss measures how long a key is not served after its owner was lost.
func TestLoss(t *testing.T) {
	d := deployTraced(t, lossInstances, *lossChecks)
	d.serving()
	l := d.spread(8, 40*time.Millisecond, *lossSeed)
	random := rand.New(rand.NewPCG(*lossSeed, 0))
	times := make(map[string][]time.Duration)
	for n := range *lossKills {
		d.balanced()
		key := fmt.Sprint(random.IntN(200))
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		victim := d.owner(key)
		for name, took := range d.lose(victim, key) {
			times[name] = append(times[name], took)
			t.Logf("%d: %s of %s, key %s: %s after %s", n, *lossFault, victim.name, key, name, took.Round(time.Millisecond))
		}
	}
	d.settled()
	l.end()
	t.Logf("%s: %s", *lossFault, d.audit())
	for _, p := range probes() {
		report(t, p.name, times[p.name])
	}
}

func report(t *testing.T, name string, times []time.Duration) {
	t.Helper()
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	at := func(share float64) time.Duration {
		return times[min(len(times)-1, int(share*float64(len(times))))].Round(time.Millisecond)
	}
	over := 0
	for _, took := range times {
		if took > 2*time.Second {
			over++
		}
	}
	t.Logf("%s: n=%d p50=%s p90=%s p99=%s max=%s, over 2s: %d", name, len(times), at(0.5), at(0.9), at(0.99), at(1), over)
}

// lose loses an instance and returns for each probe when it was answered again,
// counted from the loss.
func (d *deployment) lose(victim *instance, key string) map[string]time.Duration {
	d.t.Helper()
	if *lossFault == "outage" {
		d.faults(platformstub.Faults{Outage: true})
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
		wg.Go(func() { time.Sleep(lossOutage / 2); d.faults(platformstub.Faults{}) })
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
			took := d.served(p, d.other(lost...), key, start)
			mu.Lock()
			defer mu.Unlock()
			out[p.name] = took
		})
	}
	wg.Wait()
	if *lossFault != "freeze" {
		for _, i := range lost {
			d.launch(i)
		}
	}
	return out
}

func (d *deployment) inDomain(domain string) (out []*instance) {
	for _, i := range d.instances {
		if i.domain == domain {
			out = append(out, i)
		}
	}
	return out
}

// served probes a key at a steady rate and returns when the first answer came.
func (d *deployment) served(p probe, at *instance, key string, start time.Time) time.Duration {
	d.t.Helper()
	answered := make(chan time.Time, int(probeLimit/probeGap)+1)
	ticker := time.NewTicker(probeGap)
	defer ticker.Stop()
	limit := time.After(probeLimit)
	for {
		go func() {
			if d.trace.ask(at, p.method, "/agenda/visits/"+key, p.id()).outcome == "answered" {
				answered <- time.Now()
			}
		}()
		select {
		case when := <-answered:
			return when.Sub(start)
		case <-limit:
			d.t.Fatalf("%s was not served again", p.name)
		case <-ticker.C:
		}
	}
}

// settled waits until all instances are active, hold a lease and own slots.
func (d *deployment) settled() {
	d.t.Helper()
	d.awaitShares(fileSlots)
}

// balanced is settled, with an equal share of the slots each.
func (d *deployment) balanced() {
	d.t.Helper()
	d.awaitShares(1)
}

// awaitShares is settled, with shares of slots that differ by at most spread.
func (d *deployment) awaitShares(spread int) {
	d.t.Helper()
	until(d.t, 60*time.Second, "all instances are settled", func() bool {
		status, err := d.status(d.instances[0])
		if err != nil || len(status.Silent) > 0 || len(status.Instances) != len(d.instances) {
			return false
		}
		least, most := fileSlots, 0
		for _, i := range status.Instances {
			if i.State != "active" || i.Lease == 0 {
				return false
			}
			least, most = min(least, i.Slots), max(most, i.Slots)
		}
		return least > 0 && most-least <= spread
	})
}

// status asks an instance for the status of all.
func (d *deployment) status(at *instance) (operator.StatusReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return operator.NewClient(netip.MustParseAddrPort(at.operator)).Status(ctx)
}
