package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/control"
	"fulmarrun/daemon"
	"fulmarrun/handover"
	"fulmarrun/targetstub"
)

const (
	calorTico = "../docs/examples/calor-tico.json"
	clepsidra = "../docs/examples/clepsidra.json"
	// measureSeed seeds the choice of keys and of the daemons that receive requests.
	measureSeed = 1
	// workTime is how long a request takes at a target without injected delay.
	workTime = 5 * time.Millisecond
)

// policy is a named set of admission options to compare.
type policy struct {
	name    string
	options []admission.Option
}

// policies returns the default admission policy and weaker ones to compare it with.
func policies() []policy {
	return []policy{
		{"default", nil},
		{"no hedge", []admission.Option{admission.WithMaxHedgeCost(-1)}},
		{"no ejection", []admission.Option{admission.WithMaxEjectShare(0)}},
		{"two choices alone", []admission.Option{admission.WithMaxHedgeCost(-1), admission.WithMaxEjectShare(0)}},
		{"round robin", []admission.Option{admission.WithRoundRobin(), admission.WithMaxHedgeCost(-1), admission.WithMaxEjectShare(0)}},
		{"round robin, fixed limit", []admission.Option{
			admission.WithRoundRobin(), admission.WithMaxHedgeCost(-1), admission.WithMaxEjectShare(0), admission.WithFixedLimit(20),
		}},
	}
}

func (p policy) daemonOption() daemon.Option { return daemon.WithAdmission(p.options...) }

func calorTicoDomains() []string { return []string{"sanjose", "heredia", "cartago"} }

func calorTicoGroups() []group {
	return []group{{"agenda", 4, workTime}, {"despacho", 3, workTime}, {"compras", 3, workTime}}
}

// planRequest returns a read of a random plan of the unkeyed service despacho.
func planRequest(random *rand.Rand) request {
	day := fmt.Sprint(random.IntN(100))
	return request{http.MethodGet, "/despacho/plans/" + day, day}
}

// BenchmarkStraggler measures latency while one target of a service takes 200 ms
// longer than the others, from two seconds after the start.
func BenchmarkStraggler(b *testing.B) {
	for _, p := range policies() {
		b.Run("unkeyed/"+strings.ReplaceAll(p.name, " ", "-"), func(b *testing.B) { measureStraggler(b, p, "despacho", 1, planRequest) })
	}
	for _, p := range []policy{policies()[0], policies()[5]} {
		b.Run("keyed/"+strings.ReplaceAll(p.name, " ", "-"), func(b *testing.B) {
			measureStraggler(b, p, "agenda", 4, func(random *rand.Rand) request {
				visit := fmt.Sprint(random.IntN(500))
				return request{http.MethodGet, "/agenda/visits/" + visit, visit}
			})
		})
	}
}

// measureStraggler logs a summary for each 10 s window in which one target is slow.
func measureStraggler(b *testing.B, p policy, service string, windows int, next func(*rand.Rand) request) {
	f := startFleet(b, calorTico, calorTicoDomains(), calorTicoGroups(), p.daemonOption())
	for b.Loop() {
		tr := f.startTraffic(5*time.Millisecond, measureSeed, next)
		time.Sleep(2 * time.Second)
		b.Logf("%s, before: %s", p.name, tr.summary())
		tr.reset()
		for _, n := range f.nodes {
			if n.settings.Instance == service+"-1" {
				n.stub.SetFault(targetstub.Fault{Delay: 200 * time.Millisecond})
			}
		}
		for range windows {
			time.Sleep(10 * time.Second)
			b.Logf("%s, one slow target: %s", p.name, tr.summary())
			tr.reset()
		}
		tr.end()
		b.Logf("%s, runs: %v", p.name, f.runTotals(service))
	}
}

