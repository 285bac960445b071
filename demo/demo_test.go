package demo_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"fulmarrun/caller"
	"fulmarrun/demo"
	"fulmarrun/operator"
	"fulmarrun/targetstub"
)

func newLogger() *log.Logger {
	l := log.NewWithOptions(os.Stderr, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.StampMilli})
	if os.Getenv("FULMARRUN_LOG") == "" {
		l.SetLevel(log.FatalLevel)
	}
	return l
}

// send sends one request to a node and returns its answer.
func send(t *testing.T, n *demo.Node, method, path, id string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.Settings.Caller.String()+path, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	if id != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp
}

// waitUntil repeats check until it returns true, and fails the test after limit.
func waitUntil(t *testing.T, limit time.Duration, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("condition not met after %s: %s", limit, what)
}

func TestServedAndFailedOver(t *testing.T) {
	c, err := demo.Start(context.Background(), demo.WithLogger(newLogger()))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	start := time.Now()
	waitUntil(t, 20*time.Second, "a visit is served by every node", func() bool {
		for _, n := range c.Nodes {
			if send(t, n, http.MethodPost, "/agenda/visits/17", "").Header.Get(caller.HeaderOutcome) != "answered" {
				return false
			}
		}
		return true
	})
	t.Logf("served after %s", time.Since(start))

	operators := operator.NewClient(c.Nodes[0].Settings.Operator)
	request := operator.KeyRequest{Service: "agenda", Key: "17"}
	reply, err := operators.Key(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	if reply.Since.Before(start.Add(-time.Minute)) || reply.Why != "first assignment" {
		t.Errorf("owner since %s: %s", reply.Since, reply.Why)
	}
	for _, n := range c.Nodes {
		if n.Settings.Instance == reply.Instance {
			n.Kill()
		}
	}
	waitUntil(t, 20*time.Second, "another instance owns the key, with a time and a reason", func() bool {
		for _, n := range c.Nodes {
			next, err := operator.NewClient(n.Settings.Operator).Key(context.Background(), request)
			if err == nil && next.Instance != reply.Instance && next.Instance != "" {
				return !next.Since.IsZero() && next.Why == "its owner before was lost or left it free"
			}
		}
		return false
	})
}

// TestHotKey puts more load on one key than on the other keys of its owner. It checks
// that the key is then assigned separately from its slot, and that no request ID runs
// twice meanwhile.
func TestHotKey(t *testing.T) {
	c, err := demo.Start(context.Background(), demo.WithLogger(newLogger()),
		demo.WithTargetOptions(targetstub.WithRequestTime(5*time.Millisecond)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	waitUntil(t, 20*time.Second, "served", func() bool {
		return send(t, c.Nodes[0], http.MethodGet, "/agenda/visits/hot", "").Header.Get(caller.HeaderOutcome) == "answered"
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for w := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				id := uuid.Must(uuid.NewV7()).String()
				for range 2 {
					_ = send(t, c.Nodes[(w+n)%4], http.MethodPost, "/agenda/visits/hot", id)
				}
			}
		}()
	}
	operators := operator.NewClient(c.Nodes[0].Settings.Operator)
	waitUntil(t, 20*time.Second, "the key is assigned separately from its slot", func() bool {
		reply, err := operators.Key(ctx, operator.KeyRequest{Service: "agenda", Key: "hot"})
		return err == nil && reply.Hot
	})
	cancel()
	wg.Wait()
	runsByID := make(map[string]int)
	for _, n := range c.Nodes {
		for _, r := range n.Target.Runs().Runs {
			if runsByID[r.ID] += r.Started; runsByID[r.ID] > 1 {
				t.Errorf("request %s started %d times, want once", r.ID, runsByID[r.ID])
			}
		}
	}
	t.Logf("%d IDs ran", len(runsByID))
}
