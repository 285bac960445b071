package bench_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

const (
	rings = 4
	// handOverRings are those on which package control passes hand-overs on.
	handOverRings = 2
)

// neighbours returns for each member whom it passes news to, by the rule of
// package control.
func (s size) neighbours(rings int) [][]int {
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
		for _, rings := range []int{rings, handOverRings} {
			graph := s.neighbours(rings)
			for _, lost := range []float64{0, 0.03, 0.05, 0.1} {
				b.Run(fmt.Sprintf("members=%d/rings=%d/lost=%g", members, rings, lost), func(b *testing.B) {
					benchmarkSpread(b, graph, lost)
				})
			}
		}
	}
}

func benchmarkSpread(b *testing.B, graph [][]int, lost float64) {
	b.Helper()
	random := rand.New(rand.NewPCG(1, uint64(len(graph))))
	var rounds, worst, messages, missed int
	for range b.N {
		r, m, left := spread(graph, lost, random)
		rounds, worst, messages, missed = rounds+r, max(worst, r), messages+m, missed+left
	}
	n := float64(b.N)
	b.ReportMetric(float64(rounds)/n, "rounds")
	b.ReportMetric(float64(worst), "rounds-worst")
	b.ReportMetric(float64(messages)/n/float64(len(graph)), "messages/member")
	b.ReportMetric(float64(missed)/n, "missed")
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

// BenchmarkGather plays the hand-overs of 86 s, in which one member is replaced,
// with 35 ms from one daemon to the next, and reports what each daemon sends and
// how long a row is on its way.
func BenchmarkGather(b *testing.B) {
	s := size{3500, routes.SlotsPerRow}
	for _, rings := range []int{rings, handOverRings} {
		graph := s.neighbours(rings)
		for _, gather := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
			b.Run(fmt.Sprintf("rings=%d/gather=%v", rings, gather), func(b *testing.B) {
				for range b.N {
					g := newGatherer(graph, gather)
					g.run()
					g.report(b)
				}
			})
		}
	}
}

const (
	oneWay  = 35 * time.Millisecond
	replace = 86 * time.Second
)

// gatherer is the spreading of many rows, each from a daemon of its own.
type gatherer struct {
	graph  [][]int
	gather time.Duration
	queue  [][]arrival // by millisecond
	known  []map[int]time.Duration
	wait   [][]int
	sent   []time.Duration
	frames int
	rows   int
	began  []time.Duration
}

// arrival is a frame that reaches a daemon, or the end of its waiting time.
type arrival struct {
	at   time.Duration
	to   int
	rows []int
}

func newGatherer(graph [][]int, gather time.Duration) *gatherer {
	g := &gatherer{graph: graph, gather: gather, wait: make([][]int, len(graph)), sent: make([]time.Duration, len(graph))}
	random := rand.New(rand.NewPCG(1, 9))
	begin := func(from int, at time.Duration) {
		g.push(arrival{at: at, to: from, rows: []int{len(g.began)}})
		g.began = append(g.began, at)
	}
	leaver := random.IntN(len(graph))
	for i := range 56 {
		begin(leaver, 10*time.Second+time.Duration(i)*20*time.Millisecond)
	}
	for range 81 {
		begin(random.IntN(len(graph)), 15*time.Second+time.Duration(random.Int64N(int64(time.Second))))
	}
	for at := time.Second; at < replace; at += time.Duration(random.ExpFloat64() / 1.87 * float64(time.Second)) {
		begin(random.IntN(len(graph)), at)
	}
	for range graph {
		g.known = append(g.known, make(map[int]time.Duration))
	}
	for i := range g.sent {
		g.sent[i] = -time.Hour
	}
	return g
}

func (g *gatherer) push(a arrival) {
	at := int(a.at.Milliseconds())
	for len(g.queue) <= at {
		g.queue = append(g.queue, nil)
	}
	g.queue[at] = append(g.queue[at], a)
}

func (g *gatherer) run() {
	for at := 0; at < len(g.queue); at++ {
		for _, a := range g.queue[at] {
			for _, row := range a.rows {
				if _, known := g.known[a.to][row]; !known {
					g.known[a.to][row] = a.at
					g.wait[a.to] = append(g.wait[a.to], row)
				}
			}
			g.pass(a)
		}
		g.queue[at] = nil
	}
}

