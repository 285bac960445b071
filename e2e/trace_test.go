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

// requestRecord is one request of a caller and its response.
type requestRecord struct {
	method   string
	path     string
	id       string
	sent     time.Time
	received time.Time
	response response
}

// trace records all requests of a test.
type trace struct {
	mu       sync.Mutex
	requests []requestRecord
}

// send sends a request to an instance, records it and returns the response.
func (tr *trace) send(i *instance, method, path, id string) response {
	a := requestRecord{method: method, path: path, id: id, sent: time.Now()}
	a.response = i.send(method, path, id)
	a.received = time.Now()
	if a.id == "" {
		a.id = a.response.id
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.requests = append(tr.requests, a)
	return a.response
}

// tally counts outcomes of requests, and contradictions to the runs at targets.
type tally struct{ answered, notRun, unknown, lostConnections, duplicateRuns, wrongNotRun, answeredNotRun, mismatched int }

func (t tally) String() string {
	return fmt.Sprintf("answered %d, not run %d, unknown %d, connection lost %d; run twice %d, wrongly not run %d, "+
		"answered but not run %d, answer of another %d", t.answered, t.notRun, t.unknown, t.lostConnections,
		t.duplicateRuns, t.wrongNotRun, t.answeredNotRun, t.mismatched)
}

// startedRun is the start of a run that a target journaled.
type startedRun struct {
	at     time.Time
	method string
}

// journaledRuns returns the runs of each request ID from the journals of all targets,
// including killed ones.
func (d *deployment) journaledRuns() map[string][]startedRun {
	d.t.Helper()
	out := make(map[string][]startedRun)
	for _, i := range d.instances {
		f, err := os.Open(i.journalFile)
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
			out[id] = append(out[id], startedRun{at: time.Unix(0, at), method: method})
		}
		_ = f.Close()
	}
	return out
}

// audit compares the responses to callers with the runs that the targets journaled,
// and reports each contradiction as an error.
func (d *deployment) audit() tally {
	d.t.Helper()
	var out tally
	runs := d.journaledRuns()
	for id, r := range runs {
		if r[0].method == http.MethodPost && id != "" && len(r) > 1 {
			out.duplicateRuns++
			d.t.Errorf("request %s ran %d times, want once", id, len(r))
		}
	}
	d.trace.mu.Lock()
	defer d.trace.mu.Unlock()
	// A request that was retried under the same ID may run after a not-run response.
	mayHaveRun := make(map[string]bool)
	for _, a := range d.trace.requests {
		mayHaveRun[a.id] = mayHaveRun[a.id] || a.response.outcome != "not-run"
	}
	for _, a := range d.trace.requests {
		d.checkRecord(a, runs[a.id], mayHaveRun[a.id], &out)
	}
	return out
}

// checkRecord counts the outcome of a request and reports an error if it contradicts the
// runs. mayHaveRun is true if any response under the same ID was other than not-run.
func (d *deployment) checkRecord(a requestRecord, runs []startedRun, mayHaveRun bool, out *tally) {
	d.t.Helper()
	switch a.response.outcome {
	case "answered":
		out.answered++
		if len(runs) == 0 {
			out.answeredNotRun++
			d.t.Errorf("request was answered but never ran: %+v", a)
		}
		if !a.matchesRequest() {
			out.mismatched++
			d.t.Errorf("response belongs to another request: %+v", a)
		}
	case "not-run":
		out.notRun++
		beforeResponse := func(s startedRun) bool { return s.at.Before(a.received) }
		if len(runs) > 0 && !mayHaveRun || slices.ContainsFunc(runs, beforeResponse) {
			out.wrongNotRun++
			d.t.Errorf("outcome not-run received at %s but request ran at %v: %+v", a.received, runs, a)
		}
	case "unknown":
		out.unknown++
	default:
		out.lostConnections++
	}
}

