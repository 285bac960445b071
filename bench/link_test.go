package bench_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

// startRowsServer starts a server that accepts KindRows. It returns its address and a
// function that stops it.
func startRowsServer(b *testing.B) (netip.AddrPort, func()) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := peer.NewServer()
	peer.Handle(s, peer.KindRows, func(context.Context, *wire.Rows) (*wire.Ack, error) {
		return &wire.Ack{OK: true}, nil
	})
	go func() { _ = s.Serve(l) }()
	return netip.MustParseAddrPort(l.Addr().String()), func() {
		_ = l.Close()
		s.Close()
	}
}

// BenchmarkLink reports the memory of one idle connection between two daemons, for both
// ends together: live heap and goroutine stacks.
func BenchmarkLink(b *testing.B) {
	for _, links := range []int{50, 200} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			var heapGrowth, stackGrowth uint64
			for range b.N {
				addrs := make([]netip.AddrPort, links)
				stops := make([]func(), links)
				for i := range addrs {
					addrs[i], stops[i] = startRowsServer(b)
				}
				c := peer.NewClient()
				heapBefore, stacksBefore := memoryInUse()
				for _, addr := range addrs {
					if _, err := peer.Call[wire.Ack](context.Background(), c, addr, peer.KindRows, &wire.Rows{}); err != nil {
						b.Fatal(err)
					}
				}
				heapAfter, stacksAfter := memoryInUse()
				heapGrowth, stackGrowth = heapAfter-heapBefore, stacksAfter-stacksBefore
				c.Close()
				for _, stop := range stops {
					stop()
				}
			}
			b.ReportMetric(float64(heapGrowth)/float64(links), "heap-bytes/link")
			b.ReportMetric(float64(stackGrowth)/float64(links), "stack-bytes/link")
		})
	}
}

func memoryInUse() (heapBytes, stackBytes uint64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.StackInuse
}

// BenchmarkCall reports the processor time of one message between two daemons, for both
// ends together. The message carries the rows of one slot move.
func BenchmarkCall(b *testing.B) {
	s := deploymentSize{3500, 8192}
	m := s.member(0)
	for i := range uint32(64) {
		m.ReleasedSlots = append(m.ReleasedSlots, wire.ReleasedSlots{FirstSlot: i * 32, Revision: 40})
	}
	rows := &wire.Rows{From: generation(0), Rows: []wire.Row{s.slotsRow(b, 0, 0, 0, 1), memberRow(b, m, 1)}}
	addr, stop := startRowsServer(b)
	defer stop()
	c := peer.NewClient()
	defer c.Close()
	before := processorTime(b)
	for b.Loop() {
		if _, err := peer.Call[wire.Ack](context.Background(), c, addr, peer.KindRows, rows); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
