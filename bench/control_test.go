package bench_test

import (
	"testing"

	"fulmarrun/control"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

func tableRow(key string, version uint64, value []byte) storage.Row {
	return storage.Row{Key: key, Version: version, Value: value}
}

// BenchmarkSecond measures one second of control without any change: ticks with
// maintenance, and heartbeats as a holder and as a witness. One operation is one
// second, so 15 ms is 1.5 percent of a core.
func BenchmarkSecond(b *testing.B) {
	for _, s := range sizes {
		for name, member := range map[string]int{"planner": s.planner(), "other": (s.planner() + s.services()) % s.members} {
			b.Run(name+"/"+s.String(), func(b *testing.B) {
				d := s.startDaemon(b, member)
				b.ReportAllocs()
				for b.Loop() {
					d.runSecond()
				}
				b.ReportMetric(float64(d.heartbeatsSent)/float64(b.N), "heartbeats/op")
				b.ReportMetric(float64(d.writeCount), "writes")
			})
		}
	}
}

// BenchmarkTick measures a single tick at an unchanged time, without maintenance.
func BenchmarkTick(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			d := s.startDaemon(b, 0)
			tick := control.Tick{StoreAnswered: d.now, Wall: d.now}
			b.ReportAllocs()
			for b.Loop() {
				d.core.Step(d.now, tick)
			}
		})
	}
}

// BenchmarkHeartbeat measures the answer of a witness to one heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			d := s.startDaemon(b, 0)
			hb := control.Heartbeat{Heartbeat: wire.Heartbeat{From: d.holders[0], To: generation(0), Seq: 2}}
			b.ReportAllocs()
			for b.Loop() {
				if len(d.core.Step(d.now, hb)) != 1 {
					b.Fatal("heartbeat not answered with one effect")
				}
			}
		})
	}
}

// BenchmarkRowsArrived measures the arrival of one new row, with the snapshot
// and the maintenance that follow it.
func BenchmarkRowsArrived(b *testing.B) {
	for _, s := range sizes {
		m := s.member(1)
		witnessRow := memberRow(b, m, 1)
		m.State, m.Witnesses = wire.StateClosed, nil
		closedRow := memberRow(b, m, 1)
		ownSlots, otherSlots := s.slotsRow(b, 0, 0, 0, 1), s.slotsRow(b, s.services()-1, 0, 0, 1)
		for _, c := range []struct {
			name string
			rows []wire.Row
		}{
			{"own-slots", []wire.Row{ownSlots}},
			{"other-slots", []wire.Row{otherSlots}},
			{"witnesses", []wire.Row{witnessRow}},
			{"closed", []wire.Row{closedRow, witnessRow}},
		} {
			b.Run(c.name+"/"+s.String(), func(b *testing.B) {
				d := s.startDaemon(b, 0)
				version := uint64(5000)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					version++
					row := c.rows[i%len(c.rows)]
					row.Version = version
					d.core.Step(d.now, control.RowsArrived{From: generation(2), Rows: []wire.Row{row}})
					d.core.Snapshot()
					d.core.Step(d.now, control.Tick{StoreAnswered: d.now, Wall: d.now})
				}
			})
		}
	}
}
