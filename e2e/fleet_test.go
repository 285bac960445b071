package e2e_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmarrun/caller"
	"fulmarrun/config"
	"fulmarrun/daemon"
	"fulmarrun/operator"
	"fulmarrun/platformstub"
	"fulmarrun/routes"
	"fulmarrun/targetstub"
)

// fleet is a platform, daemons and targets in this process, for measurements.
type fleet struct {
	tb       testing.TB
	domains  []string
	platform *platformstub.Stub
	options  []daemon.Option
	nodes    []*node
	// text is the configuration in force, and number its number.
	text   string
	number uint64
}

// node is one daemon and its target.
type node struct {
	settings config.Settings
	daemon   *daemon.Daemon
	stub     *targetstub.Stub
	stop     context.CancelFunc
	done     chan struct{}
}

// gang is a number of instances of one service.
type gang struct {
	service string
	count   int
	work    time.Duration
}

// assemble starts the instances and applies the file.
func assemble(tb testing.TB, name string, domains []string, gangs []gang, options ...daemon.Option) *fleet {
	tb.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		tb.Fatal(err)
	}
	f := &fleet{tb: tb, domains: domains, platform: platformstub.New(), options: options, text: string(text)}
	tb.Cleanup(f.end)
	for _, g := range gangs {
		for range g.count {
			f.join(g)
		}
	}
	f.apply(f.text)
	f.wait()
	// Let every daemon learn of the last moves.
	time.Sleep(2 * time.Second)
	return f
}

// join starts one more instance.
func (f *fleet) join(g gang) *node {
	f.tb.Helper()
	index := 0
	for _, n := range f.nodes {
		if n.settings.Service == g.service {
			index++
		}
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	n := &node{done: make(chan struct{}), settings: config.Settings{
		Instance: fmt.Sprintf("%s-%d", g.service, index+1), Service: g.service, Region: "region",
		Domain: f.domains[index%len(f.domains)],
		Peer:   loopback, Caller: loopback, Target: loopback, Operator: loopback,
		DrainTimeout: 10 * time.Second, MaxBody: config.DefaultMaxBody, MaxHeader: config.DefaultMaxHeader,
	}}
	var err error
	if n.daemon, err = daemon.New(n.settings, f.platform.Store(), f.options...); err != nil {
		f.tb.Fatal(err)
	}
	n.settings = n.daemon.Settings()
	n.stub = targetstub.NewStub(
		targetstub.WithName(n.settings.Instance), targetstub.WithDaemon(n.settings.Target),
		targetstub.WithWork(g.work), targetstub.WithInterval(200*time.Millisecond),
	)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	go func() { _ = n.stub.Run(ctx) }()
	go func() {
		defer close(n.done)
		_ = n.daemon.Run(context.Background())
	}()
	f.nodes = append(f.nodes, n)
	return n
}

// leave lets a node leave gracefully; lose ends it as a crash would.
func (f *fleet) leave(n *node) { f.remove(n, func() { n.daemon.Leave("measured") }) }

func (f *fleet) lose(n *node) { f.remove(n, n.daemon.Abort) }

func (f *fleet) remove(gone *node, how func()) {
	how()
	<-gone.done
	gone.stop()
	var rest []*node
	for _, n := range f.nodes {
		if n != gone {
			rest = append(rest, n)
		}
	}
	f.nodes = rest
}

func (f *fleet) end() {
	for _, n := range f.nodes {
		n.daemon.Abort()
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.done
	}
}

func (f *fleet) client() *operator.Client { return operator.NewClient(f.nodes[0].settings.Operator) }

func (f *fleet) apply(text string) {
	f.tb.Helper()
	request := operator.ApplyRequest{
		Text: []byte(text), Base: f.number, Author: "test", Change: fmt.Sprintf("change-%d", f.number),
	}
	until(f.tb, 20*time.Second, "the file is accepted", func() bool {
		_, err := f.client().Apply(context.Background(), request)
		return err == nil
	})
	f.text = text
	f.number++
}

// wait waits until all nodes are active under a lease and the slots are even.
func (f *fleet) wait() {
	f.tb.Helper()
	until(f.tb, 90*time.Second, "the fleet is even", func() bool {
		status, err := f.client().Status(context.Background())
		if err != nil || len(status.Silent) > 0 || len(status.Lagging) > 0 || len(status.Instances) != len(f.nodes) {
			return false
		}
		type span struct{ least, most int }
		spans := make(map[string]*span)
		for _, i := range status.Instances {
			if i.State != "active" || i.Lease == 0 {
				return false
			}
			if f.out(i.Domain) {
				if i.Slots > 0 {
					return false
				}
				continue
			}
			s := spans[i.Service]
			if s == nil {
				s = &span{least: i.Slots, most: i.Slots}
				spans[i.Service] = s
			}
			s.least, s.most = min(s.least, i.Slots), max(s.most, i.Slots)
		}
		for _, s := range spans {
			// A service that is not keyed owns no slots.
			if s.most > 0 && s.least == 0 || s.most-s.least > 1 {
				return false
			}
		}
		return true
	})
}

func (f *fleet) out(domain string) bool {
	return strings.Contains(f.text, fmt.Sprintf(`"out": [%q]`, domain))
}

// holding is who owns a slot.
type holding struct {
	instance string
	epoch    uint64
}

// holdings returns who owns each slot of a service.
func (f *fleet) holdings(service string, keys []string) []holding {
	f.tb.Helper()
	out := make([]holding, len(keys))
	client := f.client()
	for slot, key := range keys {
		reply, err := client.Key(context.Background(), operator.KeyRequest{Service: service, Key: key})
		if err != nil {
			f.tb.Fatal(err)
		}
		out[slot] = holding{reply.Instance, reply.Epoch}
	}
	return out
}

// settled returns the owners once none of them changes any more.
func (f *fleet) settled(service string, keys []string) []holding {
	f.tb.Helper()
	for before := f.holdings(service, keys); ; {
		time.Sleep(1500 * time.Millisecond)
		after := f.holdings(service, keys)
		if slices.Equal(before, after) {
			return after
		}
		f.tb.Logf("slots still move")
		before = after
	}
}

// keysOf returns one key of each slot.
func keysOf(slots uint32) []string {
	keys := make([]string, slots)
	for n, left := 0, slots; left > 0; n++ {
		key := fmt.Sprint(n)
		if slot := routes.SlotOf(key, slots); keys[slot] == "" {
			keys[slot] = key
			left--
		}
	}
	return keys
}

const (
	// keyPace is how often each key is asked for in BenchmarkChange, and idleFrom
	// the gap between two answers from which a key counts as unavailable.
	keyPace  = 100 * time.Millisecond
	idleFrom = 2 * keyPace
)

// traffic is requests at a fixed rate and what came of them.
type traffic struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	tally   tally
	// last is when a key was last answered, and gap the longest time between two
	// answers for one key.
	last map[string]time.Time
	gap  time.Duration
	// idle sums up the gaps of more than idleFrom.
	idle time.Duration
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// shot is one request.
type shot struct{ method, path, key string }

var measured = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 30 * time.Second}

