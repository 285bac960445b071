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
	// measureSeed chooses keys and the daemons that are asked.
	measureSeed = 1
	// work is how long a request takes at a target that is not a straggler.
	work = 5 * time.Millisecond
)

// policy is a choice of options of the same code.
type policy struct {
	name    string
	options []admission.Option
}

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

func (p policy) option() daemon.Option { return daemon.WithAdmission(p.options...) }

func calorTicoDomains() []string { return []string{"sanjose", "heredia", "cartago"} }

func calorTicoGangs() []gang {
	return []gang{{"agenda", 4, work}, {"despacho", 3, work}, {"compras", 3, work}}
}

func plan(random *rand.Rand) shot {
	day := fmt.Sprint(random.IntN(100))
	return shot{http.MethodGet, "/despacho/plans/" + day, day}
}

// BenchmarkStraggler measures latency while one target of a service takes 200 ms
// longer, from two seconds after the start.
func BenchmarkStraggler(b *testing.B) {
	for _, p := range policies() {
		b.Run("unkeyed/"+strings.ReplaceAll(p.name, " ", "-"), func(b *testing.B) { straggle(b, p, "despacho", 1, plan) })
	}
	for _, p := range []policy{policies()[0], policies()[5]} {
		b.Run("keyed/"+strings.ReplaceAll(p.name, " ", "-"), func(b *testing.B) {
			straggle(b, p, "agenda", 4, func(random *rand.Rand) shot {
				visit := fmt.Sprint(random.IntN(500))
				return shot{http.MethodGet, "/agenda/visits/" + visit, visit}
			})
		})
	}
}

// straggle reports one line for each 10 s in which the target straggles.
func straggle(b *testing.B, p policy, service string, windows int, next func(*rand.Rand) shot) {
	f := assemble(b, calorTico, calorTicoDomains(), calorTicoGangs(), p.option())
	for b.Loop() {
		tr := f.traffic(5*time.Millisecond, measureSeed, next)
		time.Sleep(2 * time.Second)
		b.Logf("%s, before: %s", p.name, tr.line())
		tr.reset()
		for _, n := range f.nodes {
			if n.settings.Instance == service+"-1" {
				n.stub.SetFault(targetstub.Fault{Delay: 200 * time.Millisecond})
			}
		}
		for range windows {
			time.Sleep(10 * time.Second)
			b.Logf("%s, one straggles: %s", p.name, tr.line())
			tr.reset()
		}
		tr.end()
		b.Logf("%s, runs: %v", p.name, f.total(service))
	}
}

// BenchmarkImbalance measures how even the load of targets is.
func BenchmarkImbalance(b *testing.B) {
	zipf := func(random *rand.Rand) shot {
		visit := fmt.Sprint(rand.NewZipf(random, 1.2, 1, 1000).Uint64())
		return shot{http.MethodGet, "/agenda/visits/" + visit, visit}
	}
	uniform := func(random *rand.Rand) shot {
		visit := fmt.Sprint(random.IntN(5000))
		return shot{http.MethodGet, "/agenda/visits/" + visit, visit}
	}
	for _, c := range []struct {
		name    string
		policy  policy
		service string
		next    func(*rand.Rand) shot
	}{
		{"unkeyed/default", policies()[0], "despacho", plan},
		{"unkeyed/round-robin", policies()[4], "despacho", plan},
		{"keyed/uniform", policies()[0], "agenda", uniform},
		{"keyed/zipf-1.2", policies()[0], "agenda", zipf},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := assemble(b, calorTico, calorTicoDomains(), calorTicoGangs(), c.policy.option())
			for b.Loop() {
				tr := f.traffic(2*time.Millisecond, measureSeed, c.next)
				time.Sleep(8 * time.Second)
				tr.end()
				counts := f.total(c.service)
				b.ReportMetric(imbalance(counts), "max/mean")
				b.Logf("%s: %v; %s", c.name, counts, tr.line())
			}
		})
	}
}

