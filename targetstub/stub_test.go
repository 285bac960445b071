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

// startStub runs a stub, and returns it with a client that is connected to its announced
// address and the channel of its later announcements.
func startStub(t *testing.T, opts ...targetstub.Option) (*targetstub.Stub, *targethttp.Client, <-chan targethttp.Announcement) {
	t.Helper()
	announcements := make(chan targethttp.Announcement, 100)
	server := targethttp.NewServer()
	server.OnAnnounce = func(a targethttp.Announcement) { announcements <- a }
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
	a := <-announcements
	client.SetDestination(targethttp.Destination{Address: a.Address, ChecksFences: a.ChecksFences})
	return stub, client, announcements
}

func TestEcho(t *testing.T) {
	stub, client, _ := startStub(t)
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
		t.Errorf("response has %d bytes of padding, want 100000", len(echo.Pad))
	}
	echo.Pad = ""
	if want := (targetstub.Echo{Instance: "a", Method: "POST", Path: r.Path, Key: "a b", ID: "id", Body: 5}); echo != want {
		t.Errorf("got echo %+v, want %+v", echo, want)
	}
	_, _ = client.Do(t.Context(), r, targethttp.Fence{})
	if runs := stub.Runs(); runs.Double != 1 || runs.Total != 2 || runs.Runs[0].Finished != 2 {
		t.Errorf("unexpected counts after two runs under one ID: %+v", runs)
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
			stub, client, _ := startStub(t)
			stub.SetFault(tc.fault)
			resp, err := client.Do(t.Context(), &wire.Request{Method: "GET", Path: "/"}, targethttp.Fence{})
			if resp.Outcome != tc.outcome || resp.Reason != tc.reason {
				t.Errorf("unexpected response %+v with error %v", resp, err)
			}
		})
	}
}

// TestHang checks the two ways in which a hanging run ends: the deadline in the request,
// after which the stub responds with an error, and cancellation.
func TestHang(t *testing.T) {
	stub, client, _ := startStub(t)
	stub.SetFault(targetstub.Fault{Hang: true})
	r := &wire.Request{ID: "late", Method: "GET", Path: "/", Wait: 20 * time.Millisecond}
	resp, err := client.Do(t.Context(), r, targethttp.Fence{})
	if err != nil || resp.Status != http.StatusGatewayTimeout {
		t.Errorf("deadline: unexpected response %+v with error %v", resp, err)
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
		t.Errorf("cancellation: unexpected response %+v with error %v", resp, err)
	}
	for _, run := range stub.Runs().Runs {
		if run.Started != 1 || run.Finished != 0 {
			t.Errorf("run should be started once and never finished: %+v", run)
		}
	}
}

func TestGrantChecks(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var elapsed atomic.Int64
	now := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	stub, client, _ := startStub(t, targetstub.WithGrantChecks(), targetstub.WithClock(now))
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
	validFence := targethttp.Fence{Slot: 4, Epoch: 3, Generation: 5}
	if do("k", validFence) != wire.OutcomeNotRun {
		t.Error("request ran without a grant")
	}
	push()
	cases := []struct {
		name  string
		key   string
		fence targethttp.Fence
		want  wire.Outcome
	}{
		{"granted", "k", validFence, wire.OutcomeAnswered},
		{"not keyed", "", targethttp.Fence{}, wire.OutcomeAnswered},
		{"older epoch", "k", targethttp.Fence{Slot: 4, Epoch: 2, Generation: 5}, wire.OutcomeNotRun},
		{"newer epoch", "k", targethttp.Fence{Slot: 4, Epoch: 4, Generation: 5}, wire.OutcomeNotRun},
		{"other slot", "k", targethttp.Fence{Slot: 10, Epoch: 3, Generation: 5}, wire.OutcomeNotRun},
		{"other generation", "k", targethttp.Fence{Slot: 4, Epoch: 3, Generation: 6}, wire.OutcomeNotRun},
		{"hot key", "hot", targethttp.Fence{Slot: 4, Epoch: 8, Generation: 5}, wire.OutcomeAnswered},
		{"hot key by its slot", "hot", validFence, wire.OutcomeNotRun},
		{"withheld key by its slot", "elsewhere", validFence, wire.OutcomeNotRun},
	}
	for _, tc := range cases {
		if got := do(tc.key, tc.fence); got != tc.want {
			t.Errorf("%s: outcome %d, want %d", tc.name, got, tc.want)
		}
	}
	elapsed.Add(int64(900 * time.Millisecond))
	push()
	lateGrant, _ := grants.Next(now().Add(time.Second))
	elapsed.Add(int64(900 * time.Millisecond))
	if do("k", validFence) != wire.OutcomeAnswered {
		t.Error("request was rejected although the grant was renewed")
	}
	elapsed.Add(int64(time.Second))
	if do("k", validFence) != wire.OutcomeNotRun {
		t.Error("request ran after the grant expired")
	}
	if _, err := client.PushGrant(t.Context(), lateGrant); err != nil {
		t.Fatal(err)
	}
	if do("k", validFence) != wire.OutcomeNotRun {
		t.Error("a delayed old grant extended the expiry")
	}
}

func TestDrain(t *testing.T) {
	stub, _, announcements := startStub(t, targetstub.WithInterval(time.Hour))
	stub.Drain()
	if a := <-announcements; a.State != targethttp.StateLeaving {
		t.Errorf("announced state %q after Drain, want leaving", a.State)
	}
	w := httptest.NewRecorder()
	stub.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("health report has status %d after Drain, want 503", w.Code)
	}
}

func TestRequestTime(t *testing.T) {
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
		effective := targetstub.EffectiveCapacity(tc.age, 10*time.Second, 2, 20)
		if got := targetstub.RequestTime(work, tc.running, effective); got != tc.want {
			t.Errorf("age %s, %d running: got %s, want %s", tc.age, tc.running, got, tc.want)
		}
	}
}

func TestReportFaults(t *testing.T) {
	clock := time.Unix(1_000_000, 0)
	stub := targetstub.NewStub(targetstub.WithClock(func() time.Time { return clock }))
	status := func(method, path string) int {
		w := httptest.NewRecorder()
		stub.Handler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w.Code
	}
	status("POST", "/fault?lag=5s")
	if status("GET", "/health") != http.StatusOK {
		t.Error("health report is bad before Drain")
	}
	stub.Drain()
	if status("GET", "/health") != http.StatusOK {
		t.Error("health report does not lag behind Drain")
	}
	clock = clock.Add(5 * time.Second)
	if status("GET", "/health") != http.StatusServiceUnavailable {
		t.Error("health report is still good after the lag has passed")
	}
	status("POST", "/fault?health=good")
	if status("GET", "/health") != http.StatusOK {
		t.Error("health report ignores the health set by the fault")
	}
	if status("POST", "/fault?delay=x") != http.StatusBadRequest {
		t.Error("stub accepted a fault with a malformed delay")
	}
}
