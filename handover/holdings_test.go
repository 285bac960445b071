package handover_test

import (
	"slices"
	"testing"
	"time"

	"fulmarrun/handover"
	"fulmarrun/outcome"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

const (
	owner1 wire.Generation = 1
	owner2 wire.Generation = 2
)

// snapshotOf returns the routes of a service with one row of slots.
func snapshotOf(t *testing.T, version uint64, row wire.Slots) *routes.Snapshot {
	t.Helper()
	v := routes.NewView()
	put := func(key string, m wire.Message) {
		value, err := wire.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := v.Put(wire.Row{Key: key, Version: version, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	for _, g := range []wire.Generation{owner1, owner2} {
		put(routes.MemberKey(g), &wire.Member{Instance: g.String(), Generation: g, Service: "s"})
	}
	row.Service, row.TotalSlots = "s", uint32(len(row.Slots))
	put(routes.SlotsKey("s", 0), &row)
	return v.Snapshot()
}

func TestHoldings(t *testing.T) {
	slot := outcome.Unit{Service: "s"}
	hot := outcome.Unit{Service: "s", HotKey: "k"}
	held := wire.Slot{Owner: owner1, Epoch: 3, TransferID: 7}
	cases := []struct {
		name   string
		row    wire.Slots
		gained []outcome.Unit
		lost   []outcome.Unit
	}{
		{"nothing changed", wire.Slots{Slots: []wire.Slot{held}}, nil, nil},
		{"moved away", wire.Slots{Slots: []wire.Slot{{Owner: owner2, Epoch: 4}}}, nil, []outcome.Unit{slot}},
		{"lost and regained without a handover", wire.Slots{Slots: []wire.Slot{{Owner: owner1, Epoch: 5}}}, []outcome.Unit{slot}, nil},
		{"a hot key was merged back", wire.Slots{Slots: []wire.Slot{{Owner: owner1, Epoch: 5, TransferID: 8}}}, []outcome.Unit{slot}, nil},
		{"a hot key was gained", wire.Slots{
			Slots: []wire.Slot{held}, HotKeys: []wire.HotKey{{Key: "k", Slot: wire.Slot{Owner: owner1, Epoch: 4}}},
		}, []outcome.Unit{hot}, nil},
		{"a hot key was assigned to another owner", wire.Slots{
			Slots: []wire.Slot{held}, HotKeys: []wire.HotKey{{Key: "k", Slot: wire.Slot{Owner: owner2, Epoch: 4}}},
		}, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := make(handover.Holdings)
			h.Update(snapshotOf(t, 1, wire.Slots{Slots: []wire.Slot{held}}), "s", owner1)
			gains, lost := h.Update(snapshotOf(t, 2, c.row), "s", owner1)
			var gained []outcome.Unit
			for _, g := range gains {
				gained = append(gained, g.Unit)
			}
			if !slices.Equal(gained, c.gained) || !slices.Equal(lost, c.lost) {
				t.Errorf("gained %v, lost %v; want %v, %v", gained, lost, c.gained, c.lost)
			}
		})
	}
}

func TestStaging(t *testing.T) {
	unit := outcome.Unit{Service: "s", Slot: 3}
	start := time.Unix(1000, 0)
	part := func(transfer uint64, ids ...string) *wire.RecordHandover {
		m := &wire.RecordHandover{Service: "s", Slot: 3, TransferID: transfer}
		for _, id := range ids {
			m.Records = append(m.Records, wire.Record{ID: id})
		}
		return m
	}
	s := handover.NewStaging()
	s.Add(start, part(7, "a"))
	s.Add(start, part(7, "b", "c"))
	s.Add(start, part(0, "d"))
	if _, ok := s.Take(unit, 8); ok {
		t.Error("records of another handover were taken")
	}
	if _, ok := s.Take(unit, 0); ok {
		t.Error("records were taken without a handover")
	}
	if m, ok := s.Take(unit, 7); !ok || len(m.Records) != 3 {
		t.Errorf("got %v, %t; want three records", m.Records, ok)
	}
	if _, ok := s.Take(unit, 7); ok {
		t.Error("records were taken twice")
	}
	s.Add(start, part(9, "e"))
	s.Add(start.Add(2*time.Minute), part(10, "f"))
	if _, ok := s.Take(unit, 9); ok {
		t.Error("records of an aborted handover were kept for too long")
	}
}