// traffic sends a request each gap, whether or not earlier ones were answered.
func (f *fleet) traffic(gap time.Duration, seed uint64, next func(*rand.Rand) shot) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{stop: cancel, last: make(map[string]time.Time)}
	tr.reset()
	random := rand.New(rand.NewPCG(seed, 1))
	entries := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		entries = append(entries, n.settings.Caller.String())
	}
	tr.wg.Go(func() {
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			s, at := next(random), entries[random.IntN(len(entries))]
			tr.wg.Go(func() { tr.send(at, s) })
		}
	})
	return tr
}

func (tr *traffic) send(at string, s shot) {
	req, err := http.NewRequest(s.method, "http://"+at+s.path, nil)
	if err != nil {
		return
	}
	if s.method == http.MethodPost {
		req.Header.Set(caller.HeaderIdempotencyKey, newID())
	}
	start := time.Now()
	resp, err := measured.Do(req)
	outcome := ""
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		outcome = resp.Header.Get(caller.HeaderOutcome)
	}
	tr.note(s.key, outcome, time.Now(), time.Since(start))
}

func (tr *traffic) note(key, outcome string, now time.Time, took time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	switch outcome {
	case "answered":
		tr.tally.answered++
		_ = tr.latency.RecordValue(took.Microseconds())
		if last, ok := tr.last[key]; ok {
			gap := now.Sub(last)
			tr.gap = max(tr.gap, gap)
			if gap > idleFrom {
				tr.idle += gap - keyPace
			}
		}
		tr.last[key] = now
	case "not-run":
		tr.tally.notRun++
	case "unknown":
		tr.tally.unknown++
	default:
		tr.tally.broken++
	}
}

func (tr *traffic) reset() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.latency, tr.tally, tr.gap, tr.idle = hdrhistogram.New(1, time.Minute.Microseconds(), 3), tally{}, 0, 0
}

// line sums up the requests since the last reset.
func (tr *traffic) line() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at := func(p float64) time.Duration {
		return (time.Duration(tr.latency.ValueAtPercentile(p)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("answered %d, not run %d, unknown %d, lost %d; p50 %s p99 %s p99.9 %s max %s",
		tr.tally.answered, tr.tally.notRun, tr.tally.unknown, tr.tally.broken,
		at(50), at(99), at(99.9), at(100))
}

// longestGap is the longest time between two answers for one key.
func (tr *traffic) longestGap() time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.gap.Round(time.Millisecond)
}

// unavailable is the time for which keys had no answer beyond their pace, of all
// keys together.
func (tr *traffic) unavailable() time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.idle
}

func (tr *traffic) end() {
	tr.stop()
	tr.wg.Wait()
}

// total returns how many requests each target of a service has run.
func (f *fleet) total(service string) map[string]int {
	out := make(map[string]int)
	for _, n := range f.nodes {
		if n.settings.Service == service {
			out[n.settings.Instance] = n.stub.Runs().Total
		}
	}
	return out
}

// compare returns how many slots have another owner, and how often the owner of
// a slot was changed.
func compare(before, after []holding) (moved, changes int) {
	for slot := range before {
		if before[slot].instance != after[slot].instance {
			moved++
		}
		changes += int(after[slot].epoch - before[slot].epoch)
	}
	return moved, changes
}
