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

// serve starts a peer that takes rows.
func serve(b *testing.B) (netip.AddrPort, func()) {
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

// BenchmarkLink reports the memory of one idle connection between two daemons,
// both ends together: live heap, and stacks of goroutines.
func BenchmarkLink(b *testing.B) {
	for _, links := range []int{50, 200} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			var grown, stacks uint64
			for range b.N {
				addrs := make([]netip.AddrPort, links)
				closers := make([]func(), links)
				for i := range addrs {
					addrs[i], closers[i] = serve(b)
				}
				c := peer.NewClient()
				heapBefore, stacksBefore := memory()
				for _, addr := range addrs {
					if _, err := peer.Call[wire.Ack](context.Background(), c, addr, peer.KindRows, &wire.Rows{}); err != nil {
						b.Fatal(err)
					}
				}
				heapAfter, stacksAfter := memory()
				grown, stacks = heapAfter-heapBefore, stacksAfter-stacksBefore
				c.Close()
				for _, closer := range closers {
					closer()
				}
			}
			b.ReportMetric(float64(grown)/float64(links), "heap-bytes/link")
			b.ReportMetric(float64(stacks)/float64(links), "stack-bytes/link")
		})
	}
}

func memory() (heapBytes, stackBytes uint64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.StackInuse
}

// BenchmarkCall reports the processor time of one message between two daemons,
// both ends together, with the rows of one move.
func BenchmarkCall(b *testing.B) {
	s := size{3500, 8192}
	m := s.member(0)
	for i := range uint32(64) {
		m.ReleasedSlots = append(m.ReleasedSlots, wire.ReleasedSlots{FirstSlot: i * 32, Revision: 40})
	}
	rows := &wire.Rows{From: generation(0), Rows: []wire.Row{s.slotsRow(b, 0, 0, 0, 1), memberRow(b, m, 1)}}
	addr, stop := serve(b)
	defer stop()
	c := peer.NewClient()
	defer c.Close()
	before := cpu(b)
	for b.Loop() {
		if _, err := peer.Call[wire.Ack](context.Background(), c, addr, peer.KindRows, rows); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpu(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
