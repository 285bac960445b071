package targetstub_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"fulmarrun/targethttp"
	"fulmarrun/targetstub"
	"fulmarrun/wire"
)

// started runs a stub and returns a client that learned of it by announcement.
func started(t *testing.T, opts ...targetstub.Option) (*targetstub.Stub, *targethttp.Client, <-chan targethttp.Announcement) {
	t.Helper()
	seen := make(chan targethttp.Announcement, 100)
	server := targethttp.NewServer()
	server.OnAnnounce = func(a targethttp.Announcement) { seen <- a }
	daemon := httptest.NewServer(server)
	t.Cleanup(daemon.Close)
	address := netip.MustParseAddrPort(daemon.Listener.Addr().String())
	stub := targetstub.NewStub(append(opts, targetstub.WithName("a"), targetstub.WithDaemon(address))...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- stub.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	client := targethttp.NewClient()
	t.Cleanup(client.Close)
	a := <-seen
	client.SetDestination(targethttp.Destination{Address: a.Address, ChecksFences: a.ChecksFences})
	return stub, client, seen
}

func TestEcho(t *testing.T) {
	stub, client, _ := started(t)
	r := &wire.Request{ID: "id", Key: "a b", Method: http.MethodPost, Path: "/x?size=100000", Body: []byte("12345")}
	resp, err := client.Do(t.Context(), r, targethttp.Fence{})
	if err != nil {
		t.Fatal(err)
	}
	var echo targetstub.Echo
	if err := json.Unmarshal(resp.Body, &echo); err != nil {
		t.Fatal(err)
	}
	if len(echo.Pad) != 100000 {
		t.Errorf("answer has %d bytes of padding", len(echo.Pad))
	}
	echo.Pad = ""
	if want := (targetstub.Echo{Instance: "a", Method: "POST", Path: r.Path, Key: "a b", ID: "id", Body: 5}); echo != want {
		t.Errorf("got %+v, want %+v", echo, want)
	}
	_, _ = client.Do(t.Context(), r, targethttp.Fence{})
	if runs := stub.Runs(); runs.Double != 1 || runs.Total != 2 || runs.Runs[0].Finished != 2 {
		t.Errorf("runs: %+v", runs)
	}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   targetstub.Fault
		outcome wire.Outcome
		reason  string
	}{
		{"shed", targetstub.Fault{Shed: true}, wire.OutcomeAnswered, targethttp.ReasonShed},
		{"cut", targetstub.Fault{Cut: 10}, wire.OutcomeUnknown, targethttp.ReasonCut},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			stub, client, _ := started(t)
			stub.SetFault(tc.fault)
			resp, err := client.Do(t.Context(), &wire.Request{Method: "GET", Path: "/"}, targethttp.Fence{})
			if resp.Outcome != tc.outcome || resp.Reason != tc.reason {
				t.Errorf("got %+v, %v", resp, err)
			}
		})
	}
}

