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
	// lapse is well over the time after which a lease and a grant have run out.
	lapse = 1500 * time.Millisecond
	// settle is the few seconds after which a change must be in force.
	settle = 4 * time.Second
)

// TestFaults loses and stops processes under load, and compares every answer
// with what ran.
func TestFaults(t *testing.T) {
	t.Parallel()
	d := deployTraced(t, 5, true)
	d.serving()
	l := d.spread(6, 25*time.Millisecond, 1)
	for _, c := range []struct {
		name string
		run  func(*testing.T, *deployment)
	}{
		{"an owner is frozen past its lease and wakes", frozenOwner},
		{"a daemon is killed and its target lives on", lostDaemon},
		{"an owner is killed while the platform is down", lossInOutage},
		{"replies of the platform are lost", lostReplies},
		{"garbage comes to the ports of a daemon", garbage},
		{"all instances are killed and started again", restartAll},
		{"one is asked to stop while others close it", stopWhileClosed},
	} {
		if !t.Run(c.name, func(t *testing.T) { c.run(t, d) }) {
			break
		}
		d.settled()
	}
	l.end()
	t.Log(d.audit())
}

// fenced sends a request straight to a target, as a daemon that owned the key
// would, and tells whether the target rejected it.
func (i *instance) fenced(t *testing.T, held operator.KeyReply) bool {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+i.target+"/visits/"+held.Key, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(targethttp.HeaderID, newID())
	req.Header.Set(targethttp.HeaderSlot, fmt.Sprint(held.Slot))
	req.Header.Set(targethttp.HeaderEpoch, fmt.Sprint(held.Epoch))
	req.Header.Set(targethttp.HeaderGeneration, strconv.FormatUint(uint64(held.Generation), 10))
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode == targethttp.StatusFenced
}

// held returns how a key is owned, as an instance knows it.
func (d *deployment) held(at *instance, key string) operator.KeyReply {
	d.t.Helper()
	var reply operator.KeyReply
	out, code := d.run("key", "agenda", key, "--daemon", at.operator, "--json")
	if code != 0 || json.Unmarshal([]byte(out), &reply) != nil {
		d.t.Fatalf("key: exit %d: %s", code, out)
	}
	return reply
}

