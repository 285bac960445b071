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
	promiseSeed = flag.Int64("promise.seed", 1, "first seed of the proofs of single promises")
	promiseRuns = flag.Int("promise.runs", 10, "runs of each proof of a single promise")
)

const (
	promiseDaemons = 6
	// outQuiet and outFaulty bound the time until a domain that is out has no
	// work, from when the last daemon has the file, without and after faults.
	outQuiet  = 4 * time.Second
	outFaulty = 6 * time.Second
	outWatch  = 3 * time.Second
	// spreadTime is the longest time until a daemon has a configuration.
	spreadTime = 700 * time.Millisecond
	outStep    = 20 * time.Millisecond
)

// promises returns the parameters of the proofs of single promises.
func promises(runs int) *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(*promiseSeed)
	parameters.MinSuccessfulTests = runs
	// gopter shows what it has shrunk in the place of what failed.
	parameters.MaxShrinkCount = 0
	return parameters
}

// fault is one step of a generated run: what happens to whom, when and for how
// long.
type fault struct {
	kind, index int
	at, long    time.Duration
}

const faultKinds = 6

// faultsOf reads generated numbers as faults of the next few seconds.
func faultsOf(numbers []uint32) []fault {
	out := make([]fault, 0, len(numbers))
	for _, n := range numbers {
		out = append(out, fault{
			kind: int(n % faultKinds), index: int(n / 8 % promiseDaemons),
			at: time.Duration(n/64%40) * 100 * time.Millisecond, long: time.Duration(1+n/4096%25) * 100 * time.Millisecond,
		})
	}
	return out
}

// inject schedules a fault, which ends by itself.
func (w *world) inject(f fault) {
	w.after(f.at, func() {
		p := w.procs[f.index]
		switch f.kind {
		case 0, 1:
			if p != nil && !p.dead {
				p.pause(f.long)
			}
		case 2:
			if p != nil {
				p.dead = true
				w.after(f.long, func() { w.restart(p) })
			}
		case 3:
			w.down = true
			w.after(f.long, func() { w.down = false })
		case 4:
			w.cutOff[f.index] = true
			w.after(f.long, func() { delete(w.cutOff, f.index) })
		default:
			cuts := make([][2]int, 0, 2*len(w.procs))
			for i := range w.procs {
				cuts = append(cuts, [2]int{f.index, i}, [2]int{i, f.index})
			}
			w.cutAll(cuts, f.long)
		}
	})
}

// outRun is one run in which a failure domain is taken out and put back.
type outRun struct {
	*world
	out string
	// blind tells whether a daemon's configuration lacks what is out.
	blind func(p *process) bool
	// moved is how many slots changed hands for the exit and for the return, and
	// owned how many those had who were concerned.
	moved, owned [2]int
	took         [2]time.Duration
}

// play returns what the oracle has to say against the run.
func (r *outRun) play(faults []fault) string {
	quiet := len(faults) == 0
	bound := outFaulty
	if quiet {
		bound = outQuiet
	}
	for !r.balanced() {
		if r.until(r.now + outStep); r.now > 20*time.Second {
			return "not balanced before: " + r.unsettled()
		}
	}
	r.until(r.now + time.Second)
	r.lossy, r.storeLossy, r.chaos = 0.03, 0.05, !quiet
	for _, f := range faults {
		r.inject(f)
	}
	before, moves := r.slotsOf(r.out), r.stats.Moves
	r.configureAll([]string{r.out})
	r.until(r.now + spreadTime)
	if !quiet {
		r.until(r.now + faulty)
	}
	r.chaos, r.down = false, false
	if violation := r.empty(bound); violation != "" {
		return violation
	}
	r.moved[0], r.owned[0] = r.stats.Moves-moves, before
	moves = r.stats.Moves
	r.configureAll(nil)
	r.until(r.now + spreadTime)
	if violation := r.returned(bound); violation != "" {
		return violation
	}
	r.until(r.now + outWatch)
	r.moved[1], r.owned[1] = r.stats.Moves-moves, r.slotsOf(r.out)
	if quiet && r.moved != r.owned {
		return fmt.Sprintf("%v slots moved for %v of %s", r.moved, r.owned, r.out)
	}
	return r.violation
}

// empty watches that nothing is served in the domain from bound on, which is
// counted from when the last daemon has the configuration and faults have ended.
func (r *outRun) empty(bound time.Duration) string {
	since := r.now
	for r.now < since+bound+outWatch && r.violation == "" {
		if n := r.slotsOf(r.out); n > 0 {
			if r.took[0] = r.now - since; r.took[0] > bound {
				return fmt.Sprintf("%v after: %d slots in %s", r.took[0], n, r.out)
			}
		}
		r.until(r.now + outStep)
	}
	return r.violation
}

