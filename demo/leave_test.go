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

// ownedBy returns the path of a key that a node owns.
func ownedBy(t *testing.T, n *demo.Node) (path string) {
	t.Helper()
	client := operator.NewClient(n.Settings.Operator)
	until(t, 20*time.Second, "a key is owned", func() bool {
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

// TestLastWitnessLeaves has all but one node leave while a request runs at the
// one that stays. The request must end, and only new ones are refused.
func TestLastWitnessLeaves(t *testing.T) {
	const work = 7 * time.Second
	t.Parallel()
	c, err := demo.Start(context.Background(), demo.WithNodes(2), demo.WithLogger(logger()),
		demo.WithFile(bytes.Replace([]byte(demo.ConfigFile), []byte(`"3s"`), []byte(`"15s"`), 1)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	stays := c.Nodes[1]
	key := ownedBy(t, stays)
	until(t, 20*time.Second, "served", func() bool {
		return ask(t, stays, http.MethodPost, key, "").Header.Get(caller.HeaderOutcome) == "answered"
	})
	stays.Target.SetFault(targetstub.Fault{Delay: work})
	before := len(stays.Target.Runs().Runs)
	ended := make(chan string)
	go func() { ended <- ask(t, stays, http.MethodPost, key, "").Header.Get(caller.HeaderOutcome) }()
	until(t, 20*time.Second, "the request runs", func() bool { return len(stays.Target.Runs().Runs) > before })
	if err := c.Nodes[0].Leave(); err != nil {
		t.Error(err)
	}
	if got := <-ended; got != "answered" {
		t.Errorf("the request that ran ended as %q", got)
	}
	until(t, 20*time.Second, "refused alone", func() bool {
		h := ask(t, stays, http.MethodPost, key, "").Header
		return h.Get(caller.HeaderOutcome) == "not-run" && h.Get(caller.HeaderReason) == "alone"
	})
}
