package budget_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarrun/budget"
)

var start = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)

// at returns a moment some seconds after start.
func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// party is a set of clients, and the names of those that were evicted.
type party struct {
	account *budget.Account
	clients map[string]*budget.Client
	evicted []string
}

func newParty(clients int, memory int64) *party {
	return &party{
		account: budget.NewAccount(budget.WithClients(clients), budget.WithMemory(memory)),
		clients: make(map[string]*budget.Client),
	}
}

func (p *party) open(second int, name string) bool {
	c := p.account.Open(at(second), func() { p.evicted = append(p.evicted, name) })
	p.clients[name] = c
	return c != nil
}

// TestEviction opens clients one a second, each of which then holds some memory beyond that of its
// connection or is served, and lets another one come.
func TestEviction(t *testing.T) {
	const cost, none = budget.ClientCost, 0
	for _, tc := range []struct {
		name    string
		clients int
		memory  int64
		// held is what each client holds; negative if its request is served, none to begin with.
		held []int64
		// reserve is what the one that comes reserves beyond its connection.
		reserve int64
		evicted []string
		refused bool
	}{
		{"room for all", 10, 100 * cost, []int64{none, cost}, cost, nil, false},
		{"connections: the one waited for longest", 3, 100 * cost, []int64{none, none, 5 * cost}, none, []string{"0"}, false},
		{"connections: not one that is served", 3, 100 * cost, []int64{-1, none, none}, none, []string{"1"}, false},
		{"connections: all are served", 3, 100 * cost, []int64{-1, -1, -1}, none, nil, true},
		{"memory: the one that has held most for longest", 10, 10 * cost, []int64{none, 4 * cost, cost}, 2 * cost, []string{"1"}, false},
		{"memory: as many as it takes", 10, 10 * cost, []int64{none, 2 * cost, 3 * cost}, 5 * cost, []string{"1", "2"}, false},
		{"memory: no more than can be freed", 10, 10 * cost, []int64{none, -7 * cost}, 8 * cost, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newParty(tc.clients, tc.memory)
			for i, held := range tc.held {
				name := fmt.Sprint(i)
				p.open(i, name)
				if held < 0 {
					p.clients[name].Serve()
					held = -held
				}
				if !p.clients[name].Reserve(at(i), held) {
					t.Fatalf("client %s has no room", name)
				}
			}
			now := len(tc.held) + 1
			refused := !p.open(now, "last")
			if !refused {
				refused = !p.clients["last"].Reserve(at(now), tc.reserve)
			}
			if refused != tc.refused || !slices.Equal(p.evicted, tc.evicted) {
				t.Errorf("refused %t, evicted %v, want %t, %v", refused, p.evicted, tc.refused, tc.evicted)
			}
			if used := p.account.Stats().Used; used > tc.memory {
				t.Errorf("%d bytes used of %d", used, tc.memory)
			}
		})
	}
}

// TestAccountReturnsToZero checks that all that is charged is returned, also by clients that were evicted while
// they went on to charge and release.
func TestAccountReturnsToZero(t *testing.T) {
	p := newParty(3, 10*budget.ClientCost)
	for i := range 20 {
		name := fmt.Sprint(i)
		if !p.open(i, name) {
			t.Fatalf("client %s has no room", name)
		}
		p.clients[name].Reserve(at(i), budget.ClientCost)
		p.clients[name].Charge(at(i), 20*budget.ClientCost)
	}
	for _, c := range p.clients {
		c.Release(5 * budget.ClientCost)
		c.Serve()
		c.Wait(at(30))
		c.Close()
		c.Close()
		if c.Reserve(at(31), 1) {
			t.Error("a closed client has room")
		}
		c.Charge(at(31), 1)
	}
	if s := p.account.Stats(); s.Used != 0 || s.Clients != 0 || s.Evicted == 0 {
		t.Errorf("at the end: %+v", s)
	}
}

// TestCrowdDoesNotShutOutOrdinaryClients lets clients that send part of a request come without end, beside
// an ordinary one that is served within a moment each second.
func TestCrowdDoesNotShutOutOrdinaryClients(t *testing.T) {
	p := newParty(50, 60*budget.ClientCost)
	for second := 1; second < 100; second++ {
		for i := range 40 {
			name := fmt.Sprintf("crowd-%d-%d", second, i)
			if p.open(second, name) {
				p.clients[name].Reserve(at(second), budget.ClientCost)
			}
		}
		now := at(second + 1)
		ordinary := p.account.Open(now, func() { t.Errorf("second %d: an ordinary client is evicted", second) })
		if ordinary == nil || !ordinary.Reserve(now, budget.ClientCost) {
			t.Fatalf("second %d: an ordinary client has no room", second)
		}
		ordinary.Serve()
		ordinary.Wait(now)
		ordinary.Close()
	}
}

// TestKeptClients checks that clients that are kept are not evicted, take no place of others, however many
// they are, and return what is charged to them.
func TestKeptClients(t *testing.T) {
	const kept = 500
	p := newParty(2, 10*budget.ClientCost)
	for i := range kept {
		name := fmt.Sprint("kept-", i)
		if !p.open(i, name) {
			t.Fatalf("%s has no room", name)
		}
		p.clients[name].Keep()
		p.clients[name].Keep()
	}
	p.clients["kept-0"].Charge(at(kept), budget.ClientCost)
	for i := range 5 {
		if !p.open(kept+i, fmt.Sprint(i)) {
			t.Fatalf("client %d has no room", i)
		}
	}
	if want := []string{"0", "1", "2"}; !slices.Equal(p.evicted, want) {
		t.Errorf("evicted %v, want %v", p.evicted, want)
	}
	if used := p.account.Stats().Used; used != 3*budget.ClientCost {
		t.Errorf("%d bytes used", used)
	}
	for _, c := range p.clients {
		c.Close()
	}
	if s := p.account.Stats(); s.Used != 0 || s.Clients != 0 {
		t.Errorf("at the end: %+v", s)
	}
}
