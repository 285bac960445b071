package control_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	propertySeed = flag.Int64("promise.seed", 1, "first seed of the property tests")
	propertyRuns = flag.Int("promise.runs", 10, "runs of each property test")
)

const (
	propertyDaemons = 6
	// quietBound and faultyBound are the maximum time until no slot is served in a
	// domain that was taken out: quietBound without faults, from when the last daemon
	// has the configuration; faultyBound with faults, from when these have also ended.
	quietBound  = 4 * time.Second
	faultyBound = 6 * time.Second
	watchTime   = 3 * time.Second
	// maxConfigDelay is the longest time until a daemon has a new configuration.
	maxConfigDelay = 700 * time.Millisecond
	pollStep       = 20 * time.Millisecond
)

// propertyParameters returns the gopter parameters of the property tests.
func propertyParameters(runs int) *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(*propertySeed)
	parameters.MinSuccessfulTests = runs
	// gopter reports the shrunk input instead of the original input that failed.
	parameters.MaxShrinkCount = 0
	return parameters
}

// fault is one injected fault: its kind, the daemon affected, when it starts and
// how long it lasts.
type fault struct {
	kind, index  int
	at, duration time.Duration
}

const faultKinds = 6

// decodeFaults converts generated numbers to faults within the next few seconds.
func decodeFaults(numbers []uint32) []fault {
	out := make([]fault, 0, len(numbers))
	for _, n := range numbers {
		out = append(out, fault{
			kind: int(n % faultKinds), index: int(n / 8 % propertyDaemons),
			at: time.Duration(n/64%40) * 100 * time.Millisecond, duration: time.Duration(1+n/4096%25) * 100 * time.Millisecond,
		})
	}
	return out
}

// inject schedules a fault, which ends by itself.
func (w *simulation) inject(f fault) {
	w.schedule(f.at, func() {
		p := w.procs[f.index]
		switch f.kind {
		case 0, 1:
			if p != nil && !p.dead {
				p.pause(f.duration)
			}
		case 2:
			if p != nil {
				p.dead = true
				w.schedule(f.duration, func() { w.restart(p) })
			}
		case 3:
			w.storeDown = true
			w.schedule(f.duration, func() { w.storeDown = false })
		case 4:
			w.storeCut[f.index] = true
			w.schedule(f.duration, func() { delete(w.storeCut, f.index) })
		default:
			cuts := make([][2]int, 0, 2*len(w.procs))
			for i := range w.procs {
				cuts = append(cuts, [2]int{f.index, i}, [2]int{i, f.index})
			}
			w.cutLinks(cuts, f.duration)
		}
	})
}

// domainOutRun is a run in which a failure domain is taken out and put back.
type domainOutRun struct {
	*simulation
	out string
	// ignoresOut reports whether a daemon's configuration omits the domain that is
	// out.
	ignoresOut func(p *process) bool
	// moved is how many slots changed owner when the domain was taken out (index 0)
	// and when it was put back (index 1). owned is how many slots the daemons of the
	// domain owned before it was taken out, and after it was put back.
	moved, owned [2]int
	took         [2]time.Duration
}

// play returns the violation found in the run, if any.
func (r *domainOutRun) play(faults []fault) string {
	quiet := len(faults) == 0
	bound := faultyBound
	if quiet {
		bound = quietBound
	}
	for !r.balanced() {
		if r.runUntil(r.now + pollStep); r.now > 20*time.Second {
			return "not balanced before the domain was taken out: " + r.unsettledReason()
		}
	}
	r.runUntil(r.now + time.Second)
	r.messageLoss, r.storeLoss, r.chaos = 0.03, 0.05, !quiet
	for _, f := range faults {
		r.inject(f)
	}
	before, moves := r.slotsOf(r.out), r.stats.Moves
	r.configureAll([]string{r.out})
	r.runUntil(r.now + maxConfigDelay)
	if !quiet {
		r.runUntil(r.now + faultTime)
	}
	r.chaos, r.storeDown = false, false
	if violation := r.checkEmpty(bound); violation != "" {
		return violation
	}
	r.moved[0], r.owned[0] = r.stats.Moves-moves, before
	moves = r.stats.Moves
	r.configureAll(nil)
	r.runUntil(r.now + maxConfigDelay)
	if violation := r.waitReturned(bound); violation != "" {
		return violation
	}
	r.runUntil(r.now + watchTime)
	r.moved[1], r.owned[1] = r.stats.Moves-moves, r.slotsOf(r.out)
	if quiet && r.moved != r.owned {
		return fmt.Sprintf("%v slots moved, %v owned by domain %s", r.moved, r.owned, r.out)
	}
	return r.violation
}