// pass sends what waits, if it need not wait longer.
func (g *gatherer) pass(a arrival) {
	switch waited := a.at - g.sent[a.to]; {
	case len(g.wait[a.to]) == 0:
	case waited >= g.gather:
		for _, to := range g.graph[a.to] {
			g.frames, g.rows = g.frames+1, g.rows+len(g.wait[a.to])
			g.push(arrival{at: a.at + oneWay, to: to, rows: g.wait[a.to]})
		}
		g.wait[a.to], g.sent[a.to] = nil, a.at
	case len(a.rows) > 0:
		tick := control.TickInterval
		g.push(arrival{at: (g.sent[a.to] + g.gather + tick - 1) / tick * tick, to: a.to})
	}
}

func (g *gatherer) report(b *testing.B) {
	b.Helper()
	var took []time.Duration
	for _, known := range g.known {
		for row, at := range known {
			took = append(took, at-g.began[row])
		}
	}
	slices.Sort(took)
	daemons, seconds := float64(len(g.graph)), replace.Seconds()
	b.ReportMetric(float64(g.frames)/daemons/seconds, "frames/s")
	b.ReportMetric(float64(g.rows)/daemons/seconds, "rows/s")
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "most-ms")
	b.ReportMetric(g.differing(), "differing")
}

// differing returns how many rows differ on average between two daemons that
// compare theirs.
func (g *gatherer) differing() float64 {
	var sum time.Duration
	for at := range g.graph {
		other := (at + len(g.graph)/2) % len(g.graph)
		for row, t := range g.known[at] {
			sum += (t - g.known[other][row]).Abs()
		}
	}
	return float64(sum) / float64(len(g.graph)) / float64(replace)
}

