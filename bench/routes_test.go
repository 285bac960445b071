package bench_test

import (
	"fmt"
	"runtime"
	"testing"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// BenchmarkRow measures Put and the Snapshot after it for one changed row.
func BenchmarkRow(b *testing.B) {
	for _, s := range sizes {
		v := s.view(b)
		version := uint64(1)
		b.Run("slots/"+s.String(), func(b *testing.B) {
			row := s.slotsRow(b, 0, 0, 0, 1)
			b.ReportAllocs()
			for b.Loop() {
				version++
				row.Version = version
				put(b, v, row)
				v.Snapshot()
			}
		})
		m := s.member(1)
		witness := memberRow(b, m, 1)
		m.State = wire.StateClosed
		for i := range 32 {
			m.Heirs = append(m.Heirs, generation(1+(i+1)*s.services()))
		}
		closed := memberRow(b, m, 1)
		b.Run("witnesses/"+s.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				version++
				witness.Version = version
				put(b, v, witness)
				v.Snapshot()
			}
		})
		b.Run("closed/"+s.String(), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				version++
				row := closed
				if i%2 == 1 {
					row = witness
				}
				row.Version = version
				put(b, v, row)
				v.Snapshot()
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, s := range sizes {
		snapshot := s.view(b).Snapshot()
		keys := make([]string, 1024)
		for i := range keys {
			keys[i] = fmt.Sprintf("visit-%d", i)
		}
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			service := serviceName(0)
			for i := 0; b.Loop(); i++ {
				if r, ok := snapshot.Lookup(service, keys[i%len(keys)]); !ok || r.Owner == nil {
					b.Fatal("no owner")
				}
			}
		})
	}
}

// BenchmarkHoldings measures the walk over the own service that the daemon makes
// at each new snapshot, once for what it holds.
func BenchmarkHoldings(b *testing.B) {
	for _, s := range sizes {
		snapshot := s.view(b).Snapshot()
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				own := 0
				for h := range snapshot.Assignments(serviceName(0)) {
					if h.Owner.Generation == generation(0) {
						own++
					}
				}
			}
		})
	}
}

// BenchmarkPlan measures what an owner works out after each change of members or
// slots.
func BenchmarkPlan(b *testing.B) {
	for _, s := range sizes {
		snapshot := s.view(b).Snapshot()
		for name, open := range map[string]func(*routes.Owner) bool{
			"balanced": func(*routes.Owner) bool { return true },
			"out":      func(o *routes.Owner) bool { return o.Generation != generation(0) },
		} {
			b.Run(name+"/"+s.String(), func(b *testing.B) {
				moves := 0
				for b.Loop() {
					moves = len(handover.Plan(snapshot, serviceName(0), open, generation(0)))
				}
				b.ReportMetric(float64(moves), "moves")
			})
		}
	}
}

// BenchmarkVersions measures the versions listed for one bucket that differs.
func BenchmarkVersions(b *testing.B) {
	for _, s := range sizes {
		v := s.view(b)
		b.Run(s.String(), func(b *testing.B) {
			var have []wire.Version
			for b.Loop() {
				have = v.Versions([]uint32{7})
			}
			ask := wire.Versions{From: 1, Buckets: []uint32{7}, Have: have}
			b.ReportMetric(float64(len(encode(b, &ask))), "bytes")
		})
	}
}

// BenchmarkHeap reports the live heap of a View and its Snapshot.
func BenchmarkHeap(b *testing.B) {
	for _, s := range append(sizes[:len(sizes):len(sizes)], size{3500, 1024}) {
		for _, hot := range []int{0, 8} {
			b.Run(fmt.Sprintf("%s/hot=%d", s, hot*s.services()), func(b *testing.B) {
				var grown uint64
				rows := s.rows(b, hot)
				for range b.N {
					before := heap()
					v := routes.NewView()
					for _, row := range rows {
						row.Value = append([]byte(nil), row.Value...)
						put(b, v, row)
					}
					v.Snapshot()
					grown = heap() - before
					runtime.KeepAlive(v)
				}
				b.ReportMetric(float64(grown), "heap-bytes")
				b.ReportMetric(float64(len(rows)), "rows")
				runtime.KeepAlive(rows)
			})
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
