package e2e_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"fulmarrun/operator"
	"fulmarrun/platformstub"
	"fulmarrun/targethttp"
	"fulmarrun/targetstub"
)

const (
	// expiry is well over the duration of a lease and of a grant.
	expiry = 1500 * time.Millisecond
	// propagationLimit is the time within which a change must be in force everywhere.
	propagationLimit = 4 * time.Second
)

// TestFaults kills, freezes and stops processes under load, and compares every
// response with the runs that the targets journaled.
func TestFaults(t *testing.T) {
	t.Parallel()
	d := deployTraced(t, 5, true)
	d.awaitServing()
	l := d.startLoad(6, 25*time.Millisecond, 1)
	for _, c := range []struct {
		name string
		run  func(*testing.T, *deployment)
	}{
		{"an owner is frozen beyond its lease and resumes", testFrozenOwner},
		{"a daemon is killed and its target keeps running", testKilledDaemon},
		{"an owner is killed while the platform is down", testLossInOutage},
		{"platform replies are lost", testLostReplies},
		{"a daemon receives malformed input on all ports", testMalformedInput},
		{"all instances are killed and restarted", testRestartAll},
		{"a daemon is asked to stop while others take over its keys", testStopDuringTakeover},
	} {
		if !t.Run(c.name, func(t *testing.T) { c.run(t, d) }) {
			break
		}
		d.awaitSettled()
	}
	l.end()
	t.Log(d.audit())
}

// fenced sends a request directly to the target, as a daemon with the given ownership
// would, and reports whether the target rejected it by fencing.
func (i *instance) fenced(t *testing.T, ownership operator.KeyReply) bool {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+i.targetAddr+"/visits/"+ownership.Key, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(targethttp.HeaderID, newID())
	req.Header.Set(targethttp.HeaderSlot, fmt.Sprint(ownership.Slot))
	req.Header.Set(targethttp.HeaderEpoch, fmt.Sprint(ownership.Epoch))
	req.Header.Set(targethttp.HeaderGeneration, strconv.FormatUint(uint64(ownership.Generation), 10))
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode == targethttp.StatusFenced
}

// keyOwnership returns the owner and epoch of a key as the daemon of via knows them.
func (d *deployment) keyOwnership(via *instance, key string) operator.KeyReply {
	d.t.Helper()
	var reply operator.KeyReply
	out, code := d.runCLI("key", "agenda", key, "--daemon", via.operatorAddr, "--json")
	if code != 0 || json.Unmarshal([]byte(out), &reply) != nil {
		d.t.Fatalf("key: exit %d: %s", code, out)
	}
	return reply
}

