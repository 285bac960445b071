package owner_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"fulmarrun/owner"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// stated is a request whose terms come with it, of a kind that no table knows.
func stated(once bool) *wire.Request {
	return &wire.Request{
		Service: "agenda", Kind: "unheard of", Key: "17", ID: "a", FirstAttempt: true, Wait: time.Second, Epoch: 1,
		Method: http.MethodGet, Path: "/", Policy: wire.Policy{Present: true, Keyed: true, AtMostOnce: once, LatencyGoal: time.Second},
	}
}

// TestStatedTerms checks that a request is served by the terms that come with it,
// and that one ID runs as often as it is sent: no caller sends one twice.
func TestStatedTerms(t *testing.T) {
	d := newDaemon(t)
	for range 2 {
		if r := d.server.Serve(t.Context(), stated(true)); r.Outcome != wire.OutcomeAnswered {
			t.Fatalf("answer %+v", r)
		}
	}
	if runs := d.runs.Load(); runs != 2 {
		t.Errorf("%d runs of two requests", runs)
	}
}

// TestNotGranted checks that what the target does not hold is routed again without
// being sent, and that a target's word that it does not hold it is passed on.
func TestNotGranted(t *testing.T) {
	granted := false
	var refuted []uint32
	d := newDaemon(t, owner.WithGrantCheck(func(uint32) bool { return granted }, func(slot uint32) { refuted = append(refuted, slot) }))
	if r := d.server.Serve(t.Context(), stated(false)); !r.NotOwner || r.Outcome != wire.OutcomeNotRun || d.runs.Load() != 0 {
		t.Errorf("not granted: %+v after %d runs", r, d.runs.Load())
	}
	granted = true
	d.does(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(targethttp.HeaderFence, "epoch")
		w.WriteHeader(targethttp.StatusFenced)
	})
	if r := d.server.Serve(t.Context(), stated(false)); !r.NotOwner || len(refuted) != 1 {
		t.Errorf("denied by the target: %+v, refuted %v", r, refuted)
	}
	d.does(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	d.server.Stop()
	if r := d.server.Serve(t.Context(), stated(false)); !r.NotOwner {
		t.Errorf("after Stop: %+v", r)
	}
}
