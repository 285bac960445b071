package forward_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/uuid"

	"fulmarrun/admission"
	"fulmarrun/config"
	"fulmarrun/handover"
	"fulmarrun/owner"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// peerAddr is an address that is never dialed, since the tests replace the calls.
var peerAddr = netip.MustParseAddrPort("127.0.0.1:1")

const kindsText = `{"services":[{"name":"agenda","slots":1,"kinds":[
	{"name":"book","method":"POST","path":"/visits/{visit}","key":{"path":"visit"},"wait":"1m","repeat":"never","class":"urgent"},
	{"name":"visit","method":"GET","path":"/visits/{visit}","key":{"path":"visit"},"wait":"1m","repeat":1,"class":"urgent"},
	{"name":"free","method":"GET","path":"/days/{day}","wait":"1m","repeat":0,"class":"urgent"},
	{"name":"dear","method":"GET","path":"/sums/{day}","wait":"1m","repeat":5,"class":"urgent"}]}]}`

func newTable(t testing.TB) *config.Table {
	t.Helper()
	f, err := config.Parse("test", []byte(kindsText))
	if err != nil {
		t.Fatal(err)
	}
	return config.NewTable(f, 1)
}

// testDaemon is a daemon of generation 1 whose knowledge of the other daemons comes
// from its view alone.
type testDaemon struct {
	t         testing.TB
	view      *routes.View
	table     *config.Table
	ownServer *owner.Server
	gate      *admission.Gate
	version   uint64
}

func newTestDaemon(t testing.TB, members int) *testDaemon {
	gate := admission.NewGate(admission.WithFixedLimit(64))
	w := &testDaemon{
		t: t, view: routes.NewView(), table: newTable(t), gate: gate,
		ownServer: owner.NewServer(gate, handover.NewUnits(), handover.NewHotKeys()),
	}
	for g := range members {
		w.addMember(wire.Generation(g+1), netip.AddrPort{})
	}
	return w
}

func (w *testDaemon) put(key string, m wire.Message) {
	w.t.Helper()
	w.version++
	value, err := wire.Encode(m)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.view.Put(wire.Row{Key: key, Version: w.version, Value: value}); err != nil {
		w.t.Fatal(err)
	}
}

func (w *testDaemon) addMember(g wire.Generation, peer netip.AddrPort) {
	w.put(routes.MemberKey(g), &wire.Member{
		Instance: fmt.Sprint("agenda-", g), Generation: g, Service: "agenda", Domain: "heredia", Peer: peer,
	})
}

// closeMember closes a generation.
func (w *testDaemon) closeMember(g wire.Generation) {
	w.put(routes.MemberKey(g), &wire.Member{
		Instance: fmt.Sprint("agenda-", g), Generation: g, Service: "agenda", Domain: "heredia", State: wire.StateClosed,
	})
	w.publish()
}

// assignSlot makes g the owner of the only slot; with a zero g it has no owner.
func (w *testDaemon) assignSlot(g wire.Generation, epoch uint64) {
	w.put(routes.SlotsKey("agenda", 0), &wire.Slots{
		Service: "agenda", TotalSlots: 1, Revision: epoch, Slots: []wire.Slot{{Owner: g, Epoch: epoch}},
	})
	w.publish()
}

func (w *testDaemon) publish() {
	w.ownServer.Publish(&owner.ServingState{
		Generation: 1, Service: "agenda", Instance: "agenda-1", Domain: "heredia",
		Snapshot: w.view.Snapshot(), Table: w.table,
	})
}

func (w *testDaemon) kind(name string) *config.Kind {
	k, ok := w.table.Kind("agenda", name)
	if !ok {
		w.t.Fatalf("kind %q does not exist in service agenda", name)
	}
	return k
}

func (w *testDaemon) request(k *config.Kind, firstAttempt bool) *wire.Request {
	return &wire.Request{
		Service: "agenda", Kind: k.Name, Key: "17", ID: uuid.Must(uuid.NewV7()).String(), FirstAttempt: firstAttempt,
		Wait: k.Wait, Method: k.Method, Path: "/",
	}
}
