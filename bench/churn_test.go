package bench_test

import (
	"fmt"
	"testing"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// churn is one service whose members are replaced again and again.
type churn struct {
	tb      testing.TB
	view    *routes.View
	slots   uint32
	version uint64
	members []wire.Generation
	next    int
}

func newChurn(tb testing.TB, members int, slots uint32) *churn {
	tb.Helper()
	c := &churn{tb: tb, view: routes.NewView(), slots: slots}
	for range members {
		c.join()
	}
	for first := uint32(0); first < slots; first += routes.SlotsPerRow {
		row := wire.Slots{Service: serviceName(0), TotalSlots: slots, FirstSlot: first}
		for i := range uint32(routes.SlotsPerRow) {
			owner := c.members[int(first+i)*members/int(slots)]
			row.Slots = append(row.Slots, wire.Slot{Owner: owner, Epoch: 1})
		}
		c.put(routes.SlotsKey(row.Service, first), encode(tb, &row))
	}
	return c
}

func (c *churn) put(key string, value []byte) {
	c.version++
	put(c.tb, c.view, wire.Row{Key: key, Version: c.version, Value: value})
}

func (c *churn) join() {
	m := size{3500, 32}.member(c.next)
	m.Service = serviceName(0)
	c.next++
	c.members = append(c.members, m.Generation)
	c.put(routes.MemberKey(m.Generation), encode(c.tb, &m))
}

// leave removes the oldest member, which owns nothing any more.
func (c *churn) leave() {
	m := c.view.Member(c.members[0]).Member
	m.State = wire.StateClosed
	c.put(routes.MemberKey(m.Generation), encode(c.tb, &m))
	c.members = c.members[1:]
}

// balance makes all moves of the plan and returns their number and that of the
// transactions, one for each owner and row.
func (c *churn) balance(eligible func(*routes.Owner) bool) (moves, transactions int) {
	snapshot := c.view.Snapshot()
	rows := make(map[uint32]wire.Slots)
	for _, self := range c.members {
		touched := make(map[uint32]bool)
		for _, m := range handover.Plan(snapshot, serviceName(0), eligible, self) {
			first := m.Slot - m.Slot%routes.SlotsPerRow
			row, ok := rows[first]
			if !ok {
				row = c.view.SlotsRow(serviceName(0), first).Slots
			}
			row.Slots[m.Slot-first] = wire.Slot{Owner: m.To, Epoch: row.Slots[m.Slot-first].Epoch + 1}
			rows[first] = row
			touched[first] = true
			moves++
		}
		transactions += len(touched)
	}
	for first, row := range rows {
		c.put(routes.SlotsKey(row.Service, first), encode(c.tb, &row))
	}
	return moves, transactions
}

// BenchmarkChurn reports the moves and the transactions of one planned leave and
// of one join, once every member has been replaced.
func BenchmarkChurn(b *testing.B) {
	const members = 100
	all := func(*routes.Owner) bool { return true }
	for _, slots := range []uint32{1024, 2048, 8192} {
		b.Run(fmt.Sprintf("members=%d/slots=%d", members, slots), func(b *testing.B) {
			var left, joined [2]int
			for range b.N {
				c := newChurn(b, members, slots)
				left, joined = [2]int{}, [2]int{}
				for i := range 2 * members {
					oldest := c.members[0]
					lm, lt := c.balance(func(o *routes.Owner) bool { return o.Generation != oldest })
					c.leave()
					c.join()
					jm, jt := c.balance(all)
					if i >= members {
						left[0], left[1], joined[0], joined[1] = left[0]+lm, left[1]+lt, joined[0]+jm, joined[1]+jt
					}
				}
			}
			b.ReportMetric(float64(left[0])/members, "moves/leave")
			b.ReportMetric(float64(left[1])/members, "transactions/leave")
			b.ReportMetric(float64(joined[0])/members, "moves/join")
			b.ReportMetric(float64(joined[1])/members, "transactions/join")
		})
	}
}
