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

// fleet runs a platform stub, daemons and targets in the test process, for benchmarks.
type fleet struct {
	tb       testing.TB
	domains  []string
	platform *platformstub.Stub
	options  []daemon.Option
	nodes    []*node
	// text is the configuration in force and number its configuration number.
	text   string
	number uint64
}

// node is a daemon and its target in the test process.
type node struct {
	settings config.Settings
	daemon   *daemon.Daemon
	stub     *targetstub.Stub
	stop     context.CancelFunc
	done     chan struct{}
}

// group describes a number of instances of one service and how long their targets
// take for a request.
type group struct {
	service  string
	count    int
	workTime time.Duration
}

// startFleet starts the instances of all groups and applies the configuration file name.
func startFleet(tb testing.TB, name string, domains []string, groups []group, options ...daemon.Option) *fleet {
	tb.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		tb.Fatal(err)
	}
	f := &fleet{tb: tb, domains: domains, platform: platformstub.New(), options: options, text: string(text)}
	tb.Cleanup(f.close)
	for _, g := range groups {
		for range g.count {
			f.addNode(g)
		}
	}
	f.apply(f.text)
	f.awaitBalanced()
	// Wait until every daemon has received the last slot changes.
	time.Sleep(2 * time.Second)
	return f
}

// addNode starts one more instance of the service of g.
func (f *fleet) addNode(g group) *node {
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
		targetstub.WithRequestTime(g.workTime), targetstub.WithInterval(200*time.Millisecond),
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

// leave makes a node leave gracefully.
func (f *fleet) leave(n *node) { f.remove(n, func() { n.daemon.Leave("measured") }) }

// crash ends a node abruptly, as a crash would.
func (f *fleet) crash(n *node) { f.remove(n, n.daemon.Abort) }

// remove shuts down a node and removes it from the fleet.
func (f *fleet) remove(removed *node, shutdown func()) {
	shutdown()
	<-removed.done
	removed.stop()
	var remaining []*node
	for _, n := range f.nodes {
		if n != removed {
			remaining = append(remaining, n)
		}
	}
	f.nodes = remaining
}

// close aborts all daemons and waits for them.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.daemon.Abort()
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.done
	}
}

// client returns an operator client of the first node.
func (f *fleet) client() *operator.Client { return operator.NewClient(f.nodes[0].settings.Operator) }

// apply applies a configuration as the successor of the one in force.
func (f *fleet) apply(text string) {
	f.tb.Helper()
	request := operator.ApplyRequest{
		Text: []byte(text), Base: f.number, Author: "test", Change: fmt.Sprintf("change-%d", f.number),
	}
	waitUntil(f.tb, 20*time.Second, "configuration is accepted", func() bool {
		_, err := f.client().Apply(context.Background(), request)
		return err == nil
	})
	f.text = text
	f.number++
}

// awaitBalanced waits until all nodes are active with a lease, and the slot counts of
// each service differ by at most one.
func (f *fleet) awaitBalanced() {
	f.tb.Helper()
	waitUntil(f.tb, 90*time.Second, "all nodes are active and the slots are balanced", func() bool {
		status, err := f.client().Status(context.Background())
		if err != nil || len(status.Silent) > 0 || len(status.Lagging) > 0 || len(status.Instances) != len(f.nodes) {
			return false
		}
		type slotRange struct{ least, most int }
		ranges := make(map[string]*slotRange)
		for _, i := range status.Instances {
			if i.State != "active" || i.Lease == 0 {
				return false
			}
			if f.isOut(i.Domain) {
				if i.Slots > 0 {
					return false
				}
				continue
			}
			s := ranges[i.Service]
			if s == nil {
				s = &slotRange{least: i.Slots, most: i.Slots}
				ranges[i.Service] = s
			}
			s.least, s.most = min(s.least, i.Slots), max(s.most, i.Slots)
		}
		for _, s := range ranges {
			// The instances of an unkeyed service own no slots.
			if s.most > 0 && s.least == 0 || s.most-s.least > 1 {
				return false
			}
		}
		return true
	})
}

// isOut reports whether the configuration takes a failure domain out of service.
func (f *fleet) isOut(domain string) bool {
	return strings.Contains(f.text, fmt.Sprintf(`"out": [%q]`, domain))
}

// slotOwner is the instance that owns a slot, and the epoch of its ownership.
type slotOwner struct {
	instance string
	epoch    uint64
}

// slotOwners returns the owner of each slot of a service; keys holds a key per slot.
func (f *fleet) slotOwners(service string, keys []string) []slotOwner {
	f.tb.Helper()
	out := make([]slotOwner, len(keys))
	client := f.client()
	for slot, key := range keys {
		reply, err := client.Key(context.Background(), operator.KeyRequest{Service: service, Key: key})
		if err != nil {
			f.tb.Fatal(err)
		}
		out[slot] = slotOwner{reply.Instance, reply.Epoch}
	}
	return out
}