// matchesRequest reports whether the response is the target's answer to this request.
// Every answer repeats the ID, and all but the status 504, which says that the deadline
// has passed, also echo the request.
func (a requestRecord) matchesRequest() bool {
	if a.response.echoedID != a.id {
		return false
	}
	if a.response.status == http.StatusGatewayTimeout {
		return true
	}
	body := a.response.body
	return a.response.status == http.StatusOK && body.ID == a.id && body.Method == a.method &&
		strings.HasSuffix(a.path, body.Path)
}

// load is a number of callers that send requests continuously.
type load struct {
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// startLoad starts callers that send a request and then wait for the interval, again and
// again. Instances and keys are random, and reads, orders and bookings mix, with and
// without caller-supplied IDs.
func (d *deployment) startLoad(callers int, interval time.Duration, seed uint64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel}
	instances := slices.Clone(d.instances)
	for n := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for ctx.Err() == nil {
				d.sendRandom(random, instances)
				time.Sleep(interval)
			}
		}()
	}
	d.t.Cleanup(l.end)
	return l
}

// sendRandom sends one request of a random kind for a random key to a random instance.
func (d *deployment) sendRandom(random *rand.Rand, instances []*instance) {
	i := instances[random.IntN(len(instances))]
	path := fmt.Sprintf("/agenda/visits/%d", random.IntN(200))
	switch random.IntN(4) {
	case 0:
		d.trace.send(i, http.MethodGet, path, newID())
	case 1:
		d.trace.send(i, http.MethodPost, path, "")
	case 2:
		d.trace.send(i, http.MethodPost, path, newID())
	default:
		d.trace.send(i, http.MethodPost, "/agenda/orders", newID())
	}
}

// end stops the callers and waits until their last requests are done.
func (l *load) end() {
	l.stop()
	l.wg.Wait()
}

// TestAuditFindsContradictions checks that audit reports each kind of contradiction
// between a response and the runs, and nothing else.
func TestAuditFindsContradictions(t *testing.T) {
	at := time.Now()
	run := []startedRun{{at: at.Add(-time.Second), method: http.MethodPost}}
	late := []startedRun{{at: at.Add(time.Second), method: http.MethodPost}}
	recordWith := func(outcome string) requestRecord {
		a := requestRecord{method: http.MethodPost, path: "/agenda/orders", id: "a", received: at, response: response{
			status: http.StatusOK, outcome: outcome, echoedID: "a",
		}}
		a.response.body.ID, a.response.body.Path, a.response.body.Method = "a", "/orders", http.MethodPost
		return a
	}
	mismatched := recordWith("answered")
	mismatched.response.body.ID = "b"
	late504 := recordWith("answered")
	late504.response.status, late504.response.echoedID = http.StatusGatewayTimeout, "b"
	for _, c := range []struct {
		name       string
		record     requestRecord
		runs       []startedRun
		mayHaveRun bool
		wantError  bool
	}{
		{"answered and ran", recordWith("answered"), run, true, false},
		{"not run", recordWith("not-run"), nil, false, false},
		{"not run, then retried", recordWith("not-run"), late, true, false},
		{"unknown", recordWith("unknown"), run, true, false},
		{"answered but never ran", recordWith("answered"), nil, true, true},
		{"not run but ran before", recordWith("not-run"), run, true, true},
		{"not run but runs later", recordWith("not-run"), late, false, true},
		{"response to another request", mismatched, run, true, true},
		{"status 504 for another request", late504, run, true, true},
	} {
		fake := &errorCounter{TB: t}
		var out tally
		(&deployment{t: fake}).checkRecord(c.record, c.runs, c.mayHaveRun, &out)
		if (fake.errors > 0) != c.wantError {
			t.Errorf("%s: checkRecord reported %d errors", c.name, fake.errors)
		}
	}
}

// errorCounter is a testing.TB that counts errors instead of failing the test.
type errorCounter struct {
	testing.TB
	errors int
}

func (r *errorCounter) Errorf(string, ...any) { r.errors++ }
