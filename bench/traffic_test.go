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

// BenchmarkDatagram measures sending and receiving a heartbeat on the loopback
// interface; the time includes both ends.
func BenchmarkDatagram(b *testing.B) {
	listenUDP := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			b.Fatal(err)
		}
		return conn
	}
	receiverConn, senderConn := listenUDP(), listenUDP()
	sender, receiver := peer.NewDatagrams(senderConn), peer.NewDatagrams(receiverConn)
	arrived := make(chan struct{}, 1)
	go func() {
		_ = receiver.Serve(func(netip.AddrPort, wire.Heartbeat) { arrived <- struct{}{} })
	}()
	hb := wire.Heartbeat{From: generation(0), To: generation(1), Seq: 1 << 20}
	addr := netip.MustParseAddrPort(receiverConn.LocalAddr().String())
	b.ReportAllocs()
	for b.Loop() {
		if err := sender.Send(addr, &hb); err != nil {
			b.Fatal(err)
		}
		<-arrived
	}
	_, _ = sender.Close(), receiver.Close()
}

// BenchmarkWitness measures one answer of a witness for different numbers of holders.
func BenchmarkWitness(b *testing.B) {
	for _, holders := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			witness := lease.NewWitness(1)
			for i := range holders {
				witness.Watch(generation(i), startTime)
			}
			for i := 0; b.Loop(); i++ {
				witness.Answer(startTime, wire.Heartbeat{From: generation(i % holders), To: 1, Seq: 2}, true)
			}
		})
	}
}

// BenchmarkChoose measures the choice of witnesses by a daemon that joins or has lost a
// witness.
func BenchmarkChoose(b *testing.B) {
	for _, members := range []int{100, 1000, 3500} {
		s := deploymentSize{members, 32}
		memberList := make([]wire.Member, 0, members)
		for i := range members {
			memberList = append(memberList, s.member(i))
		}
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				if len(lease.Choose(memberList[0], memberList[1:], nil)) != lease.MaxWitnesses {
					b.Fatal("too few witnesses chosen")
				}
			}
		})
	}
}

// configFile returns an operators' file with the given number of services and of
// request kinds per service.
func configFile(services, kinds int) []byte {
	var text strings.Builder
	text.WriteString(`{"out": [], "services": [`)
	for i := range services {
		fmt.Fprintf(&text, "\n{\"name\": %q, \"slots\": 8192, \"kinds\": [", serviceName(i))
		for k := range kinds {
			fmt.Fprintf(&text, "\n  {\"name\": \"kind-%d\", \"method\": \"POST\", \"path\": \"/items%d/{item}\", \"key\": {\"path\": \"item\"}, \"wait\": \"2s\", \"repeat\": \"never\", \"class\": \"urgent\"},", k, k)
		}
		text.WriteString("\n]},")
	}
	text.WriteString("\n]}\n")
	return []byte(text.String())
}

// BenchmarkConfig measures the processing of a new configuration file in a daemon.
func BenchmarkConfig(b *testing.B) {
	for _, services := range []int{1, 10, 35, 100} {
		text := configFile(services, 20)
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
			sections := 0
			for b.Loop() {
				sections = len(config.Split(text))
			}
			b.ReportMetric(float64(sections), "sections")
		})
	}
	current := wire.CurrentConfig{Number: 8800, Digest: strings.Repeat("a", 64), Author: "ioana", At: startTime, Change: uuid.NewString()}
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

// BenchmarkUnits reports the live heap per open unit of the outcome ledger.
func BenchmarkUnits(b *testing.B) {
	for _, units := range []int{32, 1024, 8192} {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			var heapGrowth uint64
			for range b.N {
				ledger := outcome.NewLedger(outcome.WithMaxRecords(16))
				before := liveHeap()
				for i := range units {
					ledger.Open(outcome.Unit{Service: serviceName(0), Slot: uint32(i)}, time.Time{})
				}
				heapGrowth = liveHeap() - before
				ledger.Open(outcome.Unit{Service: serviceName(0), Slot: 0}, time.Time{})
			}
			b.ReportMetric(float64(heapGrowth)/float64(units), "heap-bytes/unit")
		})
	}
}
