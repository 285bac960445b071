package owner_test

import (
	"context"
	"testing"
	"time"

	"fulmarrun/admission"
)

// TestRoutingAndAdmissionDoNotAllocate checks that matching the kind of a request,
// looking up its owner and admitting it do not allocate.
func TestRoutingAndAdmissionDoNotAllocate(t *testing.T) {
	d := newDaemon(t)
	snapshot := d.server.ServingState().Snapshot
	ctx := context.Background()
	ticket := admission.Ticket{Deadline: time.Now().Add(time.Hour)}
	allocated := testing.AllocsPerRun(1000, func() {
		match, ok := d.table.Match("POST", "/agenda/visits/17")
		if !ok {
			t.Fatal("no kind matches the request")
		}
		key, _ := match.Value("visit")
		route, ok := snapshot.Lookup(match.Service.Name, key)
		if !ok || route.Owner == nil {
			t.Fatal("the key has no owner")
		}
		if d.units.Enter(unit) != nil {
			t.Fatal("the unit is frozen")
		}
		permit, err := d.gate.Enter(ctx, ticket)
		if err != nil {
			t.Fatal(err)
		}
		permit.Done(admission.Completion{Latency: time.Millisecond, Result: admission.OK})
		d.units.Leave(unit)
	})
	if allocated != 0 {
		t.Errorf("got %v allocations per request, want 0", allocated)
	}
}
