package e2e_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// asked is one request of a caller and what came of it.
type asked struct {
	method   string
	path     string
	id       string
	sent     time.Time
	received time.Time
	answer   answer
}

// trace takes down all requests of a test.
type trace struct {
	mu   sync.Mutex
	asks []asked
}

// ask sends a request, notes it and returns its answer.
func (tr *trace) ask(i *instance, method, path, id string) answer {
	a := asked{method: method, path: path, id: id, sent: time.Now()}
	a.answer = i.ask(method, path, id)
	a.received = time.Now()
	if a.id == "" {
		a.id = a.answer.id
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.asks = append(tr.asks, a)
	return a.answer
}

// tally counts outcomes.
type tally struct{ answered, notRun, unknown, broken, doubles, falseNotRun, unrun, foreign int }

func (t tally) String() string {
	return fmt.Sprintf("answered %d, not run %d, unknown %d, connection lost %d; run twice %d, wrongly not run %d, "+
		"answered but not run %d, answer of another %d", t.answered, t.notRun, t.unknown, t.broken,
		t.doubles, t.falseNotRun, t.unrun, t.foreign)
}

// started is one run that a target took down.
type started struct {
	at     time.Time
	method string
}

// journals returns the runs of each request ID over all targets, also those that
// were killed.
func (d *deployment) journals() map[string][]started {
	d.t.Helper()
	out := make(map[string][]started)
	for _, i := range d.instances {
		f, err := os.Open(i.journal)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			d.t.Fatal(err)
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			var at int64
			var method, id, path string
			if n, err := fmt.Sscanf(lines.Text(), "%d %s %q %q", &at, &method, &id, &path); n != 4 {
				d.t.Fatalf("journal of %s: %q: %v", i.name, lines.Text(), err)
			}
			out[id] = append(out[id], started{at: time.Unix(0, at), method: method})
		}
		_ = f.Close()
	}
	return out
}

// audit compares what callers were told with what the targets ran, and reports
// each contradiction as an error.
func (d *deployment) audit() tally {
	d.t.Helper()
	var out tally
	runs := d.journals()
	for id, r := range runs {
		if r[0].method == http.MethodPost && id != "" && len(r) > 1 {
			out.doubles++
			d.t.Errorf("%s ran %d times", id, len(r))
		}
	}
	d.trace.mu.Lock()
	defer d.trace.mu.Unlock()
	// An ID that was asked for again may rightly run after a refusal.
	ran := make(map[string]bool)
	for _, a := range d.trace.asks {
		ran[a.id] = ran[a.id] || a.answer.outcome != "not-run"
	}
	for _, a := range d.trace.asks {
		d.judge(a, runs[a.id], ran[a.id], &out)
	}
	return out
}

func (d *deployment) judge(a asked, runs []started, ran bool, out *tally) {
	d.t.Helper()
	switch a.answer.outcome {
	case "answered":
		out.answered++
		if len(runs) == 0 {
			out.unrun++
			d.t.Errorf("answered but never ran: %+v", a)
		}
		if !a.own() {
			out.foreign++
			d.t.Errorf("answer of another request: %+v", a)
		}
	case "not-run":
		out.notRun++
		early := func(s started) bool { return s.at.Before(a.received) }
		if len(runs) > 0 && !ran || slices.ContainsFunc(runs, early) {
			out.falseNotRun++
			d.t.Errorf("told not run at %s but ran at %v: %+v", a.received, runs, a)
		}
	case "unknown":
		out.unknown++
	default:
		out.broken++
	}
}

// own tells whether an answer is that of the target to this very request: each
// repeats the ID, and one that is not the target's complaint that the deadline
// has passed echoes the request.
func (a asked) own() bool {
	if a.answer.target != a.id {
		return false
	}
	if a.answer.status == http.StatusGatewayTimeout {
		return true
	}
	body := a.answer.body
	return a.answer.status == http.StatusOK && body.ID == a.id && body.Method == a.method &&
		strings.HasSuffix(a.path, body.Path)
}

// load is a steady stream of requests.
type load struct {
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// spread starts callers that send a request every gap each, to random instances
// for random keys: reads, orders and bookings, with IDs of their own or without.
func (d *deployment) spread(callers int, gap time.Duration, seed uint64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel}
	instances := slices.Clone(d.instances)
	for n := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for ctx.Err() == nil {
				d.one(random, instances)
				time.Sleep(gap)
			}
		}()
	}
	d.t.Cleanup(l.end)
	return l
}

func (d *deployment) one(random *rand.Rand, instances []*instance) {
	i := instances[random.IntN(len(instances))]
	path := fmt.Sprintf("/agenda/visits/%d", random.IntN(200))
	switch random.IntN(4) {
	case 0:
		d.trace.ask(i, http.MethodGet, path, newID())
	case 1:
		d.trace.ask(i, http.MethodPost, path, "")
	case 2:
		d.trace.ask(i, http.MethodPost, path, newID())
	default:
		d.trace.ask(i, http.MethodPost, "/agenda/orders", newID())
	}
}

// end stops the callers and waits for them.
func (l *load) end() {
	l.stop()
	l.wg.Wait()
}

// TestAuditCatches shows that the comparison finds each contradiction.
func TestAuditCatches(t *testing.T) {
	at := time.Now()
	run := []started{{at: at.Add(-time.Second), method: http.MethodPost}}
	late := []started{{at: at.Add(time.Second), method: http.MethodPost}}
	told := func(outcome string) asked {
		a := asked{method: http.MethodPost, path: "/agenda/orders", id: "a", received: at, answer: answer{
			status: http.StatusOK, outcome: outcome, target: "a",
		}}
		a.answer.body.ID, a.answer.body.Path, a.answer.body.Method = "a", "/orders", http.MethodPost
		return a
	}
	crossed := told("answered")
	crossed.answer.body.ID = "b"
	late504 := told("answered")
	late504.answer.status, late504.answer.target = http.StatusGatewayTimeout, "b"
	for _, c := range []struct {
		name string
		ask  asked
		runs []started
		ran  bool
		bad  bool
	}{
		{"answered and ran", told("answered"), run, true, false},
		{"not run", told("not-run"), nil, false, false},
		{"not run, then asked again", told("not-run"), late, true, false},
		{"unknown", told("unknown"), run, true, false},
		{"answered but never ran", told("answered"), nil, true, true},
		{"not run but ran before", told("not-run"), run, true, true},
		{"not run but runs later", told("not-run"), late, false, true},
		{"crossed", crossed, run, true, true},
		{"a complaint about another request", late504, run, true, true},
	} {
		fake := &recording{TB: t}
		var out tally
		(&deployment{t: fake}).judge(c.ask, c.runs, c.ran, &out)
		if (fake.errors > 0) != c.bad {
			t.Errorf("%s: %d errors", c.name, fake.errors)
		}
	}
}

// recording counts the errors that are reported to it.
type recording struct {
	testing.TB
	errors int
}

func (r *recording) Errorf(string, ...any) { r.errors++ }
