package demo_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"fulmarrun/caller"
	"fulmarrun/demo"
)

func logger() *log.Logger {
	l := log.NewWithOptions(os.Stderr, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.StampMilli})
	if os.Getenv("FULMARRUN_LOG") == "" {
		l.SetLevel(log.FatalLevel)
	}
	return l
}

// ask sends one request to a node and returns its answer.
func ask(t *testing.T, n *demo.Node, method, path, id string) *http.Response {
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

// until repeats check for at most limit.
func until(t *testing.T, limit time.Duration, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not within %s: %s", limit, what)
}

func TestServes(t *testing.T) {
	c, err := demo.Start(context.Background(), demo.WithLogger(logger()))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	start := time.Now()
	until(t, 20*time.Second, "a visit is served by every node", func() bool {
		for _, n := range c.Nodes {
			if ask(t, n, http.MethodPost, "/agenda/visits/17", "").Header.Get(caller.HeaderOutcome) != "answered" {
				return false
			}
		}
		return true
	})
	t.Logf("served after %s", time.Since(start))
}
