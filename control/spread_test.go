package control_test

import (
	"slices"
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// peerOf is a view that knows a fleet, and makes news of it.
type peerOf struct {
	view    *routes.View
	version uint64
}

func newPeerOf(members int) *peerOf {
	p := &peerOf{view: routes.NewView(), version: 1 << 41}
	for _, row := range fleet(members) {
		_, _ = p.view.Put(row)
	}
	return p
}

// put makes a new version of the row with the given key.
func (p *peerOf) put(key string, row interface {
	MarshalMsg([]byte) ([]byte, error)
},
) wire.Row {
	value, _ := wire.Encode(row)
	p.version++
	out := wire.Row{Key: key, Version: p.version, Value: value}
	_, _ = p.view.Put(out)
	return out
}

// handOver changes the owner of the first slot of a row.
func (p *peerOf) handOver(first uint32, transfer uint64) wire.Row {
	row := p.view.SlotsRow(serviceOf(0), first).Slots
	row.Slots = slices.Clone(row.Slots)
	row.Revision++
	row.Slots[0].Owner, row.Slots[0].TransferID = row.Slots[0].Owner%100+1, transfer
	row.Slots[0].Epoch++
	return p.put(routes.SlotsKey(row.Service, first), &row)
}

// since returns what is newer than the versions of some rows.
func (p *peerOf) since(have ...wire.Version) control.RowsArrived {
	rows, deltas := p.view.UpdatesSince(have)
	return control.RowsArrived{From: 2, Rows: rows, Deltas: deltas}
}

// spreads returns the news among effects.
func spreads(effects []control.Effect) []control.SendRows {
	var out []control.SendRows
	for _, e := range effects {
		if s, ok := e.(control.SendRows); ok {
			out = append(out, s)
		}
	}
	return out
}

// TestSpread takes news in and sees to how many, in which form and when it goes on.
func TestSpread(t *testing.T) {
	for _, tc := range []struct {
		name    string
		news    func(p *peerOf) wire.Row
		to      int
		deltas  int
		waiting bool
	}{
		{"a hand-over", func(p *peerOf) wire.Row { return p.handOver(32, 9) }, 2, 1, true},
		{"an assignment", func(p *peerOf) wire.Row { return p.handOver(32, 0) }, 4, 1, false},
		{"what a member gave", func(p *peerOf) wire.Row {
			m := p.view.Member(50).Member
			m.ReleasedSlots = []wire.ReleasedSlots{{FirstSlot: 32, Revision: 2}}
			return p.put(routes.MemberKey(50), &m)
		}, 2, 1, true},
		{"other witnesses", func(p *peerOf) wire.Row {
			m := p.view.Member(50).Member
			m.Witnesses = []wire.Generation{60, 61, 62}
			return p.put(routes.MemberKey(50), &m)
		}, 4, 0, false},
		{"a loss", func(p *peerOf) wire.Row {
			m := p.view.Member(50).Member
			m.State, m.Heirs = wire.StateClosed, []wire.Generation{60}
			return p.put(routes.MemberKey(50), &m)
		}, 4, 0, false},
	} {
		core, now := joined(100)
		p := newPeerOf(100)
		// News of a moment ago makes the next hand-over wait.
		other := p.handOver(64, 5)
		now = now.Add(time.Second)
		core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{other}})
		before := spreads(core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{tc.news(p)}}))
		if tc.waiting != (len(before) == 0) {
			t.Errorf("%s: sent %v at once", tc.name, before)
		}
		now = now.Add(2 * control.TickInterval)
		got := append(before, spreads(drive(core, now))...)
		if len(got) != 1 || len(got[0].To) != tc.to || len(got[0].Update.Deltas) != tc.deltas ||
			len(got[0].Update.Rows) != 1-tc.deltas {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
}