// awaitStableOwners returns the slot owners once they stay the same for 1.5 seconds.
func (f *fleet) awaitStableOwners(service string, keys []string) []slotOwner {
	f.tb.Helper()
	for before := f.slotOwners(service, keys); ; {
		time.Sleep(1500 * time.Millisecond)
		after := f.slotOwners(service, keys)
		if slices.Equal(before, after) {
			return after
		}
		f.tb.Logf("slots are still moving")
		before = after
	}
}

// keyPerSlot returns for each slot a key that belongs to it.
func keyPerSlot(slots uint32) []string {
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
	// keyInterval is the time between two requests for a key in BenchmarkChange. A key
	// counts as unavailable in a gap between two answers of more than maxNormalGap.
	keyInterval  = 100 * time.Millisecond
	maxNormalGap = 2 * keyInterval
)

// traffic sends requests at a fixed rate and collects their results.
type traffic struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	tally   tally
	// last is the time of the latest answer for each key, and gap the longest time
	// between two answers for one key.
	last map[string]time.Time
	gap  time.Duration
	// downtime is the sum over all gaps longer than maxNormalGap, less keyInterval each.
	downtime time.Duration
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// request is what a traffic request asks for.
type request struct{ method, path, key string }

// loadClient sends the requests of traffic.
var loadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 30 * time.Second}

// startTraffic sends a request at each interval to a random daemon, without waiting for
// earlier responses.
func (f *fleet) startTraffic(interval time.Duration, seed uint64, next func(*rand.Rand) request) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{stop: cancel, last: make(map[string]time.Time)}
	tr.reset()
	random := rand.New(rand.NewPCG(seed, 1))
	callerAddrs := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		callerAddrs = append(callerAddrs, n.settings.Caller.String())
	}
	tr.wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			s, addr := next(random), callerAddrs[random.IntN(len(callerAddrs))]
			tr.wg.Go(func() { tr.send(addr, s) })
		}
	})
	return tr
}

// send sends one request to the daemon at addr and records the result.
func (tr *traffic) send(addr string, s request) {
	req, err := http.NewRequest(s.method, "http://"+addr+s.path, nil)
	if err != nil {
		return
	}
	if s.method == http.MethodPost {
		req.Header.Set(caller.HeaderIdempotencyKey, newID())
	}
	start := time.Now()
	resp, err := loadClient.Do(req)
	outcome := ""
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		outcome = resp.Header.Get(caller.HeaderOutcome)
	}
	tr.record(s.key, outcome, time.Now(), time.Since(start))
}

// record adds the result of a request; outcome is empty if the connection failed.
func (tr *traffic) record(key, outcome string, now time.Time, took time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	switch outcome {
	case "answered":
		tr.tally.answered++
		_ = tr.latency.RecordValue(took.Microseconds())
		if last, ok := tr.last[key]; ok {
			gap := now.Sub(last)
			tr.gap = max(tr.gap, gap)
			if gap > maxNormalGap {
				tr.downtime += gap - keyInterval
			}
		}
		tr.last[key] = now
	case "not-run":
		tr.tally.notRun++
	case "unknown":
		tr.tally.unknown++
	default:
		tr.tally.lostConnections++
	}
}

// reset clears the results, but keeps the times of the latest answers.
func (tr *traffic) reset() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.latency, tr.tally, tr.gap, tr.downtime = hdrhistogram.New(1, time.Minute.Microseconds(), 3), tally{}, 0, 0
}

// summary returns the outcomes and latencies of the requests since the last reset.
func (tr *traffic) summary() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	percentile := func(p float64) time.Duration {
		return (time.Duration(tr.latency.ValueAtPercentile(p)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("answered %d, not run %d, unknown %d, lost %d; p50 %s p99 %s p99.9 %s max %s",
		tr.tally.answered, tr.tally.notRun, tr.tally.unknown, tr.tally.lostConnections,
		percentile(50), percentile(99), percentile(99.9), percentile(100))
}

// longestGap returns the longest time between two answers for one key.
func (tr *traffic) longestGap() time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.gap.Round(time.Millisecond)
}

// unavailable returns the time, summed over all keys, for which a key had no answer
// beyond its request interval.
func (tr *traffic) unavailable() time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.downtime
}

// end stops sending and waits for outstanding responses.
func (tr *traffic) end() {
	tr.stop()
	tr.wg.Wait()
}

// runTotals returns the number of runs at each target of a service, by instance.
func (f *fleet) runTotals(service string) map[string]int {
	out := make(map[string]int)
	for _, n := range f.nodes {
		if n.settings.Service == service {
			out[n.settings.Instance] = n.stub.Runs().Total
		}
	}
	return out
}

// compareOwners returns how many slots have a different owner after than before, and how
// many changes of ownership there were in between.
func compareOwners(before, after []slotOwner) (moved, changes int) {
	for slot := range before {
		if before[slot].instance != after[slot].instance {
			moved++
		}
		changes += int(after[slot].epoch - before[slot].epoch)
	}
	return moved, changes
}
