//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	halfRequests = 20
	halfInterval = 250 * time.Millisecond
)

// half sends requests of clients that end their sending side after the request and still read,
// and checks that no success comes without the upstream's seal.
func half(ctx context.Context, g *rig, trouble bool) error {
	to := g.machines[0].ports["caller"]
	wait(ctx, 2*time.Second)
	unsealed, served := 0, 0
	for i := range halfRequests {
		method, path, fields := "POST", "/units/1", []string{"Content-Length: 0"}
		if i%2 == 1 {
			method, path, fields = "GET", "/crews/1", nil
		}
		id := fmt.Sprintf("half-%d", i)
		a := send(to, method, head(method, path, id, time.Second, fields...), trouble)
		wait(ctx, halfInterval)
		g.note("%s %s, id %s -> %s; run %d times", method, path, id, a, len(g.targetsOf(id)))
		if a.success() {
			served++
		}
		if a.success() && a.seal() == "" {
			unsealed++
		}
	}
	g.note("%d requests, %d answered with success, %d of these without X-Response-Seal", halfRequests, served, unsealed)
	switch {
	case unsealed > 0:
		return fmt.Errorf("MIXED: %d of %d requests got a success without X-Response-Seal: %w", unsealed, halfRequests, errBroken)
	case !trouble && served < halfRequests/2:
		return fmt.Errorf("only %d of %d requests were served in calm", served, halfRequests)
	}
	return nil
}
