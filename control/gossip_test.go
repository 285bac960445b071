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

// peerView is the view of a peer that knows a fleet; it produces updates.
type peerView struct {
	view    *routes.View
	version uint64
}

func newPeerView(members int) *peerView {
	p := &peerView{view: routes.NewView(), version: 1 << 38}
	for _, row := range fleet(members) {
		_, _ = p.view.Put(row)
	}
	return p
}

// put writes a new version of the row with the given key.
func (p *peerView) put(key string, row interface {
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
func (p *peerView) handOver(first uint32, transfer uint64) wire.Row {
	row := p.view.SlotsRow(serviceOf(0), first).Slots
	row.Slots = slices.Clone(row.Slots)
	row.Revision++
	row.Slots[0].Owner, row.Slots[0].TransferID = row.Slots[0].Owner%100+1, transfer
	row.Slots[0].Epoch++
	return p.put(routes.SlotsKey(row.Service, first), &row)
}

// since returns the rows and deltas that are newer than the given versions.
func (p *peerView) since(have ...wire.Version) control.RowsArrived {
	rows, deltas := p.view.UpdatesSince(have)
	return control.RowsArrived{From: 2, Rows: rows, Deltas: deltas}
}

// sentUpdates returns the effects that send rows.
func sentUpdates(effects []control.Effect) []control.SendRows {
	var out []control.SendRows
	for _, e := range effects {
		if s, ok := e.(control.SendRows); ok {
			out = append(out, s)
		}
	}
	return out
}

// TestGossip checks to how many peers, in which form and when each kind of update
// is sent on.
func TestGossip(t *testing.T) {
	for _, tc := range []struct {
		name    string
		update  func(p *peerView) wire.Row
		to      int
		deltas  int
		pending bool
	}{
		{"a hand-over", func(p *peerView) wire.Row { return p.handOver(32, 9) }, 2, 1, true},
		{"an assignment", func(p *peerView) wire.Row { return p.handOver(32, 0) }, 4, 1, false},
		{"slots released by a member", func(p *peerView) wire.Row {
			m := p.view.Member(50).Member
			m.ReleasedSlots = []wire.ReleasedSlots{{FirstSlot: 32, Revision: 2}}
			return p.put(routes.MemberKey(50), &m)
		}, 2, 1, true},
		{"changed witnesses", func(p *peerView) wire.Row {
			m := p.view.Member(50).Member
			m.Witnesses = []wire.Generation{60, 61, 62}
			return p.put(routes.MemberKey(50), &m)
		}, 4, 0, false},
		{"the loss of a member", func(p *peerView) wire.Row {
			m := p.view.Member(50).Member
			m.State, m.Heirs = wire.StateClosed, []wire.Generation{60}
			return p.put(routes.MemberKey(50), &m)
		}, 4, 0, false},
	} {
		core, now := joinedCore(100)
		p := newPeerView(100)
		// After a hand-over has just been sent, the next one must wait.
		other := p.handOver(64, 5)
		now = now.Add(time.Second)
		core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{other}})
		before := sentUpdates(core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{tc.update(p)}}))
		if tc.pending != (len(before) == 0) {
			t.Errorf("%s: sent %v at once", tc.name, before)
		}
		now = now.Add(2 * control.TickInterval)
		got := append(before, sentUpdates(driveTick(core, now))...)
		if len(got) != 1 || len(got[0].To) != tc.to || len(got[0].Update.Deltas) != tc.deltas ||
			len(got[0].Update.Rows) != 1-tc.deltas {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
}

// TestGossipBatch checks that waiting hand-overs are sent in one frame, each row as
// deltas from the version that peers have, and that the loss of a member doesn't
// wait for them.
func TestGossipBatch(t *testing.T) {
	core, now := joinedCore(100)
	p := newPeerView(100)
	now = now.Add(time.Second)
	if got := sentUpdates(core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{p.handOver(0, 1)}})); len(got) != 1 {
		t.Fatalf("the first hand-over was not sent at once: %v", got)
	}
	for i := range uint32(6) {
		row := p.handOver(32*(1+i%3), uint64(i+1))
		if got := sentUpdates(core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{row}})); len(got) > 0 {
			t.Errorf("a later hand-over was sent at once: %v", got)
		}
	}
	closed := p.view.Member(50).Member
	closed.State, closed.Heirs = wire.StateClosed, []wire.Generation{60}
	row := p.put(routes.MemberKey(50), &closed)
	if got := sentUpdates(core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{row}})); len(got) != 1 || len(got[0].Update.Rows) != 1 {
		t.Errorf("the loss of a member was not sent at once: %v", got)
	}
	got := sentUpdates(driveTick(core, now.Add(100*time.Millisecond)))
	if len(got) != 1 || len(got[0].Update.Deltas) != 6 || len(got[0].Update.Rows) != 0 {
		t.Fatalf("hand-overs were not sent in one frame: %+v", got)
	}
	for _, d := range got[0].Update.Deltas {
		if _, isNew, err := viewAtBase(p, d).Patch(d); !isNew || err != nil {
			t.Errorf("delta from version %d to %d of %s: new %t, %v", d.BaseVersion, d.Version, d.Key, isNew, err)
		}
	}
}