// TestSpreadTogether sees that hand-overs that wait go in one frame, each row
// from the version that peers have, and that a loss does not wait for them.
func TestSpreadTogether(t *testing.T) {
	core, now := joined(100)
	p := newPeerOf(100)
	now = now.Add(time.Second)
	if got := spreads(core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{p.handOver(0, 1)}})); len(got) != 1 {
		t.Fatalf("the first was not sent at once: %v", got)
	}
	for i := range uint32(6) {
		row := p.handOver(32*(1+i%3), uint64(i+1))
		if got := spreads(core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{row}})); len(got) > 0 {
			t.Errorf("sent at once: %v", got)
		}
	}
	lost := p.view.Member(50).Member
	lost.State, lost.Heirs = wire.StateClosed, []wire.Generation{60}
	row := p.put(routes.MemberKey(50), &lost)
	if got := spreads(core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{row}})); len(got) != 1 || len(got[0].Update.Rows) != 1 {
		t.Errorf("a loss waited: %v", got)
	}
	got := spreads(drive(core, now.Add(100*time.Millisecond)))
	if len(got) != 1 || len(got[0].Update.Deltas) != 6 || len(got[0].Update.Rows) != 0 {
		t.Fatalf("not in one frame: %+v", got)
	}
	for _, d := range got[0].Update.Deltas {
		if _, isNew, err := newPeerAt(p, d).Patch(d); !isNew || err != nil {
			t.Errorf("delta %d to %d of %s: %t, %v", d.BaseVersion, d.Version, d.Key, isNew, err)
		}
	}
}

// newPeerAt returns a view that has the base of a delta.
func newPeerAt(p *peerOf, d wire.Delta) *routes.View {
	v := newPeerOf(100).view
	_, deltas := p.view.UpdatesSince([]wire.Version{{Key: d.Key, Version: versionIn(v, d.Key)}})
	for _, other := range deltas {
		if other.Version <= d.BaseVersion {
			_, _, _ = v.Patch(other)
		}
	}
	return v
}

func versionIn(v *routes.View, key string) uint64 {
	row, _ := v.Row(key)
	return row.Version
}

// TestWanted gives a core deltas that it lacks the base of.
func TestWanted(t *testing.T) {
	core, now := joined(100)
	p := newPeerOf(100)
	key := routes.SlotsKey(serviceOf(0), 32)
	first := wire.Version{Key: key, Version: versionIn(p.view, key)}
	second := wire.Version{Key: key, Version: p.handOver(32, 1).Version}
	third := wire.Version{Key: key, Version: p.handOver(32, 2).Version}
	late := p.since(second)
	ask := func(at time.Time, m control.RowsArrived) []wire.Version {
		var wanted wire.ResendRequest
		m.Reply = func(w wire.ResendRequest) { wanted = w }
		if got := spreads(core.Step(at, m)); len(wanted.Have) > 0 && len(got) > 0 {
			t.Errorf("passed on what is not held: %v", got)
		}
		return wanted.Have
	}
	if got := ask(now, late); !slices.Equal(got, []wire.Version{first}) {
		t.Fatalf("wanted %v", got)
	}
	if got := ask(now, late); len(got) > 0 {
		t.Errorf("wanted twice: %v", got)
	}
	p.handOver(32, 3)
	if got := ask(now, p.since(third)); !slices.Equal(got, []wire.Version{first}) {
		t.Errorf("a later one is not wanted: %v", got)
	}
	now = now.Add(5 * time.Second)
	drive(core, now)
	if got := ask(now, late); !slices.Equal(got, []wire.Version{first}) {
		t.Errorf("not wanted again after a lost answer: %v", got)
	}
	if got := ask(now, p.since(first)); len(got) > 0 {
		t.Errorf("wanted although all was there: %v", got)
	}
	core.Step(now, control.RowsRequested{ResendRequest: wire.ResendRequest{Have: []wire.Version{{Key: key}}}, Reply: func(rows wire.Rows) {
		want, _ := p.view.Row(key)
		if len(rows.Rows) != 1 || rows.Rows[0].Version != want.Version || !slices.Equal(rows.Rows[0].Value, want.Value) {
			t.Errorf("the row is not what the peer has: %+v", rows)
		}
	}})
}

// TestTakersTold sees that who is given a slot is told by the giver, and whole.
func TestTakersTold(t *testing.T) {
	for _, applied := range []bool{true, false} {
		core, now := joined(100)
		key := routes.SlotsKey(serviceOf(0), 0)
		p := newPeerOf(100)
		row := p.handOver(0, 1)
		move := control.Move{Moves: []handover.Move{{Service: serviceOf(0), To: 77}, {Service: serviceOf(0), Slot: 1, To: 77}}}
		got := spreads(core.Step(now, control.WriteDone{
			Write:   control.Write{Purpose: control.PurposeMove, Move: move},
			Applied: applied, Rows: []storage.Row{{Key: key, Version: row.Version, Value: row.Value}},
		}))
		told := slices.ContainsFunc(got, func(s control.SendRows) bool {
			return len(s.To) == 1 && s.To[0] == addrOf(76) && len(s.Update.Rows) == 1 && s.Update.Rows[0].Version == row.Version
		})
		if told != applied {
			t.Errorf("applied %t: %+v", applied, got)
		}
	}
}
