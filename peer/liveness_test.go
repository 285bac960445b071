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

// TestLiveness checks liveness against scripted calls and received frames.
func TestLiveness(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at                 time.Duration
		received           bool
		pending            int
		unresponsive, ping bool
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"no call pending", []step{{at: 0}, {at: 9000 * ms}, {at: 20_000 * ms}}},
		{"answered before the ping delay", []step{{at: 0}, {at: 100 * ms, pending: 1}, {at: 140 * ms, received: true}, {at: 280 * ms, pending: 1}}},
		{"ping answered", []step{
			{at: 0},
			{at: 200 * ms, pending: 1, ping: true},
			{at: 210 * ms, received: true},
			{at: 300 * ms, pending: 2},
			{at: 400 * ms, pending: 2, ping: true},
		}},
		{"one ping, not answered", []step{
			{at: 0},
			{at: 200 * ms, pending: 1, ping: true},
			{at: 500 * ms, pending: 2},
			{at: 700 * ms, pending: 3, unresponsive: true},
			{at: 900 * ms, pending: 3, unresponsive: true},
		}},
		{"unresponsive, then recovered", []step{
			{at: 0},
			{at: 200 * ms, pending: 1, ping: true},
			{at: 700 * ms, pending: 3, unresponsive: true},
			{at: 800 * ms, received: true},
			{at: 810 * ms, pending: 3},
		}},
		{"unresponsive until no call is pending", []step{
			{at: 0}, {at: 200 * ms, pending: 1, ping: true}, {at: 700 * ms, pending: 1, unresponsive: true}, {at: 900 * ms, pending: 0},
		}},
	} {
		liveness, start := peer.NewLiveness(), time.Unix(1000, 0)
		for _, s := range tc.steps {
			now := start.Add(s.at)
			if s.received {
				liveness.FrameReceived(now)
				continue
			}
			if unresponsive, ping := liveness.BeforeCall(now, s.pending); unresponsive != s.unresponsive || ping != s.ping {
				t.Errorf("%s, at %v: unresponsive %v, ping %v", tc.name, s.at, unresponsive, ping)
			}
		}
	}
}

// requestStatus requests the status of a daemon; the returned channel receives the
// error of the call.
func requestStatus(ctx context.Context, c *peer.Client, to netip.AddrPort) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := peer.Call[wire.Status](ctx, c, to, peer.KindStatus, &wire.StatusRequest{})
		done <- err
	}()
	return done
}

// TestUnresponsivePeer checks a peer that reads and never answers, like a machine that
// has lost power: a call that was already sent keeps waiting, and later calls are not
// sent.
func TestUnresponsivePeer(t *testing.T) {
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
	first := requestStatus(ctx, c, to)
	for {
		select {
		case err := <-first:
			t.Fatalf("the first call ended: %v", err)
		case <-time.After(50 * time.Millisecond):
		}
		short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
		err := <-requestStatus(short, c, to)
		stop()
		if errors.Is(err, peer.ErrNotSent) {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("calls are still sent to the unresponsive peer: %v", err)
		}
	}
}

// TestSlowPeerAnswersPings checks that all calls succeed at a peer whose replies take
// 1.5 s but which answers pings.
func TestSlowPeerAnswersPings(t *testing.T) {
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
		calls = append(calls, requestStatus(t.Context(), c, netip.MustParseAddrPort(l.Addr().String())))
		time.Sleep(60 * time.Millisecond)
	}
	for i, done := range calls {
		if err := <-done; err != nil {
			t.Errorf("call %d: %v", i, err)
		}
	}
}
