package bench_test

import (
	"fmt"
	"testing"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// churn is a service whose members are repeatedly replaced by new ones.
type churn struct {
	tb          testing.TB
	view        *routes.View
	slotCount   uint32
	lastVersion uint64
	members     []wire.Generation
	nextMember  int
}

func newChurn(tb testing.TB, members int, slotCount uint32) *churn {
	tb.Helper()
	c := &churn{tb: tb, view: routes.NewView(), slotCount: slotCount}
	for range members {
		c.join()
	}
	for first := uint32(0); first < slotCount; first += routes.SlotsPerRow {
		row := wire.Slots{Service: serviceName(0), TotalSlots: slotCount, FirstSlot: first}
		for i := range uint32(routes.SlotsPerRow) {
			owner := c.members[int(first+i)*members/int(slotCount)]
			row.Slots = append(row.Slots, wire.Slot{Owner: owner, Epoch: 1})
		}
		c.putRow(routes.SlotsKey(row.Service, first), encode(tb, &row))
	}
	return c
}

func (c *churn) putRow(key string, value []byte) {
	c.lastVersion++
	putRow(c.tb, c.view, wire.Row{Key: key, Version: c.lastVersion, Value: value})
}

func (c *churn) join() {
	m := deploymentSize{3500, 32}.member(c.nextMember)
	m.Service = serviceName(0)
	c.nextMember++
	c.members = append(c.members, m.Generation)
	c.putRow(routes.MemberKey(m.Generation), encode(c.tb, &m))
}

// leave removes the oldest member, which no longer owns any slots.
func (c *churn) leave() {
	m := c.view.Member(c.members[0]).Member
	m.State = wire.StateClosed
	c.putRow(routes.MemberKey(m.Generation), encode(c.tb, &m))
	c.members = c.members[1:]
}

// balance makes all planned moves and returns their number and the number of
// transactions; each owner needs one transaction per row.
func (c *churn) balance(eligible func(*routes.Owner) bool) (moves, transactions int) {
	snapshot := c.view.Snapshot()
	changedRows := make(map[uint32]wire.Slots)
	for _, owner := range c.members {
		ownerRows := make(map[uint32]bool)
		for _, move := range handover.Plan(snapshot, serviceName(0), eligible, owner) {
			first := move.Slot - move.Slot%routes.SlotsPerRow
			row, ok := changedRows[first]
			if !ok {
				row = c.view.SlotsRow(serviceName(0), first).Slots
			}
			row.Slots[move.Slot-first] = wire.Slot{Owner: move.To, Epoch: row.Slots[move.Slot-first].Epoch + 1}
			changedRows[first] = row
			ownerRows[first] = true
			moves++
		}
		transactions += len(ownerRows)
	}
	for first, row := range changedRows {
		c.putRow(routes.SlotsKey(row.Service, first), encode(c.tb, &row))
	}
	return moves, transactions
}

// BenchmarkChurn reports the average number of moves and transactions of one planned
// leave and of one join, after every member has been replaced once.
func BenchmarkChurn(b *testing.B) {
	const members = 100
	anyOwner := func(*routes.Owner) bool { return true }
	for _, slots := range []uint32{1024, 2048, 8192} {
		b.Run(fmt.Sprintf("members=%d/slots=%d", members, slots), func(b *testing.B) {
			var leaveCost, joinCost [2]int
			for range b.N {
				c := newChurn(b, members, slots)
				leaveCost, joinCost = [2]int{}, [2]int{}
				for i := range 2 * members {
					oldest := c.members[0]
					leaveMoves, leaveTransactions := c.balance(func(o *routes.Owner) bool { return o.Generation != oldest })
					c.leave()
					c.join()
					joinMoves, joinTransactions := c.balance(anyOwner)
					if i >= members {
						leaveCost[0], leaveCost[1], joinCost[0], joinCost[1] = leaveCost[0]+leaveMoves, leaveCost[1]+leaveTransactions, joinCost[0]+joinMoves, joinCost[1]+joinTransactions
					}
				}
			}
			b.ReportMetric(float64(leaveCost[0])/members, "moves/leave")
			b.ReportMetric(float64(leaveCost[1])/members, "transactions/leave")
			b.ReportMetric(float64(joinCost[0])/members, "moves/join")
			b.ReportMetric(float64(joinCost[1])/members, "transactions/join")
		})
	}
}
