//go:build review

// Command standin-2 plays a case of the second review: it starts daemons with the command of the
// deploy file, plays the platform, the upstreams and the clients, and checks the rule.
//
// Usage, in the root of the repository:
//
//	standin-2 CASE RECORD
//
// CASE is forged, half, crowd or paths; RECORD is the file that gets what was sent, answered and run. The
// disruption is left out if TROUBLE is 0. The command exits with 1 if the rule was broken, 0 if it
// held and 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2

	// caseTimeout is the maximum time that a case takes.
	caseTimeout = 110 * time.Second
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("rule broken")

func main() {
	os.Exit(runCase(os.Args[1:]))
}

func runCase(args []string) int {
	cases := map[string]func(ctx context.Context, g *rig, trouble bool) error{
		"forged": forged, "half": half, "crowd": crowded, "paths": paths,
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 forged|half|crowd|paths RECORD")
		return exitUnable
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	err := play(ctx, cases[args[0]], args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitUnable
	}
	fmt.Println("rule held")
	return exitHeld
}

// play starts a deployment, plays a case on it and ends all processes.
func play(ctx context.Context, c func(context.Context, *rig, bool) error, path string, trouble bool) error {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create record: %w", err)
	}
	defer func() { _ = record.Close() }()
	g, err := newRig(dir, record)
	if err != nil {
		return err
	}
	defer g.close()
	if err := g.startAll(ctx); err != nil {
		g.note("could not start: %v", err)
		return err
	}
	g.note("disruption: %v", trouble)
	err = c(ctx, g, trouble)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		g.note("end: %v", err)
	} else {
		g.note("end: rule held")
	}
	return err
}

// wait waits for d, or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitFor waits until a condition holds, for at most d.
func waitFor(ctx context.Context, d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, 20*time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
