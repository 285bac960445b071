package bench_test

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarrun/config"
	"fulmarrun/lease"
	"fulmarrun/outcome"
	"fulmarrun/peer"
	"fulmarrun/wire"
)

// BenchmarkDatagram measures a heartbeat sent and received on loopback; both
// ends are in the time.
func BenchmarkDatagram(b *testing.B) {
	open := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			b.Fatal(err)
		}
		return conn
	}
	to, from := open(), open()
	sender, receiver := peer.NewDatagrams(from), peer.NewDatagrams(to)
	arrived := make(chan struct{}, 1)
	go func() {
		_ = receiver.Serve(func(netip.AddrPort, wire.Heartbeat) { arrived <- struct{}{} })
	}()
	hb := wire.Heartbeat{From: generation(0), To: generation(1), Seq: 1 << 20}
	addr := netip.MustParseAddrPort(to.LocalAddr().String())
	b.ReportAllocs()
	for b.Loop() {
		if err := sender.Send(addr, &hb); err != nil {
			b.Fatal(err)
		}
		<-arrived
	}
	_, _ = sender.Close(), receiver.Close()
}

// BenchmarkWitness measures one answer against the number of holders.
func BenchmarkWitness(b *testing.B) {
	for _, holders := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			w := lease.NewWitness(1)
			for i := range holders {
				w.Watch(generation(i), start)
			}
			for i := 0; b.Loop(); i++ {
				w.Answer(start, wire.Heartbeat{From: generation(i % holders), To: 1, Seq: 2}, true)
			}
		})
	}
}

// BenchmarkChoose measures the choice of witnesses of a daemon that joins or has
// lost one.
func BenchmarkChoose(b *testing.B) {
	for _, members := range []int{100, 1000, 3500} {
		s := size{members, 32}
		all := make([]wire.Member, 0, members)
		for i := range members {
			all = append(all, s.member(i))
		}
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				if len(lease.Choose(all[0], all[1:], nil)) != lease.MaxWitnesses {
					b.Fatal("too few")
				}
			}
		})
	}
}

// file is the operators' file with kinds kinds in each of services services.
func file(services, kinds int) []byte {
	var w strings.Builder
	w.WriteString(`{"out": [], "services": [`)
	for i := range services {
		fmt.Fprintf(&w, "\n{\"name\": %q, \"slots\": 8192, \"kinds\": [", serviceName(i))
		for k := range kinds {
			fmt.Fprintf(&w, "\n  {\"name\": \"kind-%d\", \"method\": \"POST\", \"path\": \"/items%d/{item}\", \"key\": {\"path\": \"item\"}, \"wait\": \"2s\", \"repeat\": \"never\", \"class\": \"urgent\"},", k, k)
		}
		w.WriteString("\n]},")
	}
	w.WriteString("\n]}\n")
	return []byte(w.String())
}

// BenchmarkConfig measures what a daemon does with a new file.
func BenchmarkConfig(b *testing.B) {
	for _, services := range []int{1, 10, 35, 100} {
		text := file(services, 20)
		b.Run(fmt.Sprintf("parse/services=%d", services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f, err := config.Parse("file", text)
				if err != nil {
					b.Fatal(err)
				}
				config.NewTable(f, 1)
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
		b.Run(fmt.Sprintf("split/services=%d", services), func(b *testing.B) {
			parts := 0
			for b.Loop() {
				parts = len(config.Split(text))
			}
			b.ReportMetric(float64(parts), "sections")
		})
	}
	current := wire.CurrentConfig{Number: 8800, Digest: strings.Repeat("a", 64), Author: "ioana", At: start, Change: uuid.NewString()}
	for range 36 {
		current.SectionDigests = append(current.SectionDigests, strings.Repeat("b", 64))
	}
	for i := range 64 {
		current.RecentChanges = append(current.RecentChanges, wire.AcceptedChange{Number: uint64(8800 - i), Change: uuid.NewString()})
	}
	b.Run("row/services=35", func(b *testing.B) {
		for b.Loop() {
			_ = encode(b, &current)
		}
		b.ReportMetric(float64(len(encode(b, &current))), "bytes")
	})
}

// BenchmarkUnits reports the live heap for one unit and for one record of the
// memory of request IDs.
func BenchmarkUnits(b *testing.B) {
	for _, units := range []int{32, 1024, 8192} {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			var grown uint64
			for range b.N {
				l := outcome.NewLedger(outcome.WithMaxRecords(16))
				before := heap()
				for i := range units {
					l.Open(outcome.Unit{Service: serviceName(0), Slot: uint32(i)}, time.Time{})
				}
				grown = heap() - before
				l.Open(outcome.Unit{Service: serviceName(0), Slot: 0}, time.Time{})
			}
			b.ReportMetric(float64(grown)/float64(units), "heap-bytes/unit")
		})
	}
}
