package lease_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/lease"
	"fulmarrun/wire"
)

var closer = wire.Member{Generation: 8}

func holderRow(witnesses ...wire.Generation) wire.Member {
	return wire.Member{Generation: 1, Witnesses: witnesses}
}

func TestTakeoverDecided(t *testing.T) {
	type set = []wire.Generation
	for _, tc := range []struct {
		name           string
		witnesses      set
		votes          set
		closed         set // closed by votes alone, known since 0 ms
		uncertain      set // closed on the basis of closed witnesses
		ms             int
		decided        bool
		namesWitnesses bool // the closed row keeps its witnesses
	}{
		{"one vote of three is not enough", set{2, 3, 4}, set{2}, nil, nil, 5000, false, false},
		{"two of three", set{2, 3, 4}, set{2, 4}, nil, nil, 0, true, true},
		{"one vote of two is not enough", set{2, 3}, set{2}, nil, nil, 5000, false, false},
		{"both of two", set{2, 3}, set{2, 3}, nil, nil, 0, true, true},
		{"one of one", set{2}, set{2}, nil, nil, 0, true, true},
		{"a repeated vote counts once", set{2, 3, 4}, set{2, 2}, nil, nil, 0, false, false},
		{"votes of other generations do not count", set{2, 3, 4}, set{5, 6}, nil, nil, 0, false, false},
		{"a closed witness counts after a TTL", set{2, 3, 4}, set{2}, set{3}, nil, 1000, true, false},
		{"a closed witness does not count before a TTL", set{2, 3, 4}, set{2}, set{3}, nil, 999, false, false},
		{"a witness closed by closed witnesses does not count", set{2, 3, 4}, set{2}, nil, set{3}, 5000, false, false},
		{"a closed witness that voted counts once", set{2, 3, 4}, set{2}, set{2}, nil, 5000, false, false},
		{"no witnesses, no lease", nil, nil, nil, nil, 0, true, true},
		{"too many witnesses", set{2, 3, 4, 5}, set{2, 3, 4, 5}, nil, nil, 0, false, false},
	} {
		to := lease.NewTakeover(holderRow(tc.witnesses...), 7, start)
		for _, g := range tc.votes {
			to.AddVerdict(start, g, wire.Verdict{Holder: 1, Expired: true})
			to.AddVerdict(start, g, wire.Verdict{Holder: 99, Expired: true})
		}
		for _, g := range tc.closed {
			to.AddClosedWitness(wire.Member{Generation: g, State: wire.StateClosed, Witnesses: set{50}}, start)
		}
		for _, g := range tc.uncertain {
			to.AddClosedWitness(wire.Member{Generation: g, State: wire.StateClosed}, start)
			to.AddClosedWitness(wire.Member{Generation: g, Witnesses: set{50}}, start)
		}
		if got := to.Decided(at(tc.ms)); got != tc.decided {
			t.Errorf("%s: decided %v", tc.name, got)
		}
		tx, err := to.Transaction(closer, 3, set{8}, "c", "r")
		if !tc.decided {
			if !errors.Is(err, lease.ErrUndecided) {
				t.Errorf("%s: error %v", tc.name, err)
			}
			continue
		}
		var row wire.Member
		if err := wire.Decode(tx.Writes[0].Value, &row); err != nil {
			t.Fatal(err)
		}
		if row.State != wire.StateClosed || row.Change != "c" || tx.ID != "c" || row.Reason != "r" ||
			len(row.Heirs) != 1 || (len(row.Witnesses) > 0) != tc.namesWitnesses {
			t.Errorf("%s: wrote %+v", tc.name, row)
		}
		if len(tx.Conditions) != 2 || tx.Conditions[0].Version != 3 || tx.Conditions[1].Version != 7 ||
			tx.Conditions[1].Key != tx.Writes[0].Key || tx.Conditions[0].Key == tx.Conditions[1].Key {
			t.Errorf("%s: conditions %+v", tc.name, tx.Conditions)
		}
	}
}

