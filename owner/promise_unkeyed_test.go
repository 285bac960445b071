package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"fulmarrun/admission"
	"fulmarrun/config"
	"fulmarrun/forward"
	"fulmarrun/handover"
	"fulmarrun/owner"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// unkeyedMutation selects what is wrongly left out of the state that is published
// to the forwarder.
type unkeyedMutation struct {
	hideOut     bool // the configuration omits the domains that are out of service
	hideLeaving bool // a leaving member is published as active
}

// unkeyedWorld is a forwarder with changing routes and configuration.
type unkeyedWorld struct {
	mutation  unkeyedMutation
	server    *owner.Server
	forwarder *forward.Forwarder
	view      *routes.View
	rows      uint64
	states    []wire.State
	out       []string
	number    uint64
	table     *config.Table
	files     map[string]*config.File // by the list of domains that are out

	mu        sync.Mutex
	random    uint32
	violation string
	calls     int
}

func newUnkeyedWorld(files map[string]*config.File, mutation unkeyedMutation) (*unkeyedWorld, error) {
	w := &unkeyedWorld{mutation: mutation, files: files, view: routes.NewView(), states: make([]wire.State, 6)}
	w.server = owner.NewServer(admission.NewGate(), handover.NewUnits(), handover.NewHotKeys())
	// Hedges are off: the target of a hedge may be chosen before a change and called
	// after it, which the oracle would report as a wrong choice.
	w.forwarder = forward.NewForwarder(w.server, nil, forward.WithCall(w.call),
		forward.WithAdmission(admission.WithRetryRatio(10), admission.WithMaxHedgeCost(-1)))
	for i := range w.states {
		if err := w.member(i, wire.StateActive); err != nil {
			return nil, err
		}
	}
	return w, w.configure(nil)
}

func domainOf(i int) string { return []string{"sanjose", "heredia", "cartago"}[i%3] }

func (w *unkeyedWorld) member(i int, state wire.State) error {
	w.states[i] = state
	if state == wire.StateLeaving && w.mutation.hideLeaving {
		state = wire.StateActive
	}
	g := wire.Generation(i + 2)
	value, err := wire.Encode(&wire.Member{
		Instance: fmt.Sprint("despacho-", i), Generation: g, Service: "despacho", Domain: domainOf(i), State: state,
		Peer: netip.MustParseAddrPort("127.0.0.1:1"),
	})
	if err != nil {
		return err
	}
	w.rows++
	_, err = w.view.Put(wire.Row{Key: routes.MemberKey(g), Version: w.rows, Value: value})
	return err
}

func (w *unkeyedWorld) configure(out []string) error {
	w.out = out
	w.number++
	list := ""
	if len(out) > 0 && !w.mutation.hideOut {
		list = `"` + strings.Join(out, `","`) + `"`
	}
	file := w.files[list]
	if file == nil {
		var err error
		file, err = config.Parse("test", []byte(`{"out":[`+list+`],"services":[{"name":"despacho","slots":64,"kinds":[
			{"name":"crews","method":"GET","path":"/crews","wait":"1m","repeat":1,"class":"urgent"}]}]}`))
		if err != nil {
			return err
		}
		w.files[list] = file
	}
	w.table = config.NewTable(file, w.number)
	return nil
}

func (w *unkeyedWorld) publish() {
	w.server.Publish(&owner.ServingState{
		Generation: 1, Service: "agenda", Instance: "agenda-1", Domain: "heredia", Snapshot: w.view.Snapshot(), Table: w.table,
	})
}

// call receives the calls of the forwarder and checks the chosen member.
func (w *unkeyedWorld) call(_ context.Context, to *routes.Owner, _ *wire.Request) (*wire.Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := int(to.Generation) - 2
	if w.states[i] != wire.StateActive || slices.Contains(w.out, domainOf(i)) {
		w.violation = fmt.Sprintf("%s, in state %v, was called with %v out", to.Instance, w.states[i], w.out)
	}
	w.calls++
	w.random = w.random*1664525 + 1013904223
	switch w.random >> 28 % 4 {
	case 0:
		return nil, errors.Wrap(peer.ErrNotSent, "test")
	case 1:
		return wire.Refuse(admission.ReasonFull, time.Second), nil
	default:
		return &wire.Response{Outcome: wire.OutcomeAnswered, Status: 200}, nil
	}
}

func (w *unkeyedWorld) step(n uint32) error {
	i, kind := int(n>>8)%len(w.states), w.table
	switch n % 6 {
	case 0:
		if err := w.configure([]string{domainOf(i)}); err != nil {
			return err
		}
	case 1:
		if err := w.configure(nil); err != nil {
			return err
		}
	case 2, 3:
		state := []wire.State{wire.StateActive, wire.StateLeaving, wire.StateClosed}[n>>4%3]
		if err := w.member(i, state); err != nil {
			return err
		}
	default:
		k, ok := kind.Kind("despacho", "crews")
		if !ok {
			return errors.New("the configuration does not define the kind crews")
		}
		w.forwarder.Route(context.Background(), k, &wire.Request{
			Service: "despacho", Kind: "crews", Wait: time.Minute, Method: "GET", Path: "/crews", FirstAttempt: true,
		})
		return nil
	}
	w.publish()
	return nil
}

func playUnkeyed(steps []uint32, files map[string]*config.File, mutation unkeyedMutation) (calls int, err error) {
	w, err := newUnkeyedWorld(files, mutation)
	if err != nil {
		return 0, err
	}
	w.publish()
	for _, n := range steps {
		if err := w.step(n); err != nil {
			return 0, err
		}
		w.mu.Lock()
		violation := w.violation
		w.mu.Unlock()
		if violation != "" {
			return w.calls, errors.New(violation)
		}
	}
	return w.calls, nil
}

// TestUnkeyedChoice checks that a request without a key is never sent to a leaving
// member or to a failure domain that is out of service, from the first request
// after the publication on and whatever the results of its attempts.
func TestUnkeyedChoice(t *testing.T) {
	files := make(map[string]*config.File)
	for _, c := range []struct {
		name     string
		mutation unkeyedMutation
		caught   bool
	}{
		{"unchanged", unkeyedMutation{}, false},
		{"mutation: domains that are out are not published", unkeyedMutation{hideOut: true}, true},
		{"mutation: leaving members are published as active", unkeyedMutation{hideLeaving: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			parameters := promiseParameters()
			parameters.MinSuccessfulTests = 10 * *promiseRuns
			result := prop.ForAll(func(steps []uint32) (bool, error) {
				n, err := playUnkeyed(steps, files, c.mutation)
				calls += n
				return err == nil, err
			}, gen.SliceOfN(60, gen.UInt32())).Check(parameters)
			caught := result.Error != nil && strings.Contains(result.Error.Error(), "was called")
			if result.Passed() == c.caught || caught != c.caught {
				t.Errorf("%v after %d runs: %v", result.Status, result.Succeeded, result.Error)
			}
			t.Logf("%d calls, %d runs passed; %v", calls, result.Succeeded, result.Error)
		})
	}
}
