package demo_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"fulmarrun/caller"
	"fulmarrun/demo"
	"fulmarrun/operator"
)

// BenchmarkForwarded measures requests at the owner and requests forwarded to it,
// with all nodes in one process, so that a profile covers the whole path.
func BenchmarkForwarded(b *testing.B) {
	c, err := demo.Start(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Stop()
	url := func(n *demo.Node) string { return "http://" + n.Settings.Caller.String() + "/agenda/visits/17" }
	get := func(u string) string {
		resp, err := http.Get(u)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.Header.Get(caller.HeaderOutcome)
	}
	for get(url(c.Nodes[0])) != "answered" {
		time.Sleep(20 * time.Millisecond)
	}
	reply, err := operator.NewClient(c.Nodes[0].Settings.Operator).Key(context.Background(), operator.KeyRequest{Service: "agenda", Key: "17"})
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range c.Nodes {
		name := "forwarded"
		if n.Settings.Instance == reply.Instance {
			name = "local"
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				get(url(n))
			}
		})
	}
}