func TestTakeoverVoteRequests(t *testing.T) {
	row := holderRow(2, 3, 4)
	for _, tc := range []struct {
		name          string
		requester     wire.Generation
		ms            int
		storeAnswered int // in milliseconds, the store's last answer
		voted         []wire.Generation
		want          int
	}{
		{"not a witness", 8, 0, 0, nil, 3},
		{"first witness requests the votes of the others", 2, 0, 0, nil, 2},
		{"second witness waits", 3, 149, 0, nil, 0},
		{"second witness after its delay", 3, 150, 0, nil, 2},
		{"third witness waits", 4, 299, 0, nil, 0},
		{"own vote comes last", 2, 0, 0, []wire.Generation{3}, 2},
		{"store silent for the maximum", 8, 1000, 0, nil, 3},
		{"store silent for too long", 8, 1001, 0, nil, 0},
		{"decided", 8, 0, 0, []wire.Generation{2, 3}, 0},
	} {
		to := lease.NewTakeover(row, 1, start, lease.WithRequester(tc.requester))
		for _, g := range tc.voted {
			to.AddVerdict(start, g, wire.Verdict{Holder: 1, Expired: true})
		}
		to.Decided(at(tc.ms))
		if got := len(to.VoteRequests(at(tc.ms), at(tc.storeAnswered))); got != tc.want {
			t.Errorf("%s: %d vote requests, want %d", tc.name, got, tc.want)
		}
	}
	to := lease.NewTakeover(row, 1, start)
	to.VoteRequests(start, start)
	to.AddVerdict(start, 2, wire.Verdict{Holder: 1, Wait: 300 * time.Millisecond})
	if n := len(to.VoteRequests(at(99), start)); n != 0 {
		t.Errorf("%d vote requests repeated too early", n)
	}
	if n := len(to.VoteRequests(at(100), start)); n != 2 {
		t.Errorf("%d vote requests repeated, want the two without an answer", n)
	}
}

func TestTakeoverIneligible(t *testing.T) {
	for _, tc := range []struct {
		name   string
		row    wire.Member
		closer wire.Member
	}{
		{"closer is closed", holderRow(), wire.Member{Generation: 8, State: wire.StateClosed}},
		{"closer is the holder", holderRow(), wire.Member{Generation: 1}},
		{"holder is closed", wire.Member{Generation: 1, State: wire.StateClosed}, closer},
	} {
		to := lease.NewTakeover(tc.row, 1, start)
		to.Decided(start)
		if _, err := to.Transaction(tc.closer, 1, nil, "c", "r"); !errors.Is(err, lease.ErrIneligible) {
			t.Errorf("%s: error %v", tc.name, err)
		}
	}
}

func TestTakeoverSuccessor(t *testing.T) {
	here := netip.MustParseAddrPort("127.0.0.1:7000")
	there := netip.MustParseAddrPort("127.0.0.1:7001")
	for _, tc := range []struct {
		name        string
		old, closer wire.Member
		ok          bool
	}{
		{"same instance and address", wire.Member{Generation: 1, Instance: "a", Peer: here}, wire.Member{Generation: 8, Instance: "a", Peer: here}, true},
		{"same generation", wire.Member{Generation: 1, Instance: "a", Peer: here}, wire.Member{Generation: 1, Instance: "a", Peer: here}, false},
		{"other address", wire.Member{Generation: 1, Instance: "a", Peer: here}, wire.Member{Generation: 8, Instance: "a", Peer: there}, false},
		{"other instance", wire.Member{Generation: 1, Instance: "a", Peer: here}, wire.Member{Generation: 8, Instance: "b", Peer: here}, false},
		{"no address", wire.Member{Generation: 1, Instance: "a"}, wire.Member{Generation: 8, Instance: "a"}, false},
	} {
		_, err := lease.NewTakeover(tc.old, 1, start).SuccessorTransaction(tc.closer, 1, nil, "c", "r")
		if errors.Is(err, lease.ErrIneligible) == tc.ok {
			t.Errorf("%s: error %v", tc.name, err)
		}
	}
}