// setDelay adds extra time to each request at the instance's target.
func (i *instance) setDelay(t *testing.T, extra time.Duration) {
	t.Helper()
	resp, err := client.Post("http://"+i.targetAddr+"/fault?delay="+extra.String(), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// awaitKeyServed waits until via answers a POST request for a key with a new ID.
func (d *deployment) awaitKeyServed(via *instance, key string) {
	d.t.Helper()
	waitUntil(d.t, 30*time.Second, "requests for the key are answered", func() bool {
		return d.trace.send(via, http.MethodPost, "/agenda/visits/"+key, newID()).outcome == "answered"
	})
}

// testFrozenOwner freezes an owner while requests run, until another instance has taken
// over, and repeats the requests when the owner resumes.
func testFrozenOwner(t *testing.T, d *deployment) {
	d.awaitBalanced()
	owner := d.owner("17")
	other := d.other(owner)
	before := d.keyOwnership(other, "17")
	owner.setDelay(t, 300*time.Millisecond)
	ids := make([]string, 16)
	responses := make(chan response, 2*len(ids))
	for n := range ids {
		ids[n] = newID()
		via := owner
		if n%2 == 0 {
			via = other
		}
		go func() { responses <- d.trace.send(via, http.MethodPost, "/agenda/visits/17", ids[n]) }()
	}
	time.Sleep(150 * time.Millisecond)
	owner.daemon.signal(syscall.SIGSTOP)
	d.awaitKeyServed(other, "17")
	if after := d.keyOwnership(other, "17"); after.Epoch <= before.Epoch || after.Instance == owner.name {
		t.Errorf("key is owned by %s at epoch %d; before the freeze it was owned by %s at epoch %d", after.Instance, after.Epoch, before.Instance, before.Epoch)
	}
	time.Sleep(expiry)
	if !owner.fenced(t, before) {
		t.Error("target accepted a request under an expired grant")
	}
	owner.daemon.signal(syscall.SIGCONT)
	// All callers retry at the same time under the same IDs.
	for n := range ids {
		go func() { responses <- d.trace.send(owner, http.MethodPost, "/agenda/visits/17", ids[n]) }()
	}
	for range cap(responses) {
		<-responses
	}
	if !owner.fenced(t, before) {
		t.Error("target accepted a request of the closed generation")
	}
	owner.setDelay(t, 0)
}

// testKilledDaemon kills the daemon of an owner but not its target, and starts a new
// daemon at the same addresses.
func testKilledDaemon(t *testing.T, d *deployment) {
	d.awaitBalanced()
	owner := d.owner("18")
	other := d.other(owner)
	before := d.keyOwnership(other, "18")
	if owner.fenced(t, before) {
		t.Fatal("target rejected a request under a valid grant")
	}
	owner.daemon.kill()
	d.awaitKeyServed(other, "18")
	if after := d.keyOwnership(other, "18"); after.Instance == owner.name || after.Epoch <= before.Epoch {
		t.Errorf("key was not taken over: owned by %s at epoch %d", after.Instance, after.Epoch)
	}
	time.Sleep(expiry)
	if !owner.fenced(t, before) {
		t.Error("target accepted a request under an expired grant")
	}
	// The new daemon has the addresses of the killed one, whose generation gets closed.
	owner.daemon = d.startProcess("fulmarrun", "run", "--settings", owner.settingsFile)
	d.awaitSettled()
	status, err := d.status(other)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range status.Instances {
		if i.Generation == before.Generation {
			t.Errorf("killed generation %x of %s is still listed in the status", i.Generation, i.Instance)
		}
	}
	if !owner.fenced(t, before) {
		t.Error("target accepted a request of the closed generation")
	}
}

// testLossInOutage kills an owner while no take-over is possible.
func testLossInOutage(t *testing.T, d *deployment) {
	d.setFaults(platformstub.Faults{Outage: true})
	// By then a handover in progress has ended, and the outage prevents new ones.
	time.Sleep(expiry)
	owner := d.owner("19")
	other := d.other(owner)
	owner.kill()
	// A request sent on the connection to the owner while it was killed may have run;
	// later requests have not.
	time.Sleep(expiry)
	// Only the killed owner knows whether a request with a caller-supplied ID ran, so
	// its outcome is unknown rather than not-run.
	var wg sync.WaitGroup
	for _, c := range []struct{ method, id, outcome string }{
		{http.MethodGet, "", "not-run"},
		{http.MethodPost, "", "not-run"},
		{http.MethodPost, newID(), "unknown"},
	} {
		wg.Go(func() {
			if a := d.trace.send(other, c.method, "/agenda/visits/19", c.id); a.outcome != c.outcome || a.retryAfter == "" {
				t.Errorf("response while the key has no owner: %+v", a)
			}
		})
	}
	wg.Wait()
	d.setFaults(platformstub.Faults{})
	d.awaitKeyServed(other, "19")
	d.startInstance(owner)
}

// testLostReplies has the platform lose or delay its replies during a take-over, a join
// and the handover of a leaving daemon.
func testLostReplies(t *testing.T, d *deployment) {
	for _, faults := range []platformstub.Faults{
		{LoseNext: 4},
		{LateNext: 2, LateDelay: 700 * time.Millisecond},
	} {
		owner := d.owner("20")
		other := d.other(owner)
		d.setFaults(faults)
		// Replies are lost during the take-over and then during the join of the new daemon.
		owner.kill()
		d.awaitKeyServed(other, "20")
		d.setFaults(faults)
		d.startInstance(owner)
		d.awaitSettled()
		// Replies are also lost during the handover of a leaving daemon.
		owner = d.owner("21")
		d.setFaults(faults)
		if out, code := d.runCLI("leave", "--daemon", owner.operatorAddr); code != 0 {
			t.Fatalf("leave: exit %d: %s", code, out)
		}
		<-owner.daemon.done
		d.awaitKeyServed(d.other(owner), "21")
		d.setFaults(platformstub.Faults{})
		owner.stub.kill()
		d.startInstance(owner)
		d.awaitSettled()
	}
}

// testMalformedInput sends malformed data to every port of a daemon, which must keep its
// key and keep answering.
func testMalformedInput(t *testing.T, d *deployment) {
	// Rebalancing could move the key and hide the effect of the malformed input.
	d.awaitBalanced()
	owner := d.owner("22")
	inputs := [][]byte{
		{},
		{0},
		{0xff, 0xff, 0xff, 0xff, 0xff},
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		make([]byte, 60_000),
		{0, 0, 0, 4, 1, 2, 3, 4},
		{0xde, 0xad, 0xbe, 0xef},
		{0x93, 0xc0, 0xc0, 0xc0},
	}
	for _, port := range []string{owner.peerAddr, owner.callerAddr, owner.operatorAddr, owner.announceAddr} {
		for _, data := range inputs {
			conn, err := net.Dial("tcp", port)
			if err != nil {
				t.Fatalf("connect to %s: %v", port, err)
			}
			_, _ = conn.Write(data)
			_ = conn.Close()
		}
	}
	datagrams, err := net.Dial("udp", owner.peerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = datagrams.Close() }()
	for range 50 {
		for _, data := range inputs {
			_, _ = datagrams.Write(data)
		}
	}
	if a := d.trace.send(d.other(owner), http.MethodPost, "/agenda/visits/22", newID()); a.outcome != "answered" {
		t.Errorf("response after malformed input: %+v", a)
	}
	if newOwner := d.owner("22"); newOwner != owner {
		t.Errorf("key moved to %s after malformed input", newOwner.name)
	}
}

// testRestartAll kills all instances and expects the restarted ones to serve again.
func testRestartAll(_ *testing.T, d *deployment) {
	for _, i := range d.instances {
		i.kill()
	}
	for _, i := range d.instances {
		d.startInstance(i)
	}
	d.awaitServing()
	for _, i := range d.instances {
		d.awaitKeyServed(i, "23")
	}
}

// testStopDuringTakeover makes a daemon receive SIGTERM just before it learns that its
// keys have been taken over.
func testStopDuringTakeover(t *testing.T, d *deployment) {
	d.awaitBalanced()
	owner := d.owner("24")
	other := d.other(owner)
	owner.daemon.signal(syscall.SIGSTOP)
	d.awaitKeyServed(other, "24")
	owner.daemon.signal(syscall.SIGTERM)
	owner.daemon.signal(syscall.SIGCONT)
	select {
	case <-owner.daemon.done:
	case <-time.After(30 * time.Second):
		t.Error("daemon is still running 30 s after SIGTERM")
		owner.daemon.kill()
	}
	owner.stub.kill()
	d.startInstance(owner)
}

// targetRuns returns the run counts that the instance's target reports.
func (i *instance) targetRuns(t *testing.T) targetstub.Runs {
	t.Helper()
	resp, err := client.Get("http://" + i.targetAddr + "/runs")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var runs targetstub.Runs
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		t.Fatal(err)
	}
	return runs
}
