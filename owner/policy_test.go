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

// policyRequest returns a request that carries its policy, of a kind that the
// configuration does not define.
func policyRequest(once bool) *wire.Request {
	return &wire.Request{
		Service: "agenda", Kind: "undefined kind", Key: "17", ID: "a", FirstAttempt: true, Wait: time.Second, Epoch: 1,
		Method: http.MethodGet, Path: "/", Policy: wire.Policy{Present: true, Keyed: true, AtMostOnce: once, LatencyGoal: time.Second},
	}
}

// TestPolicyInRequest checks that a request is served by the policy that it carries,
// and that an ID runs each time it is sent: such a request does not go through the
// ledger, since no caller sends one ID twice.
func TestPolicyInRequest(t *testing.T) {
	d := newDaemon(t)
	for range 2 {
		if r := d.server.Serve(t.Context(), policyRequest(true)); r.Outcome != wire.OutcomeAnswered {
			t.Fatalf("answer %+v", r)
		}
	}
	if runs := d.runs.Load(); runs != 2 {
		t.Errorf("got %d runs of two requests", runs)
	}
}

// TestNotGranted checks that a request for a slot that the target does not hold is
// routed again without being sent, and that a denial by the target is reported.
func TestNotGranted(t *testing.T) {
	granted := false
	var denied []uint32
	d := newDaemon(t, owner.WithGrantCheck(func(uint32) bool { return granted }, func(slot uint32) { denied = append(denied, slot) }))
	if r := d.server.Serve(t.Context(), policyRequest(false)); !r.NotOwner || r.Outcome != wire.OutcomeNotRun || d.runs.Load() != 0 {
		t.Errorf("not granted: %+v after %d runs", r, d.runs.Load())
	}
	granted = true
	d.setHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(targethttp.HeaderID, r.Header.Get(targethttp.HeaderID))
		w.Header().Set(targethttp.HeaderFence, "epoch")
		w.WriteHeader(targethttp.StatusFenced)
	})
	if r := d.server.Serve(t.Context(), policyRequest(false)); !r.NotOwner || len(denied) != 1 {
		t.Errorf("denied by the target: %+v, reported %v", r, denied)
	}
	d.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	d.server.Stop()
	if r := d.server.Serve(t.Context(), policyRequest(false)); !r.NotOwner {
		t.Errorf("after Stop: %+v", r)
	}
}
