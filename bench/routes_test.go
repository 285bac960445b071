package bench_test

import (
	"fmt"
	"runtime"
	"testing"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// BenchmarkRow measures Put of one changed row and the Snapshot after it.
func BenchmarkRow(b *testing.B) {
	for _, s := range sizes {
		view := s.loadedView(b)
		version := uint64(1)
		b.Run("slots/"+s.String(), func(b *testing.B) {
			row := s.slotsRow(b, 0, 0, 0, 1)
			b.ReportAllocs()
			for b.Loop() {
				version++
				row.Version = version
				putRow(b, view, row)
				view.Snapshot()
			}
		})
		m := s.member(1)
		witnessRow := memberRow(b, m, 1)
		m.State = wire.StateClosed
		for i := range 32 {
			m.Heirs = append(m.Heirs, generation(1+(i+1)*s.services()))
		}
		closedRow := memberRow(b, m, 1)
		b.Run("witnesses/"+s.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				version++
				witnessRow.Version = version
				putRow(b, view, witnessRow)
				view.Snapshot()
			}
		})
		b.Run("closed/"+s.String(), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				version++
				row := closedRow
				if i%2 == 1 {
					row = witnessRow
				}
				row.Version = version
				putRow(b, view, row)
				view.Snapshot()
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, s := range sizes {
		snapshot := s.loadedView(b).Snapshot()
		keys := make([]string, 1024)
		for i := range keys {
			keys[i] = fmt.Sprintf("visit-%d", i)
		}
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			service := serviceName(0)
			for i := 0; b.Loop(); i++ {
				if r, ok := snapshot.Lookup(service, keys[i%len(keys)]); !ok || r.Owner == nil {
					b.Fatal("key has no owner")
				}
			}
		})
	}
}

// BenchmarkHoldings measures the iteration over all assignments of its own service that
// a daemon makes for each new snapshot to find what it owns.
func BenchmarkHoldings(b *testing.B) {
	for _, s := range sizes {
		snapshot := s.loadedView(b).Snapshot()
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				owned := 0
				for assignment := range snapshot.Assignments(serviceName(0)) {
					if assignment.Owner.Generation == generation(0) {
						owned++
					}
				}
			}
		})
	}
}

// BenchmarkPlan measures the plan that an owner computes after each change of members
// or slots.
func BenchmarkPlan(b *testing.B) {
	for _, s := range sizes {
		snapshot := s.loadedView(b).Snapshot()
		for name, eligible := range map[string]func(*routes.Owner) bool{
			"balanced": func(*routes.Owner) bool { return true },
			"out":      func(o *routes.Owner) bool { return o.Generation != generation(0) },
		} {
			b.Run(name+"/"+s.String(), func(b *testing.B) {
				moves := 0
				for b.Loop() {
					moves = len(handover.Plan(snapshot, serviceName(0), eligible, generation(0)))
				}
				b.ReportMetric(float64(moves), "moves")
			})
		}
	}
}

// BenchmarkVersions measures the list of versions for one bucket that differs between
// two daemons.
func BenchmarkVersions(b *testing.B) {
	for _, s := range sizes {
		view := s.loadedView(b)
		b.Run(s.String(), func(b *testing.B) {
			var versions []wire.Version
			for b.Loop() {
				versions = view.Versions([]uint32{7})
			}
			request := wire.Versions{From: 1, Buckets: []uint32{7}, Have: versions}
			b.ReportMetric(float64(len(encode(b, &request))), "bytes")
		})
	}
}

// BenchmarkHeap reports the live heap of a View and its Snapshot.
func BenchmarkHeap(b *testing.B) {
	for _, s := range append(sizes[:len(sizes):len(sizes)], deploymentSize{3500, 1024}) {
		for _, hot := range []int{0, 8} {
			b.Run(fmt.Sprintf("%s/hot=%d", s, hot*s.services()), func(b *testing.B) {
				var heapGrowth uint64
				rows := s.rows(b, hot)
				for range b.N {
					before := liveHeap()
					view := routes.NewView()
					for _, row := range rows {
						row.Value = append([]byte(nil), row.Value...)
						putRow(b, view, row)
					}
					view.Snapshot()
					heapGrowth = liveHeap() - before
					runtime.KeepAlive(view)
				}
				b.ReportMetric(float64(heapGrowth), "heap-bytes")
				b.ReportMetric(float64(len(rows)), "rows")
				runtime.KeepAlive(rows)
			})
		}
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
