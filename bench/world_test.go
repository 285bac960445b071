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
	membersPerService = 100
	domainCount       = 22
	regionCount       = 8
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// deploymentSize is the size of a deployment; slots is the number of slots of each
// service.
type deploymentSize struct {
	members int
	slots   uint32
}

func (s deploymentSize) String() string {
	return fmt.Sprintf("members=%d/slots=%d", s.members, s.services()*int(s.slots))
}

func (s deploymentSize) services() int { return max(1, s.members/membersPerService) }

// sizes are the sizes that show how a cost grows; the last one is the size that the
// design must support.
var sizes = []deploymentSize{{100, 1024}, {100, 8192}, {1000, 8192}, {3500, 2048}, {3500, 8192}}

func generation(i int) wire.Generation { return wire.Generation(routes.Mix(uint64(i), 77)) }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func (s deploymentSize) member(i int) wire.Member {
	m := wire.Member{
		Instance: fmt.Sprintf("instance-%05d", i), Generation: generation(i),
		Service: serviceName(i % s.services()),
		Region:  fmt.Sprintf("region-%d", i%domainCount%regionCount), Domain: fmt.Sprintf("domain-%02d", i%domainCount),
		Peer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7001),
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7002),
		Joined: startTime, Change: "0198f000-0000-7000-8000-000000000000", Reason: "a witness is gone",
	}
	for _, step := range []int{1, 2, domainCount} {
		m.Witnesses = append(m.Witnesses, generation((i+step)%s.members))
	}
	return m
}

