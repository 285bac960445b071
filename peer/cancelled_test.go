package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

// TestCancelledCallIsNotSent checks that a call whose context has ended is not sent,
// and that the connection still serves the next call.
func TestCancelledCallIsNotSent(t *testing.T) {
	var served atomic.Int64
	server := peer.NewServer()
	peer.Handle(server, peer.KindStatus, func(context.Context, *wire.StatusRequest) (*wire.Status, error) {
		served.Add(1)
		return &wire.Status{}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	client := peer.NewClient()
	t.Cleanup(func() {
		_ = l.Close()
		client.Close()
		server.Close()
	})
	addr := netip.MustParseAddrPort(l.Addr().String())
	call := func(ctx context.Context) error {
		_, err := peer.Call[wire.Status](ctx, client, addr, peer.KindStatus, &wire.StatusRequest{})
		return err
	}
	if err := call(t.Context()); err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := call(cancelled); !errors.Is(err, peer.ErrNotSent) {
		t.Errorf("cancelled call: %v, want ErrNotSent", err)
	}
	if err := call(t.Context()); err != nil {
		t.Errorf("call after the cancelled one: %v", err)
	}
	time.Sleep(10 * time.Millisecond)
	if n := served.Load(); n != 2 {
		t.Errorf("%d calls were served, want 2", n)
	}
}
