package e2e_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fulmarrun/platformstub"
)

var (
	soakSeeds = flag.Int("soak.seeds", 2, "number of runs of the soak")
	soakFrom  = flag.Uint64("soak.from", 1, "first seed of the soak")
	soakSteps = flag.Int("soak.steps", 14, "faults of a run")
)

// soakFound are seeds that have failed, each with the cause.
var soakFound = []struct {
	seed  uint64
	cause string
}{}

// TestSoak harms real processes from outside, in series that overlap, while callers go
// on, and compares what callers were told with what the targets ran. When the faults are
// over every key has to be served.
func TestSoak(t *testing.T) {
	for _, found := range soakFound {
		t.Run(fmt.Sprint("found/", found.seed), func(t *testing.T) { soak(t, found.seed) })
	}
	for seed := *soakFrom; seed < *soakFrom+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soaking is one run of the soak.
type soaking struct {
	*deployment
	random *rand.Rand
	wg     sync.WaitGroup
	// busy has an instance harmed by one process fault at a time.
	busy []sync.Mutex
	// told are the steps, for a run that fails.
	told []string
}

func soak(t *testing.T, seed uint64) {
	const instances = 5
	d := (&deployment{t: t, dir: t.TempDir(), trace: &trace{}, proxied: true}).up(instances, true)
	s := &soaking{deployment: d, random: rand.New(rand.NewPCG(seed, 0)), busy: make([]sync.Mutex, instances)}
	d.serving()
	l := d.spread(6, 15*time.Millisecond, seed)
	for range *soakSteps {
		s.step()
		time.Sleep(s.between(50*time.Millisecond, 700*time.Millisecond))
	}
	s.wg.Wait()
	d.faults(platformstub.Faults{})
	d.settled()
	d.serving()
	l.end()
	t.Log(d.audit())
	if t.Failed() {
		t.Log(strings.Join(s.told, "\n"))
	}
}

func (s *soaking) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// step starts one fault, which ends by itself. All that is drawn is drawn here, so that
// a seed gives the same faults at the same distances.
func (s *soaking) step() {
	n := s.random.IntN(len(s.instances))
	i, lasts := s.instances[n], s.between(100*time.Millisecond, 2500*time.Millisecond)
	kind := s.random.IntN(9)
	s.told = append(s.told, fmt.Sprintf("fault %d at %s for %v", kind, i.name, lasts))
	switch kind {
	case 0:
		s.process(n, func() { i.pause(i.daemon, lasts) })
	case 1:
		s.process(n, func() { i.pause(i.stub, lasts) })
	case 2:
		s.process(n, func() {
			i.daemon.kill()
			s.restart(i, lasts/4)
		})
	case 3:
		s.process(n, func() {
			i.kill()
			time.Sleep(lasts / 2)
			s.launch(i)
		})
	case 4:
		s.process(n, func() {
			i.daemon.signal(syscall.SIGTERM)
			<-i.daemon.done
			s.restart(i, lasts/4)
		})
	case 5, 6:
		link := []*proxy{i.toStore, i.toTarget}[kind-5]
		w := weather{up: s.random.IntN(2) == 0, down: s.random.IntN(2) == 0, delay: s.between(0, 80*time.Millisecond)}
		s.during(lasts, func() { link.set(w) }, func() { link.set(weather{}) })
	case 7:
		i.toStore.reset()
		i.toTarget.reset()
	case 8:
		f := platformstub.Faults{
			Outage: s.random.IntN(2) == 0, LoseNext: s.random.IntN(4), LateNext: s.random.IntN(3), LateDelay: lasts,
		}
		s.during(lasts, func() { s.faults(f) }, func() { s.faults(platformstub.Faults{}) })
	}
}

// process harms the processes of an instance, unless that is going on already.
func (s *soaking) process(n int, harm func()) {
	s.wg.Go(func() {
		if !s.busy[n].TryLock() {
			return
		}
		defer s.busy[n].Unlock()
		harm()
	})
}

func (s *soaking) during(lasts time.Duration, begin, end func()) {
	begin()
	s.wg.Go(func() {
		time.Sleep(lasts)
		end()
	})
}

// restart starts the daemon again, after a while.
func (s *soaking) restart(i *instance, after time.Duration) {
	time.Sleep(after)
	i.daemon = s.start("fulmarrun", "run", "--settings", i.settings)
}

func (i *instance) pause(p *process, lasts time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	p.signal(syscall.SIGCONT)
}