// delay sets how long each request takes longer at an instance's target.
func (i *instance) delay(t *testing.T, by time.Duration) {
	t.Helper()
	resp, err := client.Post("http://"+i.target+"/fault?delay="+by.String(), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// serves waits until an instance answers a booking of a key with a fresh ID.
func (d *deployment) serves(at *instance, key string) {
	d.t.Helper()
	until(d.t, 30*time.Second, "the key is served", func() bool {
		return d.trace.ask(at, http.MethodPost, "/agenda/visits/"+key, newID()).outcome == "answered"
	})
}

func frozenOwner(t *testing.T, d *deployment) {
	d.balanced()
	owner := d.owner("17")
	other := d.other(owner)
	before := d.held(other, "17")
	owner.delay(t, 300*time.Millisecond)
	ids := make([]string, 16)
	answers := make(chan answer, 2*len(ids))
	for n := range ids {
		ids[n] = newID()
		at := owner
		if n%2 == 0 {
			at = other
		}
		go func() { answers <- d.trace.ask(at, http.MethodPost, "/agenda/visits/17", ids[n]) }()
	}
	time.Sleep(150 * time.Millisecond)
	owner.daemon.signal(syscall.SIGSTOP)
	d.serves(other, "17")
	if after := d.held(other, "17"); after.Epoch <= before.Epoch || after.Instance == owner.name {
		t.Errorf("owned by %s at epoch %d, before by %s at %d", after.Instance, after.Epoch, before.Instance, before.Epoch)
	}
	time.Sleep(lapse)
	if !owner.fenced(t, before) {
		t.Error("the target took an order under a grant that had run out")
	}
	owner.daemon.signal(syscall.SIGCONT)
	// The callers ask again, under the same IDs, at once.
	for n := range ids {
		go func() { answers <- d.trace.ask(owner, http.MethodPost, "/agenda/visits/17", ids[n]) }()
	}
	for range cap(answers) {
		<-answers
	}
	if !owner.fenced(t, before) {
		t.Error("the target took an order of the closed generation")
	}
	owner.delay(t, 0)
}

func lostDaemon(t *testing.T, d *deployment) {
	d.balanced()
	owner := d.owner("18")
	other := d.other(owner)
	before := d.held(other, "18")
	if owner.fenced(t, before) {
		t.Fatal("the target rejected an order under a grant in force")
	}
	owner.daemon.kill()
	d.serves(other, "18")
	if after := d.held(other, "18"); after.Instance == owner.name || after.Epoch <= before.Epoch {
		t.Errorf("still owned by %s at epoch %d", after.Instance, after.Epoch)
	}
	time.Sleep(lapse)
	if !owner.fenced(t, before) {
		t.Error("the target took an order under a grant that had run out")
	}
	// A daemon starts under the same addresses, and its predecessor is closed.
	owner.daemon = d.start("fulmarrun", "run", "--settings", owner.settings)
	d.settled()
	status, err := d.status(other)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range status.Instances {
		if i.Generation == before.Generation {
			t.Errorf("generation %x of %s is not closed", i.Generation, i.Instance)
		}
	}
	if !owner.fenced(t, before) {
		t.Error("the target took an order of the closed generation")
	}
}

func lossInOutage(t *testing.T, d *deployment) {
	d.faults(platformstub.Faults{Outage: true})
	// A hand-over that was under way has ended by then, and no other can begin.
	time.Sleep(lapse)
	owner := d.owner("19")
	other := d.other(owner)
	owner.kill()
	// A request that went out on the connection to the owner as it died may have
	// run; later ones did not.
	time.Sleep(lapse)
	// Only the owner that is lost knows whether it ran an ID of the caller's own,
	// so that it is not called not run.
	var wg sync.WaitGroup
	for _, c := range []struct{ method, id, outcome string }{
		{http.MethodGet, "", "not-run"},
		{http.MethodPost, "", "not-run"},
		{http.MethodPost, newID(), "unknown"},
	} {
		wg.Go(func() {
			if a := d.trace.ask(other, c.method, "/agenda/visits/19", c.id); a.outcome != c.outcome || a.retry == "" {
				t.Errorf("while nobody may take over: %+v", a)
			}
		})
	}
	wg.Wait()
	d.faults(platformstub.Faults{})
	d.serves(other, "19")
	d.launch(owner)
}

func lostReplies(t *testing.T, d *deployment) {
	for _, faults := range []platformstub.Faults{
		{LoseNext: 4},
		{LateNext: 2, LateDelay: 700 * time.Millisecond},
	} {
		owner := d.owner("20")
		other := d.other(owner)
		d.faults(faults)
		// The take-over, and then the join of the next daemon, lose replies.
		owner.kill()
		d.serves(other, "20")
		d.faults(faults)
		d.launch(owner)
		d.settled()
		// So does the hand-over of a leave.
		owner = d.owner("21")
		d.faults(faults)
		if out, code := d.run("leave", "--daemon", owner.operator); code != 0 {
			t.Fatalf("leave: exit %d: %s", code, out)
		}
		<-owner.daemon.done
		d.serves(d.other(owner), "21")
		d.faults(platformstub.Faults{})
		owner.stub.kill()
		d.launch(owner)
		d.settled()
	}
}

func garbage(t *testing.T, d *deployment) {
	// A key that moves for balance would not show what garbage does.
	d.balanced()
	owner := d.owner("22")
	junk := [][]byte{
		{},
		{0},
		{0xff, 0xff, 0xff, 0xff, 0xff},
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		make([]byte, 60_000),
		{0, 0, 0, 4, 1, 2, 3, 4},
		{0xde, 0xad, 0xbe, 0xef},
		{0x93, 0xc0, 0xc0, 0xc0},
	}
	for _, port := range []string{owner.peer, owner.caller, owner.operator, owner.announce} {
		for _, data := range junk {
			conn, err := net.Dial("tcp", port)
			if err != nil {
				t.Fatalf("%s takes no connection: %v", port, err)
			}
			_, _ = conn.Write(data)
			_ = conn.Close()
		}
	}
	datagrams, err := net.Dial("udp", owner.peer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = datagrams.Close() }()
	for range 50 {
		for _, data := range junk {
			_, _ = datagrams.Write(data)
		}
	}
	if a := d.trace.ask(d.other(owner), http.MethodPost, "/agenda/visits/22", newID()); a.outcome != "answered" {
		t.Errorf("after garbage: %+v", a)
	}
	if now := d.owner("22"); now != owner {
		t.Errorf("the key moved to %s", now.name)
	}
}

func restartAll(_ *testing.T, d *deployment) {
	for _, i := range d.instances {
		i.kill()
	}
	for _, i := range d.instances {
		d.launch(i)
	}
	d.serving()
	for _, i := range d.instances {
		d.serves(i, "23")
	}
}

// stopWhileClosed has a daemon learn that it is to stop just before it learns that its
// keys have been taken over.
func stopWhileClosed(t *testing.T, d *deployment) {
	d.balanced()
	owner := d.owner("24")
	other := d.other(owner)
	owner.daemon.signal(syscall.SIGSTOP)
	d.serves(other, "24")
	owner.daemon.signal(syscall.SIGTERM)
	owner.daemon.signal(syscall.SIGCONT)
	select {
	case <-owner.daemon.done:
	case <-time.After(30 * time.Second):
		t.Error("the daemon goes on although it was asked to stop")
		owner.daemon.kill()
	}
	owner.stub.kill()
	d.launch(owner)
}

// counts returns what an instance's target has run.
func (i *instance) counts(t *testing.T) targetstub.Runs {
	t.Helper()
	resp, err := client.Get("http://" + i.target + "/runs")
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
