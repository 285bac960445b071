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
	ringCount = 4
	// handOverRingCount is the number of rings on which package control forwards rows
	// of hand-overs.
	handOverRingCount = 2
)

// neighbours returns for each member the members to which it forwards updates, by the
// same rule as package control.
func (s deploymentSize) neighbours(ringCount int) [][]int {
	receivers := make([][]int, s.members)
	for ring := range uint64(ringCount) {
		order := make([]int, s.members)
		for i := range order {
			order[i] = i
		}
		slices.SortFunc(order, func(a, b int) int {
			return cmp.Compare(routes.Mix(ring, uint64(generation(a))), routes.Mix(ring, uint64(generation(b))))
		})
		for position, i := range order {
			for step := 1; step < len(order); step++ {
				next := order[(position+step)%len(order)]
				if !slices.Contains(receivers[i], next) {
					receivers[i] = append(receivers[i], next)
					break
				}
			}
		}
	}
	return receivers
}

// BenchmarkSpread reports the rounds and messages until a row has reached all live
// members that the rings connect, while some members are lost and not yet known to be
// lost.
func BenchmarkSpread(b *testing.B) {
	for _, members := range []int{100, 1000, 3500} {
		s := deploymentSize{members, routes.SlotsPerRow}
		for _, ringCount := range []int{ringCount, handOverRingCount} {
			graph := s.neighbours(ringCount)
			for _, lossRate := range []float64{0, 0.03, 0.05, 0.1} {
				b.Run(fmt.Sprintf("members=%d/rings=%d/lost=%g", members, ringCount, lossRate), func(b *testing.B) {
					benchmarkSpread(b, graph, lossRate)
				})
			}
		}
	}
}

func benchmarkSpread(b *testing.B, graph [][]int, lossRate float64) {
	b.Helper()
	random := rand.New(rand.NewPCG(1, uint64(len(graph))))
	var rounds, worstRounds, messages, missedMembers int
	for range b.N {
		r, m, missed := simulateSpread(graph, lossRate, random)
		rounds, worstRounds, messages, missedMembers = rounds+r, max(worstRounds, r), messages+m, missedMembers+missed
	}
	n := float64(b.N)
	b.ReportMetric(float64(rounds)/n, "rounds")
	b.ReportMetric(float64(worstRounds), "rounds-worst")
	b.ReportMetric(float64(messages)/n/float64(len(graph)), "messages/member")
	b.ReportMetric(float64(missedMembers)/n, "missed")
}

func simulateSpread(graph [][]int, lossRate float64, random *rand.Rand) (rounds, messages, missedMembers int) {
	dead, received := make([]bool, len(graph)), make([]bool, len(graph))
	for i := range dead {
		dead[i] = random.Float64() < lossRate
	}
	origin := random.IntN(len(graph))
	dead[origin], received[origin] = false, true
	type delivery struct{ to, from int }
	for arriving := []delivery{{origin, -1}}; len(arriving) > 0; rounds++ {
		var next []delivery
		for _, n := range arriving {
			for _, to := range graph[n.to] {
				if to == n.from {
					continue
				}
				messages++
				if !dead[to] && !received[to] {
					received[to] = true
					next = append(next, delivery{to, n.to})
				}
			}
		}
		arriving = next
	}
	for i := range received {
		if !received[i] && !dead[i] {
			missedMembers++
		}
	}
	return rounds - 1, messages, missedMembers
}

// BenchmarkGather simulates the hand-overs of 86 s, in which one member is replaced,
// with a delay of 35 ms between any two daemons. It reports what each daemon sends and
// how long a row takes to arrive.
func BenchmarkGather(b *testing.B) {
	s := deploymentSize{3500, routes.SlotsPerRow}
	for _, ringCount := range []int{ringCount, handOverRingCount} {
		graph := s.neighbours(ringCount)
		for _, gather := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
			b.Run(fmt.Sprintf("rings=%d/gather=%v", ringCount, gather), func(b *testing.B) {
				for range b.N {
					spread := newBatchedSpread(graph, gather)
					spread.run()
					spread.report(b)
				}
			})
		}
	}
}