// BenchmarkImbalance measures how evenly load is distributed over targets.
func BenchmarkImbalance(b *testing.B) {
	zipf := func(random *rand.Rand) request {
		visit := fmt.Sprint(rand.NewZipf(random, 1.2, 1, 1000).Uint64())
		return request{http.MethodGet, "/agenda/visits/" + visit, visit}
	}
	uniform := func(random *rand.Rand) request {
		visit := fmt.Sprint(random.IntN(5000))
		return request{http.MethodGet, "/agenda/visits/" + visit, visit}
	}
	for _, c := range []struct {
		name    string
		policy  policy
		service string
		next    func(*rand.Rand) request
	}{
		{"unkeyed/default", policies()[0], "despacho", planRequest},
		{"unkeyed/round-robin", policies()[4], "despacho", planRequest},
		{"keyed/uniform", policies()[0], "agenda", uniform},
		{"keyed/zipf-1.2", policies()[0], "agenda", zipf},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := startFleet(b, calorTico, calorTicoDomains(), calorTicoGroups(), c.policy.daemonOption())
			for b.Loop() {
				tr := f.startTraffic(2*time.Millisecond, measureSeed, c.next)
				time.Sleep(8 * time.Second)
				tr.end()
				counts := f.runTotals(c.service)
				b.ReportMetric(imbalance(counts), "max/mean")
				b.Logf("%s: %v; %s", c.name, counts, tr.summary())
			}
		})
	}
}

