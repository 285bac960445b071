package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// fleet returns the rows of services in three failure domains, with 100 members and
// 8192 slots each: 64 slots per member, rounded up to a power of two.
func fleet(members int) []wire.Row {
	const perService, perMember = 100, 64
	var rows []wire.Row
	add := func(key string, value []byte, err error) {
		if err == nil {
			rows = append(rows, wire.Row{Key: key, Version: uint64(len(rows)) + 1, Value: value})
		}
	}
	for i := range members {
		m := memberOf(i, members)
		value, err := wire.Encode(&m)
		add(routes.MemberKey(m.Generation), value, err)
	}
	for first := 0; first < members; first += perService {
		in := min(perService, members-first)
		count := uint32(8192)
		for at := uint32(0); at < count; at += routes.SlotsPerRow {
			row := wire.Slots{Service: serviceOf(first), TotalSlots: count, FirstSlot: at, Revision: 1}
			for slot := at; slot < at+routes.SlotsPerRow; slot++ {
				owner := first + int(slot)*in/int(count)
				row.Slots = append(row.Slots, wire.Slot{Owner: wire.Generation(owner + 1), Epoch: 1})
			}
			value, err := wire.Encode(&row)
			add(routes.SlotsKey(row.Service, at), value, err)
		}
	}
	return rows
}

func serviceOf(i int) string { return fmt.Sprintf("service-%02d", i/100) }

func memberOf(i, members int) wire.Member {
	m := wire.Member{
		Instance: fmt.Sprint(i), Generation: wire.Generation(i + 1), Service: serviceOf(i), Region: "r",
		Domain: fmt.Sprint(i % 3), Peer: addrOf(i), Caller: addrOf(i),
	}
	for j := 1; j <= 3; j++ {
		m.Witnesses = append(m.Witnesses, wire.Generation((i+j)%members+1))
	}
	return m
}

// joinedCore returns the core of member 0 of a fleet; it has joined and knows all
// rows.
func joinedCore(members int, options ...control.Option) (*control.Core, time.Time) {
	now := time.Unix(1000, 0)
	core := control.NewCore(memberOf(0, members), append(options, control.WithIDs(func() string { return "x" }))...)
	rows := fleet(members)
	for _, e := range core.Step(now, control.RowsLoaded{Rows: rows[1:]}) {
		if w, ok := e.(control.Write); ok {
			row := storage.Row{Key: w.Transaction.Writes[0].Key, Version: 1 << 37, Value: w.Transaction.Writes[0].Value}
			core.Step(now, control.WriteDone{Write: w, Applied: true, Rows: []storage.Row{row}})
		}
	}
	core.Step(now, control.ConfigLoaded{Number: wire.ConfigNumber{File: 1}, Services: []control.ServiceLayout{{Name: serviceOf(0), Slots: 8192}}})
	return core, now
}

// driveTick sends one tick and answers the heartbeats that it causes, so that the
// lease remains valid. It returns the effects of the tick.
func driveTick(core *control.Core, now time.Time) []control.Effect {
	var beats []wire.Heartbeat
	effects := slices.Clone(core.Step(now, control.Tick{StoreAnswered: now, Wall: now}))
	for _, e := range effects {
		if hb, ok := e.(control.SendHeartbeat); ok {
			beats = append(beats, hb.Heartbeat)
		}
	}
	for _, hb := range beats {
		hb.From, hb.To, hb.Answer = hb.To, hb.From, true
		core.Step(now, control.Heartbeat{Heartbeat: hb})
	}
	return effects
}

// BenchmarkSecond measures the cost of one second of control: 20 ticks, and the
// heartbeats of an owner and of a witness.
func BenchmarkSecond(b *testing.B) {
	for _, members := range []int{100, 1000, 3500} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			core, now := joinedCore(members)
			b.ReportAllocs()
			for b.Loop() {
				for range 20 {
					now = now.Add(control.TickInterval)
					driveTick(core, now)
				}
				for i := range 12 {
					core.Step(now, control.Heartbeat{Heartbeat: wire.Heartbeat{
						From: wire.Generation(members - i%3), To: 1, Seq: uint32(2 * i),
					}})
				}
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/1e7, "%core")
		})
	}
}

// BenchmarkRowUpdate measures the cost of one changed row, including the snapshot.
func BenchmarkRowUpdate(b *testing.B) {
	for _, tc := range []struct {
		name  string
		index int
		alter func(m *wire.Member)
	}{
		{"witnesses", 150, func(m *wire.Member) {}},
		{"closed", 150, func(m *wire.Member) {
			if m.State ^= wire.StateClosed; m.State == wire.StateClosed {
				m.Heirs = []wire.Generation{120, 130}
			}
		}},
		{"closed, own service", 50, func(m *wire.Member) {
			if m.State ^= wire.StateClosed; m.State == wire.StateClosed {
				m.Heirs = []wire.Generation{20, 30}
			}
		}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			core, now := joinedCore(3500)
			m := memberOf(tc.index, 3500)
			version := uint64(1 << 38)
			b.ReportAllocs()
			for b.Loop() {
				tc.alter(&m)
				version++
				value, _ := wire.Encode(&m)
				row := wire.Row{Key: routes.MemberKey(m.Generation), Version: version, Value: value}
				core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{row}})
				core.Snapshot()
			}
		})
	}
}