// returned waits until all daemons serve slots again.
func (r *outRun) returned(bound time.Duration) string {
	since := r.now
	for !r.allWork() {
		if r.violation != "" || r.now > since+bound {
			return fmt.Sprintf("%v after: %d slots in %s; %s %s", r.now-since, r.slotsOf(r.out), r.out, r.unsettled(), r.violation)
		}
		r.until(r.now + outStep)
	}
	r.took[1] = r.now - since
	return ""
}

// configureAll gives every daemon a configuration, each in its own time.
func (r *outRun) configureAll(out []string) {
	r.config.Number++
	r.config.Out = out
	for _, p := range r.procs {
		c := r.config
		if r.blind != nil && r.blind(p) {
			c.Out = nil
		}
		r.after(r.between(time.Millisecond, spreadTime), func() { p.post(c) })
	}
}

// slotsOf counts the slots that are admitted in a failure domain.
func (r *outRun) slotsOf(domain string) int {
	n := 0
	for _, p := range r.living() {
		if p.self.Domain == domain && p.leased() {
			n += len(p.serving())
		}
	}
	return n
}

// balanced tells whether every daemon serves its share of all slots.
func (r *outRun) balanced() bool {
	return r.settled() && !slices.ContainsFunc(r.procs, func(p *process) bool {
		return p == nil || len(p.serving()) < slotCount/promiseDaemons || len(p.serving()) > slotCount/promiseDaemons+1
	})
}

// allWork tells whether every daemon serves slots.
func (r *outRun) allWork() bool {
	return r.settled() && !slices.ContainsFunc(r.procs, func(p *process) bool {
		return p == nil || !p.leased() || len(p.serving()) == 0
	})
}

func newOutRun(seed int64, blind func(r *outRun, p *process) bool) *outRun {
	r := &outRun{world: newWorld(setup{seed: seed, daemons: promiseDaemons, domains: 3, quiet: true})}
	r.out = r.domain(int(uint64(seed) % 3))
	if blind != nil {
		r.blind = func(p *process) bool { return blind(r, p) }
	}
	return r
}

// TestDomainOut takes a failure domain out and puts it back, with faults of the
// generated kinds from the moment at which it is taken out.
func TestDomainOut(t *testing.T) {
	properties := gopter.NewProperties(promises(*promiseRuns))
	var most [2][2]time.Duration
	run := func(seed int64, faults []fault) (bool, error) {
		r := newOutRun(seed, nil)
		if violation := r.play(faults); violation != "" {
			return false, fmt.Errorf("seed %d: %s", seed, violation)
		}
		kind := min(1, len(faults))
		for turn := range r.took {
			most[kind][turn] = max(most[kind][turn], r.took[turn])
		}
		return true, nil
	}
	properties.Property("no work for a domain that is out, and only needed moves", prop.ForAll(
		func(seed int64) (bool, error) { return run(seed, nil) }, gen.Int64Range(1, 1<<40)))
	properties.Property("the same after faults", prop.ForAll(
		func(seed int64, numbers []uint32) (bool, error) { return run(seed, faultsOf(numbers)) },
		gen.Int64Range(1, 1<<40), gen.SliceOfN(5, gen.UInt32())))
	properties.TestingRun(t)
	t.Logf("longest time to leave and to return: %v without faults, %v after faults", most[0], most[1])
}

func TestDomainOutCatches(t *testing.T) {
	for _, c := range []struct {
		name  string
		blind func(r *outRun, p *process) bool
	}{
		{"nobody regards what is out", func(*outRun, *process) bool { return true }},
		{"those in the domain do not", func(r *outRun, p *process) bool { return p.self.Domain == r.out }},
		{"those elsewhere do not", func(r *outRun, p *process) bool { return p.self.Domain != r.out }},
		{"one of the domain does not", func(r *outRun, p *process) bool { return p.self.Domain == r.out && p.index < 3 }},
	} {
		for seed := *promiseSeed; ; seed++ {
			if violation := newOutRun(seed, c.blind).play(nil); violation != "" {
				t.Logf("%s: found with seed %d: %s", c.name, seed, violation)
				break
			}
			if seed == *promiseSeed+9 {
				t.Errorf("%s: not found", c.name)
				break
			}
		}
	}
}
