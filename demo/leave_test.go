package demo_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"fulmarrun/caller"
	"fulmarrun/demo"
	"fulmarrun/operator"
	"fulmarrun/targetstub"
)

// ownedKeyPath returns the path of a request whose key the node owns.
func ownedKeyPath(t *testing.T, n *demo.Node) (path string) {
	t.Helper()
	client := operator.NewClient(n.Settings.Operator)
	waitUntil(t, 20*time.Second, "a key is owned", func() bool {
		for visit := range 100 {
			key := fmt.Sprint(visit)
			reply, err := client.Key(context.Background(), operator.KeyRequest{Service: "agenda", Key: key})
			if err == nil && reply.Instance == n.Settings.Instance {
				path = "/agenda/visits/" + key
				return true
			}
		}
		return false
	})
	return path
}

// TestLastWitnessLeaves stops all other nodes while a request runs at the remaining
// node, which then has no witness. The request must finish; only new requests are
// refused.
func TestLastWitnessLeaves(t *testing.T) {
	const work = 7 * time.Second
	t.Parallel()
	c, err := demo.Start(context.Background(), demo.WithNodes(2), demo.WithLogger(newLogger()),
		demo.WithFile(bytes.Replace([]byte(demo.ConfigFile), []byte(`"3s"`), []byte(`"15s"`), 1)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	remaining := c.Nodes[1]
	path := ownedKeyPath(t, remaining)
	waitUntil(t, 20*time.Second, "served", func() bool {
		return send(t, remaining, http.MethodPost, path, "").Header.Get(caller.HeaderOutcome) == "answered"
	})
	remaining.Target.SetFault(targetstub.Fault{Delay: work})
	before := len(remaining.Target.Runs().Runs)
	outcomes := make(chan string)
	go func() { outcomes <- send(t, remaining, http.MethodPost, path, "").Header.Get(caller.HeaderOutcome) }()
	waitUntil(t, 20*time.Second, "the request runs", func() bool { return len(remaining.Target.Runs().Runs) > before })
	if err := c.Nodes[0].Leave(); err != nil {
		t.Error(err)
	}
	if got := <-outcomes; got != "answered" {
		t.Errorf("the running request ended with outcome %q, want answered", got)
	}
	waitUntil(t, 20*time.Second, "new requests are refused with reason alone", func() bool {
		h := send(t, remaining, http.MethodPost, path, "").Header
		return h.Get(caller.HeaderOutcome) == "not-run" && h.Get(caller.HeaderReason) == "alone"
	})
}