// memberIndex returns the index of the member with the given peer address.
func (s deploymentSize) memberIndex(peer netip.AddrPort) int {
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

// slotsRow returns a row as it looks after many hand-overs, with owners spread over all
// members of the service.
func (s deploymentSize) slotsRow(tb testing.TB, service int, first uint32, hot int, version uint64) wire.Row {
	tb.Helper()
	row := wire.Slots{Service: serviceName(service), TotalSlots: s.slots, Revision: 40, FirstSlot: first, Change: "0198f000-0000-7000-8000-000000000000"}
	membersInService := s.members / s.services()
	slot := func(n int) wire.Slot {
		owner := service + s.services()*(n%membersInService)
		return wire.Slot{Owner: generation(owner), Epoch: 300, TransferID: routes.Mix(uint64(n), 3), AssignedAt: wire.UnixTimeOf(startTime)}
	}
	for i := range uint32(routes.SlotsPerRow) {
		row.Slots = append(row.Slots, slot(int(first+i)))
	}
	for i := range hot {
		row.HotKeys = append(row.HotKeys, wire.HotKey{Key: fmt.Sprintf("key-%08d-%04d", first, i), Slot: slot(i)})
	}
	return wire.Row{Key: routes.SlotsKey(row.Service, first), Version: version, Value: encode(tb, &row)}
}

// rows returns all rows of the table; hot is the number of hot keys of each service,
// one in each of its first rows.
func (s deploymentSize) rows(tb testing.TB, hot int) []wire.Row {
	tb.Helper()
	var out []wire.Row
	for i := range s.members {
		out = append(out, memberRow(tb, s.member(i), 1))
	}
	for service := range s.services() {
		remainingHotKeys := hot
		for first := uint32(0); first < s.slots; first += routes.SlotsPerRow {
			out = append(out, s.slotsRow(tb, service, first, min(remainingHotKeys, 1), 1))
			remainingHotKeys -= min(remainingHotKeys, 1)
		}
	}
	return out
}

func (s deploymentSize) loadedView(tb testing.TB) *routes.View {
	tb.Helper()
	view := routes.NewView()
	for _, row := range s.rows(tb, 0) {
		putRow(tb, view, row)
	}
	view.Snapshot()
	return view
}

func putRow(tb testing.TB, view *routes.View, row wire.Row) {
	tb.Helper()
	if isNew, err := view.Put(row); err != nil || !isNew {
		tb.Fatalf("row %s: new %t, %v", row.Key, isNew, err)
	}
}

// planner returns the index of the planner of the first service.
func (s deploymentSize) planner() int {
	bestMember, highestRank := 0, uint64(0)
	for i := 0; i < s.members; i += s.services() {
		if rank := routes.Mix(uint64(len(serviceName(0))), uint64(generation(i))); rank > highestRank {
			bestMember, highestRank = i, rank
		}
	}
	return bestMember
}

// simulatedDaemon is a core with a lease whose peers and platform always answer.
type simulatedDaemon struct {
	core           *control.Core
	now            time.Time
	holders        []wire.Generation
	heartbeatSeq   uint32
	lastVersion    uint64
	heartbeatsSent int
	writeCount     int
}

// startDaemon starts the core of the member with index self and runs it until it has a
// lease.
func (s deploymentSize) startDaemon(tb testing.TB, self int) *simulatedDaemon {
	tb.Helper()
	m := s.member(self)
	d := &simulatedDaemon{now: startTime, lastVersion: 1000}
	d.core = control.NewCore(m, control.WithIDs(func() string { return "change" }))
	ownKey := routes.MemberKey(m.Generation)
	var rows []wire.Row
	for _, row := range s.rows(tb, 0) {
		if row.Key != ownKey {
			rows = append(rows, row)
		}
	}
	d.applyEffects(d.core.Step(d.now, control.RowsLoaded{Rows: rows, Wall: d.now}))
	layouts := make([]control.ServiceLayout, 0, s.services())
	for i := range s.services() {
		layouts = append(layouts, control.ServiceLayout{Name: serviceName(i), Slots: s.slots})
	}
	d.applyEffects(d.core.Step(d.now, control.ConfigLoaded{
		Number: wire.ConfigNumber{File: 1}, Services: layouts, Serves: func(string, string, string) bool { return true },
	}))
	for _, step := range []int{1, 2, domainCount} {
		d.holders = append(d.holders, generation((self-step+s.members)%s.members))
	}
	for range 5 {
		d.runSecond()
	}
	if !d.now.Before(d.core.LeaseUntil()) {
		tb.Fatal("core has no lease after 5 s")
	}
	d.heartbeatsSent, d.writeCount = 0, 0
	return d
}

// applyEffects answers heartbeats and completes writes immediately.
func (d *simulatedDaemon) applyEffects(effects []control.Effect) {
	var messages []control.Message
	for _, e := range effects {
		switch e := e.(type) {
		case control.SendHeartbeat:
			d.heartbeatsSent++
			if hb := e.Heartbeat; !hb.Answer {
				messages = append(messages, control.Heartbeat{Heartbeat: wire.Heartbeat{Answer: true, From: hb.To, To: hb.From, Seq: hb.Seq}})
			}
		case control.Write:
			d.writeCount++
			d.lastVersion++
			result := control.WriteDone{Write: e, Applied: true}
			for _, w := range e.Transaction.Writes {
				result.Rows = append(result.Rows, tableRow(w.Key, d.lastVersion, w.Value))
			}
			messages = append(messages, result)
		}
	}
	for _, m := range messages {
		d.applyEffects(d.core.Step(d.now, m))
	}
}

// runSecond simulates one second without any change.
func (d *simulatedDaemon) runSecond() {
	for tick := range 20 {
		d.now = d.now.Add(control.TickInterval)
		if tick%5 == 0 {
			d.heartbeatSeq += 2
			for _, holder := range d.holders {
				d.applyEffects(d.core.Step(d.now, control.Heartbeat{Heartbeat: wire.Heartbeat{From: holder, To: d.core.Self().Generation, Seq: d.heartbeatSeq}}))
			}
		}
		d.applyEffects(d.core.Step(d.now, control.Tick{StoreAnswered: d.now, Wall: d.now}))
		d.core.Snapshot()
	}
}