const (
	networkDelay  = 35 * time.Millisecond
	simulatedTime = 86 * time.Second
)

// batchedSpread simulates many rows that spread at the same time, each from the daemon
// that wrote it. A daemon forwards the rows that it has collected at most once per
// batchInterval.
type batchedSpread struct {
	graph         [][]int
	batchInterval time.Duration
	arrivals      [][]arrival // index: time in milliseconds
	receivedAt    []map[int]time.Duration
	waiting       [][]int
	lastSent      []time.Duration
	framesSent    int
	rowsSent      int
	startedAt     []time.Duration
}

// arrival is an event at daemon number to: a frame with rows arrives, or, if there are
// no rows, the batch interval of the daemon ends.
type arrival struct {
	at   time.Duration
	to   int
	rows []int
}

func newBatchedSpread(graph [][]int, batchInterval time.Duration) *batchedSpread {
	g := &batchedSpread{graph: graph, batchInterval: batchInterval, waiting: make([][]int, len(graph)), lastSent: make([]time.Duration, len(graph))}
	random := rand.New(rand.NewPCG(1, 9))
	startRow := func(from int, at time.Duration) {
		g.schedule(arrival{at: at, to: from, rows: []int{len(g.startedAt)}})
		g.startedAt = append(g.startedAt, at)
	}
	leavingMember := random.IntN(len(graph))
	for i := range 56 {
		startRow(leavingMember, 10*time.Second+time.Duration(i)*20*time.Millisecond)
	}
	for range 81 {
		startRow(random.IntN(len(graph)), 15*time.Second+time.Duration(random.Int64N(int64(time.Second))))
	}
	for at := time.Second; at < simulatedTime; at += time.Duration(random.ExpFloat64() / 1.87 * float64(time.Second)) {
		startRow(random.IntN(len(graph)), at)
	}
	for range graph {
		g.receivedAt = append(g.receivedAt, make(map[int]time.Duration))
	}
	for i := range g.lastSent {
		g.lastSent[i] = -time.Hour
	}
	return g
}

func (g *batchedSpread) schedule(a arrival) {
	at := int(a.at.Milliseconds())
	for len(g.arrivals) <= at {
		g.arrivals = append(g.arrivals, nil)
	}
	g.arrivals[at] = append(g.arrivals[at], a)
}

func (g *batchedSpread) run() {
	for at := 0; at < len(g.arrivals); at++ {
		for _, a := range g.arrivals[at] {
			for _, row := range a.rows {
				if _, received := g.receivedAt[a.to][row]; !received {
					g.receivedAt[a.to][row] = a.at
					g.waiting[a.to] = append(g.waiting[a.to], row)
				}
			}
			g.forward(a)
		}
		g.arrivals[at] = nil
	}
}

// forward sends the waiting rows of a daemon once its batch interval has elapsed.
func (g *batchedSpread) forward(a arrival) {
	switch elapsed := a.at - g.lastSent[a.to]; {
	case len(g.waiting[a.to]) == 0:
	case elapsed >= g.batchInterval:
		for _, to := range g.graph[a.to] {
			g.framesSent, g.rowsSent = g.framesSent+1, g.rowsSent+len(g.waiting[a.to])
			g.schedule(arrival{at: a.at + networkDelay, to: to, rows: g.waiting[a.to]})
		}
		g.waiting[a.to], g.lastSent[a.to] = nil, a.at
	case len(a.rows) > 0:
		tick := control.TickInterval
		g.schedule(arrival{at: (g.lastSent[a.to] + g.batchInterval + tick - 1) / tick * tick, to: a.to})
	}
}

