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

// unkeyedMistakes break rules of what is published to the forwarder.
type unkeyedMistakes struct {
	withoutOut   bool // the configuration says nothing of domains that are out
	withoutLeave bool // a member that leaves is shown as active
}

// unkeyedWorld is a forwarder whose routes and configuration change.
type unkeyedWorld struct {
	mistakes  unkeyedMistakes
	server    *owner.Server
	forwarder *forward.Forwarder
	view      *routes.View
	rows      uint64
	states    []wire.State
	out       []string
	number    uint64
	table     *config.Table
	files     map[string]*config.File // by what is out

	mu    sync.Mutex
	turn  uint32
	wrong string
	calls int
}

func newUnkeyedWorld(files map[string]*config.File, mistakes unkeyedMistakes) (*unkeyedWorld, error) {
	w := &unkeyedWorld{mistakes: mistakes, files: files, view: routes.NewView(), states: make([]wire.State, 6)}
	w.server = owner.NewServer(admission.NewGate(), handover.NewUnits(), handover.NewHotKeys())
	// A hedge may be chosen before a change and begin after it, which the oracle
	// would take for a wrong choice.
	w.forwarder = forward.NewForwarder(w.server, nil, forward.WithCall(w.call),
		forward.WithAdmission(admission.WithRatio(10), admission.WithHedgeCost(-1)))
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
	if state == wire.StateLeaving && w.mistakes.withoutLeave {
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
	if len(out) > 0 && !w.mistakes.withoutOut {
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

// call is where the oracle looks on.
func (w *unkeyedWorld) call(_ context.Context, to *routes.Owner, _ *wire.Request) (*wire.Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := int(to.Generation) - 2
	if w.states[i] != wire.StateActive || slices.Contains(w.out, domainOf(i)) {
		w.wrong = fmt.Sprintf("%s, in state %v, was called with %v out", to.Instance, w.states[i], w.out)
	}
	w.calls++
	w.turn = w.turn*1664525 + 1013904223
	switch w.turn >> 28 % 4 {
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
			return errors.New("no kind")
		}
		w.forwarder.Route(context.Background(), k, &wire.Request{
			Service: "despacho", Kind: "crews", Wait: time.Minute, Method: "GET", Path: "/crews", FirstAttempt: true,
		})
		return nil
	}
	w.publish()
	return nil
}

func playUnkeyed(steps []uint32, files map[string]*config.File, mistakes unkeyedMistakes) (calls int, err error) {
	w, err := newUnkeyedWorld(files, mistakes)
	if err != nil {
		return 0, err
	}
	w.publish()
	for _, n := range steps {
		if err := w.step(n); err != nil {
			return 0, err
		}
		w.mu.Lock()
		wrong := w.wrong
		w.mu.Unlock()
		if wrong != "" {
			return w.calls, errors.New(wrong)
		}
	}
	return w.calls, nil
}

// TestUnkeyedChoice shows that a request without a key goes to no member that
// leaves or whose failure domain is out, from the first request after that is
// published, whatever its tries end with.
func TestUnkeyedChoice(t *testing.T) {
	files := make(map[string]*config.File)
	for _, c := range []struct {
		name     string
		mistakes unkeyedMistakes
		caught   bool
	}{
		{"as it is", unkeyedMistakes{}, false},
		{"mutation: what is out is not published", unkeyedMistakes{withoutOut: true}, true},
		{"mutation: who leaves is shown as active", unkeyedMistakes{withoutLeave: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			parameters := promiseParameters()
			parameters.MinSuccessfulTests = 10 * *promiseRuns
			result := prop.ForAll(func(steps []uint32) (bool, error) {
				n, err := playUnkeyed(steps, files, c.mistakes)
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
