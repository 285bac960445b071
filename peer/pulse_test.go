package peer_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

// TestPulse plays calls and signs of life against the clock.
func TestPulse(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at          time.Duration
		heard       bool
		waiting     int
		silent, ask bool
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"nobody waits", []step{{at: 0}, {at: 9000 * ms}, {at: 20_000 * ms}}},
		{"answers come", []step{{at: 0}, {at: 100 * ms, waiting: 1}, {at: 140 * ms, heard: true}, {at: 280 * ms, waiting: 1}}},
		{"asked, and answered", []step{
			{at: 0},
			{at: 200 * ms, waiting: 1, ask: true},
			{at: 210 * ms, heard: true},
			{at: 300 * ms, waiting: 2},
			{at: 400 * ms, waiting: 2, ask: true},
		}},
		{"asked once, and silent", []step{
			{at: 0},
			{at: 200 * ms, waiting: 1, ask: true},
			{at: 500 * ms, waiting: 2},
			{at: 700 * ms, waiting: 3, silent: true},
			{at: 900 * ms, waiting: 3, silent: true},
		}},
		{"silent, and back", []step{
			{at: 0},
			{at: 200 * ms, waiting: 1, ask: true},
			{at: 700 * ms, waiting: 3, silent: true},
			{at: 800 * ms, heard: true},
			{at: 810 * ms, waiting: 3},
		}},
		{"silent until all have given up", []step{
			{at: 0}, {at: 200 * ms, waiting: 1, ask: true}, {at: 700 * ms, waiting: 1, silent: true}, {at: 900 * ms, waiting: 0},
		}},
	} {
		p, start := peer.NewPulse(), time.Unix(1000, 0)
		for _, s := range tc.steps {
			now := start.Add(s.at)
			if s.heard {
				p.Heard(now)
				continue
			}
			if silent, ask := p.Call(now, s.waiting); silent != s.silent || ask != s.ask {
				t.Errorf("%s, at %v: silent %v, ask %v", tc.name, s.at, silent, ask)
			}
		}
	}
}

// call asks for a status and reports how it ended.
func call(ctx context.Context, c *peer.Client, to netip.AddrPort) <-chan error {
	out := make(chan error, 1)
	go func() {
		_, err := peer.Call[wire.Status](ctx, c, to, peer.KindStatus, &wire.StatusRequest{})
		out <- err
	}()
	return out
}

// TestSilentPeer has a peer that reads and says nothing, as one without power does. What
// was sent to it goes on waiting, and nothing more is sent.
func TestSilentPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	}()
	c := peer.NewClient()
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	to := netip.MustParseAddrPort(l.Addr().String())
	first := call(ctx, c, to)
	for {
		select {
		case err := <-first:
			t.Fatalf("the first call ended: %v", err)
		case <-time.After(50 * time.Millisecond):
		}
		short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
		err := <-call(short, c, to)
		stop()
		if errors.Is(err, peer.ErrNotSent) {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("calls are still sent: %v", err)
		}
	}
}

// TestSlowPeer has a peer whose answers take long, and which gives signs of life.
func TestSlowPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer()
	peer.Handle(s, peer.KindStatus, func(ctx context.Context, _ *wire.StatusRequest) (*wire.Status, error) {
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-ctx.Done():
		}
		return &wire.Status{}, nil
	})
	go func() { _ = s.Serve(l) }()
	c := peer.NewClient()
	defer func() {
		c.Close()
		_ = l.Close()
		s.Close()
	}()
	const count = 20
	calls := make([]<-chan error, 0, count)
	for range count {
		calls = append(calls, call(t.Context(), c, netip.MustParseAddrPort(l.Addr().String())))
		time.Sleep(60 * time.Millisecond)
	}
	for i, done := range calls {
		if err := <-done; err != nil {
			t.Errorf("call %d: %v", i, err)
		}
	}
}