func (g *batchedSpread) report(b *testing.B) {
	b.Helper()
	var delays []time.Duration
	for _, receivedAt := range g.receivedAt {
		for row, at := range receivedAt {
			delays = append(delays, at-g.startedAt[row])
		}
	}
	slices.Sort(delays)
	daemons, seconds := float64(len(g.graph)), simulatedTime.Seconds()
	b.ReportMetric(float64(g.framesSent)/daemons/seconds, "frames/s")
	b.ReportMetric(float64(g.rowsSent)/daemons/seconds, "rows/s")
	b.ReportMetric(float64(delays[len(delays)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(delays[len(delays)-1].Milliseconds()), "most-ms")
	b.ReportMetric(g.meanDifferingRows(), "differing")
}

// meanDifferingRows returns how many rows differ on average between two daemons that
// compare their rows.
func (g *batchedSpread) meanDifferingRows() float64 {
	var sum time.Duration
	for member := range g.graph {
		other := (member + len(g.graph)/2) % len(g.graph)
		for row, t := range g.receivedAt[member] {
			sum += (t - g.receivedAt[other][row]).Abs()
		}
	}
	return float64(sum) / float64(len(g.graph)) / float64(simulatedTime)
}

// TestNeighboursMatchControl checks that neighbours returns the same graph as package
// control uses.
func TestNeighboursMatchControl(t *testing.T) {
	s := deploymentSize{200, routes.SlotsPerRow}
	graph := s.neighbours(ringCount)
	for _, self := range []int{0, 57, 199} {
		for _, handOver := range []bool{false, true} {
			d := s.startDaemon(t, self)
			m := s.member((self + 1) % s.members)
			m.ReleasedSlots = []wire.ReleasedSlots{{FirstSlot: 32, Revision: 41}}
			want := graph[self][:handOverRingCount]
			if !handOver {
				m.Witnesses, want = m.Witnesses[:2], graph[self]
			}
			var got []int
			for _, effect := range d.core.Step(d.now, control.RowsArrived{Rows: []wire.Row{memberRow(t, m, 5000)}}) {
				if send, ok := effect.(control.SendRows); ok {
					for _, to := range send.To {
						got = append(got, s.memberIndex(to))
					}
				}
			}
			if !slices.Equal(got, want) {
				t.Errorf("member %d, hand-over %t: sent to %v, want %v", self, handOver, got, want)
			}
		}
	}
}

// BenchmarkFrame reports the size of the messages between daemons in bytes, without the
// headers of TCP, UDP and IP.
func BenchmarkFrame(b *testing.B) {
	s := deploymentSize{3500, 8192}
	firstSlotsRow := s.slotsRow(b, 0, 0, 0, 123456789)
	m := s.member(0)
	memberWithoutReleases := memberRow(b, m, 123456789)
	for i := range uint32(64) {
		m.ReleasedSlots = append(m.ReleasedSlots, wire.ReleasedSlots{FirstSlot: i * 32, Revision: 40})
	}
	memberWithReleases := memberRow(b, m, 123456789)
	m.State = wire.StateClosed
	for i := range 32 {
		m.Heirs = append(m.Heirs, generation(i))
	}
	closedMember := memberRow(b, m, 123456789)
	moveUpdate, hotKeyUpdate, configUpdate := s.slotMoveUpdate(b), s.newHotKeyUpdate(b), configChangeUpdate(b)
	rows := func(r ...wire.Row) *wire.Rows { return &wire.Rows{From: generation(0), Rows: r} }
	buckets := make([]uint64, routes.GroupCount)
	for i := range buckets {
		buckets[i] = routes.Mix(uint64(i), 1)
	}
	for name, body := range map[string]interface {
		MarshalMsg([]byte) ([]byte, error)
	}{
		"slots": rows(firstSlotsRow), "member": rows(memberWithoutReleases), "member-given": rows(memberWithReleases), "member-closed": rows(closedMember),
		"move": rows(firstSlotsRow, memberWithReleases), "ack": &wire.Ack{OK: true},
		"summary": &wire.Summary{From: generation(0), Groups: buckets, ConfigNumber: wire.ConfigNumber{File: 8800}},
		"same":    &wire.Digests{From: generation(0)},
		"group":   &wire.Digests{From: generation(0), Groups: []uint32{1}, Buckets: buckets},
		"bucket": &wire.Versions{From: generation(0), Buckets: []uint32{99}, Have: []wire.Version{
			{Key: firstSlotsRow.Key, Version: 123456789}, {Key: memberWithoutReleases.Key, Version: 123456789}, {Key: memberWithReleases.Key, Version: 123456789},
		}},
		"move-delta": &moveUpdate, "hot-delta": &hotKeyUpdate, "config-delta": &configUpdate, "wanted": &wire.ResendRequest{},
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

// updates returns the message that brings a peer with the rows before up to the rows
// after.
func updates(tb testing.TB, before, after []wire.Row) wire.Rows {
	tb.Helper()
	view := routes.NewView()
	known := make([]wire.Version, 0, len(before))
	for _, row := range before {
		putRow(tb, view, row)
		known = append(known, wire.Version{Key: row.Key, Version: row.Version})
	}
	for _, row := range after {
		putRow(tb, view, row)
	}
	out := wire.Rows{From: generation(0)}
	out.Rows, out.Deltas = view.UpdatesSince(known)
	return out
}

const nextChangeID = "0198f0a4-77c2-7c1d-8e05-92ab3c4d5e6f"

// slotMoveUpdate is the update for one slot moved to another owner, with the member row
// of the previous owner.
func (s deploymentSize) slotMoveUpdate(tb testing.TB) wire.Rows {
	tb.Helper()
	return s.updatesAfter(tb, func(row *wire.Slots) {
		row.Slots[17] = wire.Slot{Owner: generation(70), Epoch: 301, TransferID: routes.Mix(1, 5), AssignedAt: wire.UnixTimeOf(startTime) + 9999}
	})
}

// newHotKeyUpdate is the update for one new hot key, with the member row of the
// previous owner.
func (s deploymentSize) newHotKeyUpdate(tb testing.TB) wire.Rows {
	tb.Helper()
	return s.updatesAfter(tb, func(row *wire.Slots) {
		row.HotKeys = append(row.HotKeys, wire.HotKey{Key: "visit-12345678", Slot: wire.Slot{
			Owner: generation(70), Epoch: 301, TransferID: routes.Mix(1, 5), AssignedAt: wire.UnixTimeOf(startTime) + 9999,
		}})
	})
}

func (s deploymentSize) updatesAfter(tb testing.TB, modify func(row *wire.Slots)) wire.Rows {
	tb.Helper()
	m := s.member(0)
	for i := range uint32(64) {
		m.ReleasedSlots = append(m.ReleasedSlots, wire.ReleasedSlots{FirstSlot: i * 32, Revision: 40})
	}
	before := []wire.Row{s.slotsRow(tb, 0, 0, 0, 123456789), memberRow(tb, m, 123456788)}
	m.ReleasedSlots[0].Revision, m.Change, m.Reason = 41, nextChangeID, "balance"
	var row wire.Slots
	if err := wire.Decode(before[0].Value, &row); err != nil {
		tb.Fatal(err)
	}
	row.Revision, row.Change = 41, nextChangeID
	modify(&row)
	after := []wire.Row{{Key: before[0].Key, Version: 123456999, Value: encode(tb, &row)}, memberRow(tb, m, 123456999)}
	return updates(tb, before, after)
}

// configChangeUpdate is the update for a configuration with one changed section.
func configChangeUpdate(tb testing.TB) wire.Rows {
	tb.Helper()
	digest := func(i uint64) string {
		return fmt.Sprintf("%016x%016x%016x%016x", routes.Mix(i, 1), routes.Mix(i, 2), routes.Mix(i, 3), routes.Mix(i, 4))
	}
	c := wire.CurrentConfig{Number: 8800, Digest: digest(0), Author: "someone@example.org", At: startTime, Change: digest(1)[:36]}
	for i := range uint64(36) {
		c.SectionDigests = append(c.SectionDigests, digest(100+i))
	}
	for i := range uint64(64) {
		c.RecentChanges = append(c.RecentChanges, wire.AcceptedChange{Number: 8800 - i, Change: digest(200 + i)[:36]})
	}
	before := wire.Row{Key: routes.ConfigKey, Version: 123456789, Value: encode(tb, &c)}
	c.Number, c.Digest, c.Change, c.SectionDigests[7] = 8801, digest(2), nextChangeID, digest(3)
	c.RecentChanges = append([]wire.AcceptedChange{{Number: 8801, Change: nextChangeID}}, c.RecentChanges[:63]...)
	after := wire.Row{Key: routes.ConfigKey, Version: 123456999, Value: encode(tb, &c)}
	return updates(tb, []wire.Row{before}, []wire.Row{after})
}