// TestNeighbours shows that the graph above is the one of package control.
func TestNeighbours(t *testing.T) {
	s := size{200, routes.SlotsPerRow}
	graph := s.neighbours(rings)
	for _, self := range []int{0, 57, 199} {
		for _, handOver := range []bool{false, true} {
			d := s.join(t, self)
			m := s.member((self + 1) % s.members)
			m.ReleasedSlots = []wire.ReleasedSlots{{FirstSlot: 32, Revision: 41}}
			want := graph[self][:handOverRings]
			if !handOver {
				m.Witnesses, want = m.Witnesses[:2], graph[self]
			}
			var got []int
			for _, e := range d.core.Step(d.now, control.RowsArrived{Rows: []wire.Row{memberRow(t, m, 5000)}}) {
				if spread, ok := e.(control.SendRows); ok {
					for _, to := range spread.To {
						got = append(got, s.index(to))
					}
				}
			}
			if !slices.Equal(got, want) {
				t.Errorf("member %d, hand-over %t: %v, want %v", self, handOver, got, want)
			}
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
		m.ReleasedSlots = append(m.ReleasedSlots, wire.ReleasedSlots{FirstSlot: i * 32, Revision: 40})
	}
	given := memberRow(b, m, 123456789)
	m.State = wire.StateClosed
	for i := range 32 {
		m.Heirs = append(m.Heirs, generation(i))
	}
	closed := memberRow(b, m, 123456789)
	move, hot, current := s.moveNews(b), s.hotNews(b), configNews(b)
	rows := func(r ...wire.Row) *wire.Rows { return &wire.Rows{From: generation(0), Rows: r} }
	buckets := make([]uint64, routes.GroupCount)
	for i := range buckets {
		buckets[i] = routes.Mix(uint64(i), 1)
	}
	for name, body := range map[string]interface {
		MarshalMsg([]byte) ([]byte, error)
	}{
		"slots": rows(slots), "member": rows(plain), "member-given": rows(given), "member-closed": rows(closed),
		"move": rows(slots, given), "ack": &wire.Ack{OK: true},
		"summary": &wire.Summary{From: generation(0), Groups: buckets, ConfigNumber: 8800},
		"same":    &wire.Digests{From: generation(0)},
		"group":   &wire.Digests{From: generation(0), Groups: []uint32{1}, Buckets: buckets},
		"bucket": &wire.Versions{From: generation(0), Buckets: []uint32{99}, Have: []wire.Version{
			{Key: slots.Key, Version: 123456789}, {Key: plain.Key, Version: 123456789}, {Key: given.Key, Version: 123456789},
		}},
		"move-delta": &move, "hot-delta": &hot, "config-delta": &current, "wanted": &wire.ResendRequest{},
		"vote": &wire.Vote{From: generation(0), Holder: generation(1)},
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

// news returns what a peer that has the rows before is sent of those after.
func news(tb testing.TB, before, after []wire.Row) wire.Rows {
	tb.Helper()
	v := routes.NewView()
	have := make([]wire.Version, 0, len(before))
	for _, row := range before {
		put(tb, v, row)
		have = append(have, wire.Version{Key: row.Key, Version: row.Version})
	}
	for _, row := range after {
		put(tb, v, row)
	}
	out := wire.Rows{From: generation(0)}
	out.Rows, out.Deltas = v.UpdatesSince(have)
	return out
}

const nextChange = "0198f0a4-77c2-7c1d-8e05-92ab3c4d5e6f"

// moveNews is one slot given to another, with the giver's row.
func (s size) moveNews(tb testing.TB) wire.Rows {
	tb.Helper()
	return s.changed(tb, func(row *wire.Slots) {
		row.Slots[17] = wire.Slot{Owner: generation(70), Epoch: 301, TransferID: routes.Mix(1, 5), AssignedAt: wire.UnixTimeOf(start) + 9999}
	})
}

// hotNews is one key set apart, with the giver's row.
func (s size) hotNews(tb testing.TB) wire.Rows {
	tb.Helper()
	return s.changed(tb, func(row *wire.Slots) {
		row.HotKeys = append(row.HotKeys, wire.HotKey{Key: "visit-12345678", Slot: wire.Slot{
			Owner: generation(70), Epoch: 301, TransferID: routes.Mix(1, 5), AssignedAt: wire.UnixTimeOf(start) + 9999,
		}})
	})
}

func (s size) changed(tb testing.TB, alter func(row *wire.Slots)) wire.Rows {
	tb.Helper()
	m := s.member(0)
	for i := range uint32(64) {
		m.ReleasedSlots = append(m.ReleasedSlots, wire.ReleasedSlots{FirstSlot: i * 32, Revision: 40})
	}
	before := []wire.Row{s.slotsRow(tb, 0, 0, 0, 123456789), memberRow(tb, m, 123456788)}
	m.ReleasedSlots[0].Revision, m.Change, m.Reason = 41, nextChange, "balance"
	var row wire.Slots
	if err := wire.Decode(before[0].Value, &row); err != nil {
		tb.Fatal(err)
	}
	row.Revision, row.Change = 41, nextChange
	alter(&row)
	after := []wire.Row{{Key: before[0].Key, Version: 123456999, Value: encode(tb, &row)}, memberRow(tb, m, 123456999)}
	return news(tb, before, after)
}

// configNews is a configuration with one section changed.
func configNews(tb testing.TB) wire.Rows {
	tb.Helper()
	digest := func(i uint64) string {
		return fmt.Sprintf("%016x%016x%016x%016x", routes.Mix(i, 1), routes.Mix(i, 2), routes.Mix(i, 3), routes.Mix(i, 4))
	}
	c := wire.CurrentConfig{Number: 8800, Digest: digest(0), Author: "someone@example.org", At: start, Change: digest(1)[:36]}
	for i := range uint64(36) {
		c.SectionDigests = append(c.SectionDigests, digest(100+i))
	}
	for i := range uint64(64) {
		c.RecentChanges = append(c.RecentChanges, wire.AcceptedChange{Number: 8800 - i, Change: digest(200 + i)[:36]})
	}
	before := wire.Row{Key: routes.ConfigKey, Version: 123456789, Value: encode(tb, &c)}
	c.Number, c.Digest, c.Change, c.SectionDigests[7] = 8801, digest(2), nextChange, digest(3)
	c.RecentChanges = append([]wire.AcceptedChange{{Number: 8801, Change: nextChange}}, c.RecentChanges[:63]...)
	after := wire.Row{Key: routes.ConfigKey, Version: 123456999, Value: encode(tb, &c)}
	return news(tb, []wire.Row{before}, []wire.Row{after})
}