// TestHang checks both ends of a run that does not end by itself: the deadline
// that the request carries, which the stub answers, and cancellation.
func TestHang(t *testing.T) {
	stub, client, _ := started(t)
	stub.SetFault(targetstub.Fault{Hang: true})
	r := &wire.Request{ID: "late", Method: "GET", Path: "/", Wait: 20 * time.Millisecond}
	resp, err := client.Do(t.Context(), r, targethttp.Fence{})
	if err != nil || resp.Status != http.StatusGatewayTimeout {
		t.Errorf("deadline: got %+v, %v", resp, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for stub.Runs().Total < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	resp, err = client.Do(ctx, &wire.Request{ID: "left", Method: "GET", Path: "/"}, targethttp.Fence{})
	if resp.Outcome != wire.OutcomeUnknown || resp.Reason != targethttp.ReasonCancel {
		t.Errorf("cancellation: got %+v, %v", resp, err)
	}
	for _, run := range stub.Runs().Runs {
		if run.Started != 1 || run.Finished != 0 {
			t.Errorf("run %+v", run)
		}
	}
}

func TestGrantChecked(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var passed atomic.Int64
	now := func() time.Time { return start.Add(time.Duration(passed.Load())) }
	stub, client, _ := started(t, targetstub.WithGrantChecks(), targetstub.WithClock(now))
	grants := targethttp.NewGrantBuilder(5)
	grants.Set([]targethttp.SlotGrant{{From: 0, To: 9, Epoch: 3}}, []targethttp.HotGrant{{Key: "hot", Epoch: 8}, {Key: "elsewhere"}})
	grants.ObserveStamp(now(), stub.Announcement().Stamp)
	push := func() {
		t.Helper()
		grant, _ := grants.Next(now().Add(time.Second))
		reply, err := client.PushGrant(t.Context(), grant)
		if err != nil {
			t.Fatal(err)
		}
		grants.ObserveReply(now(), reply)
	}
	do := func(key string, f targethttp.Fence) wire.Outcome {
		r := &wire.Request{ID: "id", Key: key, Method: "POST", Path: "/"}
		resp, _ := client.Do(t.Context(), r, f)
		return resp.Outcome
	}
	good := targethttp.Fence{Slot: 4, Epoch: 3, Generation: 5}
	if do("k", good) != wire.OutcomeNotRun {
		t.Error("ran without a grant")
	}
	push()
	cases := []struct {
		name  string
		key   string
		fence targethttp.Fence
		want  wire.Outcome
	}{
		{"granted", "k", good, wire.OutcomeAnswered},
		{"not keyed", "", targethttp.Fence{}, wire.OutcomeAnswered},
		{"older epoch", "k", targethttp.Fence{Slot: 4, Epoch: 2, Generation: 5}, wire.OutcomeNotRun},
		{"newer epoch", "k", targethttp.Fence{Slot: 4, Epoch: 4, Generation: 5}, wire.OutcomeNotRun},
		{"other slot", "k", targethttp.Fence{Slot: 10, Epoch: 3, Generation: 5}, wire.OutcomeNotRun},
		{"other generation", "k", targethttp.Fence{Slot: 4, Epoch: 3, Generation: 6}, wire.OutcomeNotRun},
		{"hot key", "hot", targethttp.Fence{Slot: 4, Epoch: 8, Generation: 5}, wire.OutcomeAnswered},
		{"hot key by its slot", "hot", good, wire.OutcomeNotRun},
		{"withheld key by its slot", "elsewhere", good, wire.OutcomeNotRun},
	}
	for _, tc := range cases {
		if got := do(tc.key, tc.fence); got != tc.want {
			t.Errorf("%s: outcome %d, want %d", tc.name, got, tc.want)
		}
	}
	passed.Add(int64(900 * time.Millisecond))
	push()
	late, _ := grants.Next(now().Add(time.Second))
	passed.Add(int64(900 * time.Millisecond))
	if do("k", good) != wire.OutcomeAnswered {
		t.Error("a renewal did not extend the grant")
	}
	passed.Add(int64(time.Second))
	if do("k", good) != wire.OutcomeNotRun {
		t.Error("ran after the grant ended")
	}
	if _, err := client.PushGrant(t.Context(), late); err != nil {
		t.Fatal(err)
	}
	if do("k", good) != wire.OutcomeNotRun {
		t.Error("a grant that was sent late extended the time")
	}
}

func TestDrain(t *testing.T) {
	stub, _, seen := started(t, targetstub.WithInterval(time.Hour))
	stub.Drain()
	if a := <-seen; a.State != targethttp.StateLeaving {
		t.Errorf("announced %q", a.State)
	}
	w := httptest.NewRecorder()
	stub.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("health: status %d", w.Code)
	}
}

func TestDelay(t *testing.T) {
	const work = 10 * time.Millisecond
	cases := []struct {
		age     time.Duration
		running int
		want    time.Duration
	}{
		{0, 2, work},
		{0, 4, 16 * work},
		{5 * time.Second, 11, work},
		{10 * time.Second, 20, work},
		{10 * time.Second, 40, 16 * work},
	}
	for _, tc := range cases {
		bearable := targetstub.EffectiveCapacity(tc.age, 10*time.Second, 2, 20)
		if got := targetstub.RequestTime(work, tc.running, bearable); got != tc.want {
			t.Errorf("age %s, %d running: got %s, want %s", tc.age, tc.running, got, tc.want)
		}
	}
}

func TestReportsLagAndLie(t *testing.T) {
	clock := time.Unix(1_000_000, 0)
	stub := targetstub.NewStub(targetstub.WithClock(func() time.Time { return clock }))
	status := func(method, path string) int {
		w := httptest.NewRecorder()
		stub.Handler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w.Code
	}
	status("POST", "/fault?lag=5s")
	if status("GET", "/health") != http.StatusOK {
		t.Error("not healthy at first")
	}
	stub.Drain()
	if status("GET", "/health") != http.StatusOK {
		t.Error("the report doesn't lag")
	}
	clock = clock.Add(5 * time.Second)
	if status("GET", "/health") != http.StatusServiceUnavailable {
		t.Error("the report lags for ever")
	}
	status("POST", "/fault?health=good")
	if status("GET", "/health") != http.StatusOK {
		t.Error("the report doesn't lie")
	}
	if status("POST", "/fault?delay=x") != http.StatusBadRequest {
		t.Error("took a malformed delay")
	}
}
