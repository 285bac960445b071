//go:build review

// Command standin plays the cases of the review: it hosts the store, the upstreams and the
// clients, and starts the daemons as processes of their own.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// contactTime and drainTime are contact_ms and drain_ms of clepsidra-ops.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
)

// caseNamed returns the function that plays a case; nil if there is none of that name.
func caseNamed(name string) func(log *record, folder string, trouble bool) (int, error) {
	switch name {
	case "deregister-first":
		return deregisterFirst
	case "kill-after-ack":
		return killAfterAck
	}
	return nil
}

func main() {
	if len(os.Args) != 3 || caseNamed(os.Args[1]) == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	log := &record{began: time.Now(), out: out}
	code, err := caseNamed(os.Args[1])(log, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitFailed
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("logs in", folder)
	}
	_ = out.Close()
	os.Exit(code)
}
