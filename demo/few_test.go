package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"fulmarrun/caller"
	"fulmarrun/demo"
)

// TestSmallClusters checks whether keys are served by one, two and three daemons:
// a single daemon has no witness for its lease and refuses them.
func TestSmallClusters(t *testing.T) {
	const path = "/agenda/visits/17"
	outcome := func(n *demo.Node) (string, string) {
		h := send(t, n, http.MethodPost, path, "").Header
		return h.Get(caller.HeaderOutcome), h.Get(caller.HeaderReason)
	}
	for _, tc := range []struct {
		nodes int
		// served reports whether keys are served by all nodes, and servedAfterLoss
		// whether they are served again after the loss of a node.
		served, servedAfterLoss bool
	}{
		{1, false, false},
		{2, true, false},
		{3, true, true},
	} {
		t.Run(fmt.Sprint(tc.nodes), func(t *testing.T) {
			t.Parallel()
			c, err := demo.Start(context.Background(), demo.WithNodes(tc.nodes), demo.WithLogger(newLogger()))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Stop()
			last := c.Nodes[len(c.Nodes)-1]
			expectServed := func(what string, served bool) {
				waitUntil(t, 20*time.Second, what, func() bool {
					got, reason := outcome(last)
					return served && got == "answered" || !served && got == "not-run" && reason == "alone"
				})
			}
			expectServed("the outcome with all nodes", tc.served)
			if tc.nodes == 1 {
				return
			}
			c.Nodes[0].Kill()
			expectServed("the outcome after a loss", tc.servedAfterLoss)
		})
	}
}
