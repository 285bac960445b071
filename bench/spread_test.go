package bench_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"fulmarrun/control"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

const rings = 4

// neighbours returns for each member whom it passes news to, by the rule of
// package control.
func (s size) neighbours() [][]int {
	out := make([][]int, s.members)
	for ring := range uint64(rings) {
		order := make([]int, s.members)
		for i := range order {
			order[i] = i
		}
		slices.SortFunc(order, func(a, b int) int {
			return cmp.Compare(routes.Mix(ring, uint64(generation(a))), routes.Mix(ring, uint64(generation(b))))
		})
		for at, i := range order {
			for step := 1; step < len(order); step++ {
				next := order[(at+step)%len(order)]
				if !slices.Contains(out[i], next) {
					out[i] = append(out[i], next)
					break
				}
			}
		}
	}
	return out
}

// BenchmarkSpread reports the rounds and messages until a row is with all living
// members that the rings reach, with some members lost and not yet known so.
func BenchmarkSpread(b *testing.B) {
	for _, members := range []int{100, 1000, 3500} {
		s := size{members, routes.SlotsPerRow}
		graph := s.neighbours()
		for _, lost := range []float64{0, 0.03, 0.05, 0.1} {
			b.Run(fmt.Sprintf("members=%d/lost=%g", members, lost), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, uint64(members)))
				var rounds, worst, messages, missed int
				for range b.N {
					r, m, left := spread(graph, lost, random)
					rounds, worst, messages, missed = rounds+r, max(worst, r), messages+m, missed+left
				}
				n := float64(b.N)
				b.ReportMetric(float64(rounds)/n, "rounds")
				b.ReportMetric(float64(worst), "rounds-worst")
				b.ReportMetric(float64(messages)/n/float64(members), "messages/member")
				b.ReportMetric(float64(missed)/n, "missed")
			})
		}
	}
}

func spread(graph [][]int, lost float64, random *rand.Rand) (rounds, messages, missed int) {
	dead, has := make([]bool, len(graph)), make([]bool, len(graph))
	for i := range dead {
		dead[i] = random.Float64() < lost
	}
	origin := random.IntN(len(graph))
	dead[origin], has[origin] = false, true
	type news struct{ to, from int }
	for now := []news{{origin, -1}}; len(now) > 0; rounds++ {
		var next []news
		for _, n := range now {
			for _, to := range graph[n.to] {
				if to == n.from {
					continue
				}
				messages++
				if !dead[to] && !has[to] {
					has[to] = true
					next = append(next, news{to, n.to})
				}
			}
		}
		now = next
	}
	for i := range has {
		if !has[i] && !dead[i] {
			missed++
		}
	}
	return rounds - 1, messages, missed
}

// TestNeighbours shows that the graph above is the one of package control.
func TestNeighbours(t *testing.T) {
	s := size{200, routes.SlotsPerRow}
	graph := s.neighbours()
	for _, self := range []int{0, 57, 199} {
		d := s.join(t, self)
		row := memberRow(t, s.member((self+1)%s.members), 5000)
		var got []string
		want := make([]string, 0, len(graph[self]))
		for _, n := range graph[self] {
			want = append(want, s.member(n).Peer.String())
		}
		for _, e := range d.core.Step(d.now, control.RowsArrived{Rows: []wire.Row{row}}) {
			if spread, ok := e.(control.SpreadRows); ok {
				for _, to := range spread.To {
					got = append(got, to.String())
				}
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("member %d: %v, want %v", self, got, want)
		}
	}
}

// BenchmarkFrame reports the bytes of what peers send, without the headers of
// TCP, UDP and IP.
func BenchmarkFrame(b *testing.B) {
	s := size{3500, 8192}
	slots := s.slotsRow(b, 0, 0, 0, 123456789)
	m := s.member(0)
	plain := memberRow(b, m, 123456789)
	for i := range uint32(64) {
		m.Given = append(m.Given, wire.Given{First: i * 32, Number: 40})
	}
	given := memberRow(b, m, 123456789)
	m.State = wire.StateClosed
	for i := range 32 {
		m.Heirs = append(m.Heirs, generation(i))
	}
	closed := memberRow(b, m, 123456789)
	rows := func(r ...wire.Row) *wire.Rows { return &wire.Rows{From: generation(0), Rows: r} }
	buckets := make([]uint64, routes.BucketCount)
	for i := range buckets {
		buckets[i] = routes.Mix(uint64(i), 1)
	}
	for name, body := range map[string]interface {
		MarshalMsg([]byte) ([]byte, error)
	}{
		"slots": rows(slots), "member": rows(plain), "member-given": rows(given), "member-closed": rows(closed),
		"move": rows(slots, given), "ack": &wire.Ack{OK: true},
		"summary": &wire.Summary{From: generation(0), Buckets: buckets, Config: 8800},
		"same":    &wire.Versions{From: generation(0)},
		"vote":    &wire.Vote{From: generation(0), Holder: generation(1)},
	} {
		b.Run(name, func(b *testing.B) {
			var frame []byte
			for b.Loop() {
				var err error
				if frame, err = peer.AppendFrame(frame[:0], peer.KindRows, 1<<20, body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(frame)), "bytes")
		})
	}
	b.Run("heartbeat", func(b *testing.B) {
		hb := wire.Heartbeat{From: generation(0), To: generation(1), Seq: 1 << 20}
		for b.Loop() {
			_ = encode(b, &hb)
		}
		b.ReportMetric(float64(len(encode(b, &hb))), "bytes")
	})
}
