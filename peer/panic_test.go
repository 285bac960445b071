package peer_test

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

// TestPanic checks that a call whose handling panics is told to have failed, is reported,
// and leaves the others on its connection alone.
func TestPanic(t *testing.T) {
	reported := make(chan error, 1)
	l, addr := listen(t)
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
	if got, err := fetch(c, addr, "whole"); err != nil || got != "whole" {
		t.Errorf("got %q, %v", got, err)
	}
	if open := s.Stats().OpenConns; open != 1 {
		t.Errorf("%d connections, want 1", open)
	}
}