// checkEmpty checks that no slot is served in the domain after bound, counted from
// when the last daemon has the configuration and the faults have ended.
func (r *domainOutRun) checkEmpty(bound time.Duration) string {
	since := r.now
	for r.now < since+bound+watchTime && r.violation == "" {
		if n := r.slotsOf(r.out); n > 0 {
			if r.took[0] = r.now - since; r.took[0] > bound {
				return fmt.Sprintf("after %v: %d slots served in domain %s", r.took[0], n, r.out)
			}
		}
		r.runUntil(r.now + pollStep)
	}
	return r.violation
}

// waitReturned waits until all daemons serve slots again.
func (r *domainOutRun) waitReturned(bound time.Duration) string {
	since := r.now
	for !r.allServing() {
		if r.violation != "" || r.now > since+bound {
			return fmt.Sprintf("after %v: %d slots served in domain %s; %s %s", r.now-since, r.slotsOf(r.out), r.out, r.unsettledReason(), r.violation)
		}
		r.runUntil(r.now + pollStep)
	}
	r.took[1] = r.now - since
	return ""
}

// configureAll sends a new configuration to every daemon, each after a random
// delay.
func (r *domainOutRun) configureAll(out []string) {
	r.config.Number.File++
	r.config.Out = out
	for _, p := range r.procs {
		c := r.config
		if r.ignoresOut != nil && r.ignoresOut(p) {
			c.Out = nil
		}
		r.schedule(r.between(time.Millisecond, maxConfigDelay), func() { p.post(c) })
	}
}

// slotsOf counts the slots that are served in a failure domain.
func (r *domainOutRun) slotsOf(domain string) int {
	n := 0
	for _, p := range r.alive() {
		if p.self.Domain == domain && p.leased() {
			n += len(p.serving())
		}
	}
	return n
}

// balanced reports whether every daemon serves its share of all slots.
func (r *domainOutRun) balanced() bool {
	return r.settled() && !slices.ContainsFunc(r.procs, func(p *process) bool {
		return p == nil || len(p.serving()) < slotCount/propertyDaemons || len(p.serving()) > slotCount/propertyDaemons+1
	})
}

// allServing reports whether every daemon serves slots.
func (r *domainOutRun) allServing() bool {
	return r.settled() && !slices.ContainsFunc(r.procs, func(p *process) bool {
		return p == nil || !p.leased() || len(p.serving()) == 0
	})
}

func newDomainOutRun(seed int64, ignoresOut func(r *domainOutRun, p *process) bool) *domainOutRun {
	r := &domainOutRun{simulation: newSimulation(setup{seed: seed, daemons: propertyDaemons, domains: 3, quiet: true})}
	r.out = r.domain(int(uint64(seed) % 3))
	if ignoresOut != nil {
		r.ignoresOut = func(p *process) bool { return ignoresOut(r, p) }
	}
	return r
}

// TestDomainOut takes a failure domain out and puts it back, with generated faults
// from the moment at which it is taken out.
func TestDomainOut(t *testing.T) {
	properties := gopter.NewProperties(propertyParameters(*propertyRuns))
	var longest [2][2]time.Duration
	run := func(seed int64, faults []fault) (bool, error) {
		r := newDomainOutRun(seed, nil)
		if violation := r.play(faults); violation != "" {
			return false, fmt.Errorf("seed %d: %s", seed, violation)
		}
		kind := min(1, len(faults))
		for phase := range r.took {
			longest[kind][phase] = max(longest[kind][phase], r.took[phase])
		}
		return true, nil
	}
	properties.Property("a domain that is out serves nothing, and only necessary moves are made", prop.ForAll(
		func(seed int64) (bool, error) { return run(seed, nil) }, gen.Int64Range(1, 1<<40)))
	properties.Property("a domain that is out serves nothing after faults", prop.ForAll(
		func(seed int64, numbers []uint32) (bool, error) { return run(seed, decodeFaults(numbers)) },
		gen.Int64Range(1, 1<<40), gen.SliceOfN(5, gen.UInt32())))
	properties.TestingRun(t)
	t.Logf("longest times until the domain was empty and until all daemons served again: %v without faults, %v after faults", longest[0], longest[1])
}

func TestDomainOutDetectsFaults(t *testing.T) {
	for _, c := range []struct {
		name       string
		ignoresOut func(r *domainOutRun, p *process) bool
	}{
		{"no daemon knows that the domain is out", func(*domainOutRun, *process) bool { return true }},
		{"daemons in the domain do not know", func(r *domainOutRun, p *process) bool { return p.self.Domain == r.out }},
		{"daemons in other domains do not know", func(r *domainOutRun, p *process) bool { return p.self.Domain != r.out }},
		{"one daemon of the domain does not know", func(r *domainOutRun, p *process) bool { return p.self.Domain == r.out && p.index < 3 }},
	} {
		for seed := *propertySeed; ; seed++ {
			if violation := newDomainOutRun(seed, c.ignoresOut).play(nil); violation != "" {
				t.Logf("%s: detected with seed %d: %s", c.name, seed, violation)
				break
			}
			if seed == *propertySeed+9 {
				t.Errorf("%s: not detected", c.name)
				break
			}
		}
	}
}
