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

// TestFew states what one, two and three daemons get.
func TestFew(t *testing.T) {
	const key = "/agenda/visits/17"
	outcome := func(n *demo.Node) (string, string) {
		h := ask(t, n, http.MethodPost, key, "").Header
		return h.Get(caller.HeaderOutcome), h.Get(caller.HeaderReason)
	}
	for _, tc := range []struct {
		nodes int
		// served and survives tell whether keys are served, and served again after
		// the loss of a node.
		served, survives bool
	}{
		{1, false, false},
		{2, true, false},
		{3, true, true},
	} {
		t.Run(fmt.Sprint(tc.nodes), func(t *testing.T) {
			t.Parallel()
			c, err := demo.Start(context.Background(), demo.WithNodes(tc.nodes), demo.WithLogger(logger()))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Stop()
			last := c.Nodes[len(c.Nodes)-1]
			expect := func(what string, served bool) {
				until(t, 20*time.Second, what, func() bool {
					got, reason := outcome(last)
					return served && got == "answered" || !served && got == "not-run" && reason == "alone"
				})
			}
			expect("the outcome with all nodes", tc.served)
			if tc.nodes == 1 {
				return
			}
			c.Nodes[0].Kill()
			expect("the outcome after a loss", tc.survives)
		})
	}
}