// imbalance is the load of the busiest target over the mean.
func imbalance(counts map[string]int) float64 {
	most, sum := 0, 0
	for _, n := range counts {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(len(counts)) / float64(sum)
}

// BenchmarkHotKeys measures how even the load of the owners of keys is when some
// keys are hot and their owner is busy.
func BenchmarkHotKeys(b *testing.B) {
	for _, p := range []baseline{
		{"default", nil},
		{"never-apart", []daemon.Option{daemon.WithHotKeyOptions(handover.WithoutHotKeys())}},
	} {
		b.Run("zipf-1.2/"+p.name, func(b *testing.B) {
			heat(b, p, func(*fleet) func(*rand.Rand) shot {
				return func(random *rand.Rand) shot { return visit(rand.NewZipf(random, 1.2, 1, 1000).Uint64()) }
			})
		})
		b.Run("three-keys-of-one-owner/"+p.name, func(b *testing.B) { heat(b, p, threeKeys) })
	}
}

func visit(id any) shot {
	key := fmt.Sprint(id)
	return shot{http.MethodGet, "/agenda/visits/" + key, key}
}

// threeKeys sends 13 of 100 requests to each of three keys of one owner, and the
// others to 5,000 keys alike.
func threeKeys(f *fleet) func(*rand.Rand) shot {
	keys := keysOf(1024)
	var hot []string
	owners := f.holdings("agenda", keys)
	for slot, h := range owners {
		if h.instance == owners[0].instance && len(hot) < 3 {
			hot = append(hot, keys[slot])
		}
	}
	return func(random *rand.Rand) shot {
		if n := random.IntN(100) / 13; n < len(hot) {
			return visit(hot[n])
		}
		return visit(random.IntN(5000))
	}
}

// heat reports 1,000 requests a second, which take 40 ms each, for the 10 s in
// which keys are set apart and the 10 s after them.
func heat(b *testing.B, p baseline, load func(*fleet) func(*rand.Rand) shot) {
	gangs := []gang{{"agenda", 4, 8 * work}, {"despacho", 3, work}, {"compras", 3, work}}
	f := assemble(b, calorTico, calorTicoDomains(), gangs, p.options...)
	f.settled("agenda", keysOf(1024))
	for b.Loop() {
		tr := f.traffic(time.Millisecond, measureSeed, load(f))
		before := make(map[string]int)
		for _, part := range []string{"first", "second"} {
			time.Sleep(10 * time.Second)
			counts, now := make(map[string]int), f.total("agenda")
			for instance, n := range now {
				counts[instance] = n - before[instance]
			}
			before = now
			b.ReportMetric(imbalance(counts), part+"-max/mean")
			b.Logf("%s, %s 10 s: max/mean %.3f, %v; %s", p.name, part, imbalance(counts), counts, tr.line())
			tr.reset()
		}
		tr.end()
	}
}

// BenchmarkChange measures which slots move and what callers see, while
// instances join, leave and are lost, and a domain is taken out and returned. It
// does so for reads, and for deposits under IDs of the callers' own.
func BenchmarkChange(b *testing.B) {
	for _, p := range ownership() {
		b.Run("reads/"+p.name, func(b *testing.B) {
			changes(b, p, gang{"atelier-front", 6, work}, 2048, http.MethodGet, "/atelier-front/instruments/%s")
		})
		b.Run("deposits/"+p.name, func(b *testing.B) {
			changes(b, p, gang{"casierie", 4, work}, 512, http.MethodPost, "/casierie/collectors/%s/deposits")
		})
	}
}

// baseline is a choice of options of daemons.
type baseline struct {
	name    string
	options []daemon.Option
}

func ownership() []baseline {
	modulo := daemon.WithControl(control.WithPlan(handover.PlanModulo))
	return []baseline{
		{"default", nil},
		{"modulo", []daemon.Option{modulo}},
		{"no-wait", []daemon.Option{daemon.WithoutWait()}},
	}
}

func changes(b *testing.B, p baseline, g gang, slots uint32, method, path string) {
	f := assemble(b, clepsidra, []string{"cluj-a", "cluj-b", "cluj-c"},
		[]gang{{"atelier-front", 6, work}, {"casierie", 4, work}, {"banc-lucru", 3, work}}, p.options...)
	keys := keysOf(slots)
	f.settled(g.service, keys)
	out := strings.Replace(f.text, `"out": []`, `"out": ["cluj-b"]`, 1)
	in := f.text
	// Each of 40 keys is asked for every 100 ms.
	turn := 0
	next := func(*rand.Rand) shot {
		turn++
		key := fmt.Sprint(turn % 40)
		return shot{method, fmt.Sprintf(path, key), key}
	}
	var joined *node
	for b.Loop() {
		for _, e := range []struct {
			name string
			do   func()
		}{
			{"join", func() { joined = f.join(g) }},
			{"leave", func() { f.leave(joined) }},
			{"join again", func() { joined = f.join(g) }},
			{"loss", func() { f.lose(joined) }},
			{"cluj-b is taken out", func() { f.apply(out) }},
			{"cluj-b returns", func() { f.apply(in) }},
		} {
			change(b, f, g.service, keys, p.name+", "+e.name, e.do, next)
		}
	}
}

func change(b *testing.B, f *fleet, service string, keys []string, name string, do func(), next func(*rand.Rand) shot) {
	b.Helper()
	before := f.holdings(service, keys)
	owned := make(map[string]int)
	for _, h := range before {
		owned[h.instance]++
	}
	// The callers know the instances that were there from the beginning.
	entries := *f
	entries.nodes = f.nodes[:13]
	tr := entries.traffic(2500*time.Microsecond, measureSeed, next)
	time.Sleep(time.Second)
	tr.reset()
	start := time.Now()
	do()
	f.wait()
	took := time.Since(start)
	time.Sleep(time.Second)
	line, gap := tr.line(), tr.longestGap()
	tr.end()
	after := f.settled(service, keys)
	moved, changes := compare(before, after)
	now := make(map[string]int)
	for _, h := range after {
		now[h.instance]++
	}
	least := 0
	for instance, n := range owned {
		least += max(0, n-now[instance])
	}
	b.Logf("%s: even after %s; slots moved %d, changes of owner %d, least that must move %d; %s; longest gap of a key %s, keys unavailable for %s together",
		name, took.Round(time.Millisecond), moved, changes, least, line, gap, tr.unavailable().Round(time.Millisecond))
}
