package bench_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

const (
	perService = 100
	domains    = 22
	regions    = 8
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// size is how large a deployment is; slots are those of one service.
type size struct {
	members int
	slots   uint32
}

func (s size) String() string {
	return fmt.Sprintf("members=%d/slots=%d", s.members, s.services()*int(s.slots))
}

func (s size) services() int { return max(1, s.members/perService) }

// sizes are the sizes at which a slope is seen; the last is the one that decides.
var sizes = []size{{100, 1024}, {100, 8192}, {1000, 8192}, {3500, 2048}, {3500, 8192}}

func generation(i int) wire.Generation { return wire.Generation(routes.Mix(uint64(i), 77)) }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func (s size) member(i int) wire.Member {
	m := wire.Member{
		Instance: fmt.Sprintf("instance-%05d", i), Generation: generation(i),
		Service: serviceName(i % s.services()),
		Region:  fmt.Sprintf("region-%d", i%domains%regions), Domain: fmt.Sprintf("domain-%02d", i%domains),
		Peer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7001),
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7002),
		Joined: start, Change: "0198f000-0000-7000-8000-000000000000", Reason: "a witness is gone",
	}
	for _, step := range []int{1, 2, domains} {
		m.Witnesses = append(m.Witnesses, generation((i+step)%s.members))
	}
	return m
}

// index returns the member with a peer address.
func (s size) index(peer netip.AddrPort) int {
	a := peer.Addr().As4()
	return int(a[2])<<8 | int(a[3])
}

func encode(tb testing.TB, m interface {
	MarshalMsg([]byte) ([]byte, error)
},
) []byte {
	tb.Helper()
	value, err := wire.Encode(m)
	if err != nil {
		tb.Fatal(err)
	}
	return value
}

func memberRow(tb testing.TB, m wire.Member, version uint64) wire.Row {
	tb.Helper()
	return wire.Row{Key: routes.MemberKey(m.Generation), Version: version, Value: encode(tb, &m)}
}

// slotsRow returns a row as it is after hand-overs, with owners all over the
// service.
func (s size) slotsRow(tb testing.TB, service int, first uint32, hot int, version uint64) wire.Row {
	tb.Helper()
	row := wire.Slots{Service: serviceName(service), TotalSlots: s.slots, Revision: 40, FirstSlot: first, Change: "0198f000-0000-7000-8000-000000000000"}
	inService := s.members / s.services()
	slot := func(n int) wire.Slot {
		owner := service + s.services()*(n%inService)
		return wire.Slot{Owner: generation(owner), Epoch: 300, TransferID: routes.Mix(uint64(n), 3), AssignedAt: wire.UnixTimeOf(start)}
	}
	for i := range uint32(routes.SlotsPerRow) {
		row.Slots = append(row.Slots, slot(int(first+i)))
	}
	for i := range hot {
		row.HotKeys = append(row.HotKeys, wire.HotKey{Key: fmt.Sprintf("key-%08d-%04d", first, i), Slot: slot(i)})
	}
	return wire.Row{Key: routes.SlotsKey(row.Service, first), Version: version, Value: encode(tb, &row)}
}

// rows returns the whole table; hot is the number of hot keys of each service,
// all in its first rows.
func (s size) rows(tb testing.TB, hot int) []wire.Row {
	tb.Helper()
	var out []wire.Row
	for i := range s.members {
		out = append(out, memberRow(tb, s.member(i), 1))
	}
	for service := range s.services() {
		left := hot
		for first := uint32(0); first < s.slots; first += routes.SlotsPerRow {
			out = append(out, s.slotsRow(tb, service, first, min(left, 1), 1))
			left -= min(left, 1)
		}
	}
	return out
}

func (s size) view(tb testing.TB) *routes.View {
	tb.Helper()
	v := routes.NewView()
	for _, row := range s.rows(tb, 0) {
		put(tb, v, row)
	}
	v.Snapshot()
	return v
}

func put(tb testing.TB, v *routes.View, row wire.Row) {
	tb.Helper()
	if isNew, err := v.Put(row); err != nil || !isNew {
		tb.Fatalf("row %s: new %t, %v", row.Key, isNew, err)
	}
}

// planner returns the member that plans for the first service.
func (s size) planner() int {
	best, most := 0, uint64(0)
	for i := 0; i < s.members; i += s.services() {
		if rank := routes.Mix(uint64(len(serviceName(0))), uint64(generation(i))); rank > most {
			best, most = i, rank
		}
	}
	return best
}

// daemon is a core with a lease, whose peers and platform always answer.
type daemon struct {
	core    *control.Core
	now     time.Time
	holders []wire.Generation
	seq     uint32
	version uint64
	sent    int
	writes  int
}

// join starts the core of member self of a deployment.
func (s size) join(tb testing.TB, self int) *daemon {
	tb.Helper()
	m := s.member(self)
	d := &daemon{now: start, version: 1000}
	d.core = control.NewCore(m, control.WithIDs(func() string { return "change" }))
	own := routes.MemberKey(m.Generation)
	var rows []wire.Row
	for _, row := range s.rows(tb, 0) {
		if row.Key != own {
			rows = append(rows, row)
		}
	}
	d.carryOut(d.core.Step(d.now, control.RowsLoaded{Rows: rows, Wall: d.now}))
	shapes := make([]control.ServiceLayout, 0, s.services())
	for i := range s.services() {
		shapes = append(shapes, control.ServiceLayout{Name: serviceName(i), Slots: s.slots})
	}
	d.carryOut(d.core.Step(d.now, control.ConfigLoaded{
		Number: 1, Services: shapes, Serves: func(string, string, string) bool { return true },
	}))
	for _, step := range []int{1, 2, domains} {
		d.holders = append(d.holders, generation((self-step+s.members)%s.members))
	}
	for range 5 {
		d.second()
	}
	if !d.now.Before(d.core.LeaseUntil()) {
		tb.Fatal("no lease")
	}
	d.sent, d.writes = 0, 0
	return d
}

// carryOut answers heartbeats and settles writes at once.
func (d *daemon) carryOut(effects []control.Effect) {
	var next []control.Message
	for _, e := range effects {
		switch e := e.(type) {
		case control.SendHeartbeat:
			d.sent++
			if hb := e.Heartbeat; !hb.Answer {
				next = append(next, control.Heartbeat{Heartbeat: wire.Heartbeat{Answer: true, From: hb.To, To: hb.From, Seq: hb.Seq}})
			}
		case control.Write:
			d.writes++
			d.version++
			done := control.WriteDone{Write: e, Applied: true}
			for _, w := range e.Transaction.Writes {
				done.Rows = append(done.Rows, tableRow(w.Key, d.version, w.Value))
			}
			next = append(next, done)
		}
	}
	for _, m := range next {
		d.carryOut(d.core.Step(d.now, m))
	}
}

// second plays one second without any change.
func (d *daemon) second() {
	for tick := range 20 {
		d.now = d.now.Add(control.TickInterval)
		if tick%5 == 0 {
			d.seq += 2
			for _, h := range d.holders {
				d.carryOut(d.core.Step(d.now, control.Heartbeat{Heartbeat: wire.Heartbeat{From: h, To: d.core.Self().Generation, Seq: d.seq}}))
			}
		}
		d.carryOut(d.core.Step(d.now, control.Tick{StoreAnswered: d.now, Wall: d.now}))
		d.core.Snapshot()
	}
}
