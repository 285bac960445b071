package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"
)

const (
	halfRequests = 20
	halfInterval = 250 * time.Millisecond
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = 3 * time.Second
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
		a := sendHalf(to, method, head(method, path, id, time.Second, fields...), trouble)
		wait(ctx, halfInterval)
		g.note("%s %s, id %s -> %s; run %d times", method, path, id, a, g.runsOf(id))
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

// sendHalf sends a request on a connection of its own, ends the sending side if so told, and
// reads the answer.
func sendHalf(to netip.AddrPort, method, request string, end bool) answer {
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(to))
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err}
	}
	if end {
		if err := conn.CloseWrite(); err != nil {
			return answer{err: err}
		}
	}
	return readAnswer(bufio.NewReader(conn), method)
}
