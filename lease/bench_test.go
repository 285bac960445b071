package lease_test

import (
	"testing"
	"time"

	"fulmarrun/lease"
	"fulmarrun/wire"
)

func BenchmarkHolder(b *testing.B) {
	h := lease.NewHolder(1)
	h.SetWitnesses([]wire.Generation{2, 3, 4})
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(lease.DefaultBeat)
		for _, hb := range h.Beat(now) {
			h.Renew(now, wire.Heartbeat{Answer: true, From: hb.To, To: hb.From, Seq: hb.Seq})
		}
		if !h.Valid(now) {
			b.Fatal("not valid")
		}
	}
}

func BenchmarkWitness(b *testing.B) {
	const holders = 300
	w := lease.NewWitness(1)
	for g := range wire.Generation(holders) {
		w.Watch(g+2, start)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		hb := wire.Heartbeat{From: wire.Generation(i%holders) + 2, To: 1, Seq: 2}
		if _, ok := w.Answer(now, hb, true); !ok {
			b.Fatal("no answer")
		}
	}
}

func BenchmarkOverdue(b *testing.B) {
	const holders = 300
	w := lease.NewWitness(1)
	for g := range wire.Generation(holders) {
		w.Watch(g+2, start)
	}
	w.Overdue(start.Add(lease.DefaultTTL))
	b.ReportAllocs()
	for b.Loop() {
		w.Tick(start)
		w.Overdue(start.Add(lease.DefaultTTL / 4))
	}
}
