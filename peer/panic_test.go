package peer_test

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

// TestHandlerPanic checks that a panic in a handler fails that call, is reported, and
// leaves other calls on the connection unaffected.
func TestHandlerPanic(t *testing.T) {
	reported := make(chan error, 1)
	l, addr := listenTCP(t)
	s := peer.NewServer()
	s.OnPanic(func(err error) { reported <- err })
	peer.Handle(s, peer.KindFetch, func(ctx context.Context, q *wire.FetchObject) (*wire.Object, error) {
		if q.Digest == "broken" {
			panic("broken")
		}
		return echo(ctx, q)
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	c := newClient(t)
	if _, err := fetch(c, addr, "broken"); !errors.Is(err, peer.ErrFailed) {
		t.Errorf("got %v, want %v", err, peer.ErrFailed)
	}
	if err := <-reported; !strings.Contains(err.Error(), "broken") {
		t.Errorf("reported %v", err)
	}
	if got, err := fetch(c, addr, "intact"); err != nil || got != "intact" {
		t.Errorf("got %q, %v", got, err)
	}
	if open := s.Stats().OpenConns; open != 1 {
		t.Errorf("%d open connections, want 1", open)
	}
}