// viewAtBase returns a view that has the base version of a delta.
func viewAtBase(p *peerView, d wire.Delta) *routes.View {
	v := newPeerView(100).view
	_, deltas := p.view.UpdatesSince([]wire.Version{{Key: d.Key, Version: rowVersion(v, d.Key)}})
	for _, other := range deltas {
		if other.Version <= d.BaseVersion {
			_, _, _ = v.Patch(other)
		}
	}
	return v
}

func rowVersion(v *routes.View, key string) uint64 {
	row, _ := v.Row(key)
	return row.Version
}

// TestRowsRequested checks which rows a core requests after it has received deltas
// without having their base version.
func TestRowsRequested(t *testing.T) {
	core, now := joinedCore(100)
	p := newPeerView(100)
	key := routes.SlotsKey(serviceOf(0), 32)
	first := wire.Version{Key: key, Version: rowVersion(p.view, key)}
	second := wire.Version{Key: key, Version: p.handOver(32, 1).Version}
	third := wire.Version{Key: key, Version: p.handOver(32, 2).Version}
	late := p.since(second)
	requestedRows := func(at time.Time, m control.RowsArrived) []wire.Version {
		var wanted wire.ResendRequest
		m.Reply = func(w wire.ResendRequest) { wanted = w }
		if got := sentUpdates(core.Step(at, m)); len(wanted.Have) > 0 && len(got) > 0 {
			t.Errorf("sent rows whose delta could not be applied: %v", got)
		}
		return wanted.Have
	}
	if got := requestedRows(now, late); !slices.Equal(got, []wire.Version{first}) {
		t.Fatalf("requested %v", got)
	}
	if got := requestedRows(now, late); len(got) > 0 {
		t.Errorf("requested twice: %v", got)
	}
	p.handOver(32, 3)
	if got := requestedRows(now, p.since(third)); !slices.Equal(got, []wire.Version{first}) {
		t.Errorf("a later version was not requested: %v", got)
	}
	now = now.Add(5 * time.Second)
	driveTick(core, now)
	if got := requestedRows(now, late); !slices.Equal(got, []wire.Version{first}) {
		t.Errorf("not requested again after a lost answer: %v", got)
	}
	if got := requestedRows(now, p.since(first)); len(got) > 0 {
		t.Errorf("requested although the base was known: %v", got)
	}
	core.Step(now, control.RowsRequested{ResendRequest: wire.ResendRequest{Have: []wire.Version{{Key: key}}}, Reply: func(rows wire.Rows) {
		want, _ := p.view.Row(key)
		if len(rows.Rows) != 1 || rows.Rows[0].Version != want.Version || !slices.Equal(rows.Rows[0].Value, want.Value) {
			t.Errorf("the row differs from that of the peer: %+v", rows)
		}
	}})
}

// TestNewOwnersNotified checks that the previous owner sends the whole row to the
// new owner of a slot.
func TestNewOwnersNotified(t *testing.T) {
	for _, applied := range []bool{true, false} {
		core, now := joinedCore(100)
		key := routes.SlotsKey(serviceOf(0), 0)
		p := newPeerView(100)
		row := p.handOver(0, 1)
		move := control.Move{Moves: []handover.Move{{Service: serviceOf(0), To: 77}, {Service: serviceOf(0), Slot: 1, To: 77}}}
		got := sentUpdates(core.Step(now, control.WriteDone{
			Write:   control.Write{Purpose: control.PurposeMove, Move: move},
			Applied: applied, Rows: []storage.Row{{Key: key, Version: row.Version, Value: row.Value}},
		}))
		notified := slices.ContainsFunc(got, func(s control.SendRows) bool {
			return len(s.To) == 1 && s.To[0] == addrOf(76) && len(s.Update.Rows) == 1 && s.Update.Rows[0].Version == row.Version
		})
		if notified != applied {
			t.Errorf("move applied %t: sent %+v", applied, got)
		}
	}
}
