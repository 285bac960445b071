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

// peerAddr is where nobody is called: the calls are replaced.
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

// world is one daemon, generation 1, that knows others by its view alone.
type world struct {
	t     testing.TB
	view  *routes.View
	table *config.Table
	own   *owner.Server
	gate  *admission.Gate
	rows  uint64
}

func newWorld(t testing.TB, members int) *world {
	gate := admission.NewGate(admission.WithFixedLimit(64))
	w := &world{
		t: t, view: routes.NewView(), table: newTable(t), gate: gate,
		own: owner.NewServer(gate, handover.NewUnits(), handover.NewHotKeys()),
	}
	for g := range members {
		w.member(wire.Generation(g+1), netip.AddrPort{})
	}
	return w
}

func (w *world) put(key string, m wire.Message) {
	w.t.Helper()
	w.rows++
	value, err := wire.Encode(m)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.view.Put(wire.Row{Key: key, Version: w.rows, Value: value}); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) member(g wire.Generation, peer netip.AddrPort) {
	w.put(routes.MemberKey(g), &wire.Member{
		Instance: fmt.Sprint("agenda-", g), Generation: g, Service: "agenda", Domain: "heredia", Peer: peer,
	})
}

// give gives the only slot to g, or to nobody.
func (w *world) give(g wire.Generation, epoch uint64) {
	w.put(routes.SlotsKey("agenda", 0), &wire.Slots{
		Service: "agenda", TotalSlots: 1, Revision: epoch, Slots: []wire.Slot{{Owner: g, Epoch: epoch}},
	})
	w.publish()
}

func (w *world) publish() {
	w.own.Publish(&owner.ServingState{
		Generation: 1, Service: "agenda", Instance: "agenda-1", Domain: "heredia",
		Snapshot: w.view.Snapshot(), Table: w.table,
	})
}

func (w *world) kind(name string) *config.Kind {
	k, ok := w.table.Kind("agenda", name)
	if !ok {
		w.t.Fatalf("no kind %s", name)
	}
	return k
}

func (w *world) request(k *config.Kind, fresh bool) *wire.Request {
	return &wire.Request{
		Service: "agenda", Kind: k.Name, Key: "17", ID: uuid.Must(uuid.NewV7()).String(), FirstAttempt: fresh,
		Wait: k.Wait, Method: k.Method, Path: "/",
	}
}