// imbalance returns the load of the busiest target divided by the mean load.
func imbalance(counts map[string]int) float64 {
	most, sum := 0, 0
	for _, n := range counts {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(len(counts)) / float64(sum)
}

// BenchmarkHotKeys measures how evenly load is distributed over the owners of keys when
// some keys are hot and their owner is busy.
func BenchmarkHotKeys(b *testing.B) {
	for _, p := range []variant{
		{"default", nil},
		{"never-apart", []daemon.Option{daemon.WithHotKeyOptions(handover.WithoutHotKeys())}},
	} {
		b.Run("zipf-1.2/"+p.name, func(b *testing.B) {
			measureHotKeys(b, p, func(*fleet) func(*rand.Rand) request {
				return func(random *rand.Rand) request { return visitRequest(rand.NewZipf(random, 1.2, 1, 1000).Uint64()) }
			})
		})
		b.Run("three-keys-of-one-owner/"+p.name, func(b *testing.B) { measureHotKeys(b, p, threeHotKeys) })
	}
}

// visitRequest returns a read of a visit of the keyed service agenda.
func visitRequest(id any) request {
	key := fmt.Sprint(id)
	return request{http.MethodGet, "/agenda/visits/" + key, key}
}

// threeHotKeys returns a generator that sends 13 of 100 requests to each of three keys of
// one owner, and spreads the others evenly over 5,000 keys.
func threeHotKeys(f *fleet) func(*rand.Rand) request {
	keys := keyPerSlot(1024)
	var hot []string
	owners := f.slotOwners("agenda", keys)
	for slot, h := range owners {
		if h.instance == owners[0].instance && len(hot) < 3 {
			hot = append(hot, keys[slot])
		}
	}
	return func(random *rand.Rand) request {
		if n := random.IntN(100) / 13; n < len(hot) {
			return visitRequest(hot[n])
		}
		return visitRequest(random.IntN(5000))
	}
}

// measureHotKeys sends 1,000 requests a second that take 40 ms each. It reports the first
// 10 s, in which hot keys get separate owners, and the 10 s after that.
func measureHotKeys(b *testing.B, p variant, newGenerator func(*fleet) func(*rand.Rand) request) {
	groups := []group{{"agenda", 4, 8 * workTime}, {"despacho", 3, workTime}, {"compras", 3, workTime}}
	f := startFleet(b, calorTico, calorTicoDomains(), groups, p.options...)
	f.awaitStableOwners("agenda", keyPerSlot(1024))
	for b.Loop() {
		tr := f.startTraffic(time.Millisecond, measureSeed, newGenerator(f))
		before := make(map[string]int)
		for _, window := range []string{"first", "second"} {
			time.Sleep(10 * time.Second)
			counts, now := make(map[string]int), f.runTotals("agenda")
			for instance, n := range now {
				counts[instance] = n - before[instance]
			}
			before = now
			b.ReportMetric(imbalance(counts), window+"-max/mean")
			b.Logf("%s, %s 10 s: max/mean %.3f, %v; %s", p.name, window, imbalance(counts), counts, tr.summary())
			tr.reset()
		}
		tr.end()
	}
}

// BenchmarkChange measures which slots move and what callers see while instances join,
// leave and crash, and a failure domain is taken out of service and returned. It runs
// with reads, and with deposits under caller-supplied IDs.
func BenchmarkChange(b *testing.B) {
	for _, p := range ownershipVariants() {
		b.Run("reads/"+p.name, func(b *testing.B) {
			measureChanges(b, p, group{"atelier-front", 6, workTime}, 2048, http.MethodGet, "/atelier-front/instruments/%s")
		})
		b.Run("deposits/"+p.name, func(b *testing.B) {
			measureChanges(b, p, group{"casierie", 4, workTime}, 512, http.MethodPost, "/casierie/collectors/%s/deposits")
		})
	}
}

// variant is a named set of daemon options to compare.
type variant struct {
	name    string
	options []daemon.Option
}

// ownershipVariants returns the default way to assign slots and alternatives to it.
func ownershipVariants() []variant {
	modulo := daemon.WithControl(control.WithPlan(handover.PlanModulo))
	return []variant{
		{"default", nil},
		{"modulo", []daemon.Option{modulo}},
		{"no-wait", []daemon.Option{daemon.WithoutWait()}},
	}
}

// measureChanges applies each kind of change in turn to a fleet and measures it.
func measureChanges(b *testing.B, p variant, g group, slots uint32, method, path string) {
	f := startFleet(b, clepsidra, []string{"cluj-a", "cluj-b", "cluj-c"},
		[]group{{"atelier-front", 6, workTime}, {"casierie", 4, workTime}, {"banc-lucru", 3, workTime}}, p.options...)
	keys := keyPerSlot(slots)
	f.awaitStableOwners(g.service, keys)
	domainOut := strings.Replace(f.text, `"out": []`, `"out": ["cluj-b"]`, 1)
	domainIn := f.text
	// Each of 40 keys is requested every 100 ms.
	sent := 0
	next := func(*rand.Rand) request {
		sent++
		key := fmt.Sprint(sent % 40)
		return request{method, fmt.Sprintf(path, key), key}
	}
	var joined *node
	for b.Loop() {
		for _, e := range []struct {
			name string
			do   func()
		}{
			{"join", func() { joined = f.addNode(g) }},
			{"leave", func() { f.leave(joined) }},
			{"join again", func() { joined = f.addNode(g) }},
			{"loss", func() { f.crash(joined) }},
			{"cluj-b is taken out", func() { f.apply(domainOut) }},
			{"cluj-b returns", func() { f.apply(domainIn) }},
		} {
			measureChange(b, f, g.service, keys, p.name+", "+e.name, e.do, next)
		}
	}
}

// measureChange applies one change under traffic, and logs which slots moved and what
// callers saw.
func measureChange(b *testing.B, f *fleet, service string, keys []string, name string, do func(), next func(*rand.Rand) request) {
	b.Helper()
	before := f.slotOwners(service, keys)
	slotsBefore := make(map[string]int)
	for _, h := range before {
		slotsBefore[h.instance]++
	}
	// The callers know only the instances that ran from the start.
	initial := *f
	initial.nodes = f.nodes[:13]
	tr := initial.startTraffic(2500*time.Microsecond, measureSeed, next)
	time.Sleep(time.Second)
	tr.reset()
	start := time.Now()
	do()
	f.awaitBalanced()
	took := time.Since(start)
	time.Sleep(time.Second)
	summary, gap := tr.summary(), tr.longestGap()
	tr.end()
	after := f.awaitStableOwners(service, keys)
	moved, changes := compareOwners(before, after)
	slotsAfter := make(map[string]int)
	for _, h := range after {
		slotsAfter[h.instance]++
	}
	leastMoves := 0
	for instance, n := range slotsBefore {
		leastMoves += max(0, n-slotsAfter[instance])
	}
	b.Logf("%s: balanced after %s; slots moved %d, changes of owner %d, minimum of moves %d; %s; longest gap of a key %s, keys unavailable for %s in total",
		name, took.Round(time.Millisecond), moved, changes, leastMoves, summary, gap, tr.unavailable().Round(time.Millisecond))
}
