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
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds that TestSoak runs")
	soakFrom  = flag.Uint64("soak.from", 1, "first seed of TestSoak")
	soakSteps = flag.Int("soak.steps", 14, "number of faults per seed")
)

// soakRegressions are seeds that failed before, each with the cause.
var soakRegressions = []struct {
	seed  uint64
	cause string
}{}

// TestSoak injects overlapping faults into real processes under load, and compares the
// responses to callers with what the targets ran. After the faults, requests for every
// key must be answered again.
func TestSoak(t *testing.T) {
	for _, regression := range soakRegressions {
		t.Run(fmt.Sprint("found/", regression.seed), func(t *testing.T) { soak(t, regression.seed) })
	}
	for seed := *soakFrom; seed < *soakFrom+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soakRun is the state of TestSoak for one seed.
type soakRun struct {
	*deployment
	random *rand.Rand
	wg     sync.WaitGroup
	// processMu holds a mutex per instance, so that an instance has only one process
	// fault at a time.
	processMu []sync.Mutex
	// stepLog lists the injected faults; it is printed if the run fails.
	stepLog []string
}

// soak runs TestSoak for one seed.
func soak(t *testing.T, seed uint64) {
	const instances = 5
	d := (&deployment{t: t, dir: t.TempDir(), trace: &trace{}, proxied: true}).startAll(instances, true)
	s := &soakRun{deployment: d, random: rand.New(rand.NewPCG(seed, 0)), processMu: make([]sync.Mutex, instances)}
	d.awaitServing()
	l := d.startLoad(6, 15*time.Millisecond, seed)
	for range *soakSteps {
		s.step()
		time.Sleep(s.randomDuration(50*time.Millisecond, 700*time.Millisecond))
	}
	s.wg.Wait()
	d.setFaults(platformstub.Faults{})
	d.awaitSettled()
	d.awaitServing()
	l.end()
	t.Log(d.audit())
	if t.Failed() {
		t.Log(strings.Join(s.stepLog, "\n"))
	}
}

// randomDuration returns a random duration of at least least and less than most.
func (s *soakRun) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// step starts one fault, which ends by itself. It makes all random choices of the fault
// itself, so that a seed always gives the same faults at the same intervals.
func (s *soakRun) step() {
	n := s.random.IntN(len(s.instances))
	i, duration := s.instances[n], s.randomDuration(100*time.Millisecond, 2500*time.Millisecond)
	kind := s.random.IntN(9)
	s.stepLog = append(s.stepLog, fmt.Sprintf("fault %d at %s for %v", kind, i.name, duration))
	switch kind {
	case 0:
		s.disturbProcesses(n, func() { i.pause(i.daemon, duration) })
	case 1:
		s.disturbProcesses(n, func() { i.pause(i.stub, duration) })
	case 2:
		s.disturbProcesses(n, func() {
			i.daemon.kill()
			s.restartDaemon(i, duration/4)
		})
	case 3:
		s.disturbProcesses(n, func() {
			i.kill()
			time.Sleep(duration / 2)
			s.startInstance(i)
		})
	case 4:
		s.disturbProcesses(n, func() {
			i.daemon.signal(syscall.SIGTERM)
			<-i.daemon.done
			s.restartDaemon(i, duration/4)
		})
	case 5, 6:
		link := []*proxy{i.storeProxy, i.targetProxy}[kind-5]
		fault := linkFault{blockUp: s.random.IntN(2) == 0, blockDown: s.random.IntN(2) == 0, delay: s.randomDuration(0, 80*time.Millisecond)}
		s.applyFor(duration, func() { link.setFault(fault) }, func() { link.setFault(linkFault{}) })
	case 7:
		i.storeProxy.reset()
		i.targetProxy.reset()
	case 8:
		f := platformstub.Faults{
			Outage: s.random.IntN(2) == 0, LoseNext: s.random.IntN(4), LateNext: s.random.IntN(3), LateDelay: duration,
		}
		s.applyFor(duration, func() { s.setFaults(f) }, func() { s.setFaults(platformstub.Faults{}) })
	}
}

// disturbProcesses injects a process fault into instance n in the background, unless
// another process fault of the instance is in progress.
func (s *soakRun) disturbProcesses(n int, disturb func()) {
	s.wg.Go(func() {
		if !s.processMu[n].TryLock() {
			return
		}
		defer s.processMu[n].Unlock()
		disturb()
	})
}

// applyFor calls begin, and in the background end after the duration.
func (s *soakRun) applyFor(duration time.Duration, begin, end func()) {
	begin()
	s.wg.Go(func() {
		time.Sleep(duration)
		end()
	})
}

// restartDaemon starts the daemon of an instance again after a delay.
func (s *soakRun) restartDaemon(i *instance, delay time.Duration) {
	time.Sleep(delay)
	i.daemon = s.startProcess("fulmarrun", "run", "--settings", i.settingsFile)
}

// pause stops a process for the duration and then resumes it.
func (i *instance) pause(p *process, duration time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}
