//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// paths sends requests whose paths bear a byte that clients should have escaped, and checks that
// no upstream runs one with another path than the client sent.
func paths(ctx context.Context, g *rig, trouble bool) error {
	to := g.machines[0].ports["caller"]
	wait(ctx, 2*time.Second)
	changed, ran := 0, 0
	for i, path := range []string{
		"/units/a|b", "/units/a%2Fb|c", "/units%2Fa|b", "/units/a%2Fb^c", "/crews/a|b", "/crews/a%2Fb|c", "/crews/{a}", "/crews/a%2Fb?q=a|b",
	} {
		if !trouble {
			path = strings.NewReplacer("|", "%7C", "^", "%5E", "{", "%7B", "}", "%7D").Replace(path)
		}
		method, fields := "GET", []string(nil)
		if strings.HasPrefix(path, "/units/") {
			method, fields = "POST", []string{"Content-Length: 0"}
		}
		id := fmt.Sprintf("path-%d", i)
		a := send(to, method, head(method, path, id, time.Second, fields...), false)
		wait(ctx, halfInterval)
		targets := g.targetsOf(id)
		g.note("%s %s, id %s -> %s; run with path %q", method, path, id, a, targets)
		for _, target := range targets {
			ran++
			if target != path {
				changed++
			}
		}
	}
	g.note("%d runs, %d of them with another path", ran, changed)
	switch {
	case changed > 0:
		return fmt.Errorf("UNASKED: %d of %d runs had another path: %w", changed, ran, errBroken)
	case !trouble && ran == 0:
		return fmt.Errorf("no request was served in calm")
	}
	return nil
}
