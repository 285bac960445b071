package outcome_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"fulmarrun/outcome"
)

// step is one command of the stateful test.
type step struct {
	kind, a, b int
}

// kinds lists the commands; the number of entries of a command is its weight.
var kinds = []string{
	"create", "create", "create", "create", "send", "send", "send", "send", "send", "send", "send",
	"deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver",
	"hand", "hand", "hand", "hand", "hand", "hand", "complete", "complete", "complete", "complete",
	"move", "lose", "advance", "advance", "advance", "adjust", "adjust", "expire",
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d)", kinds[s.kind], s.a, s.b) }

func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	w, ok := sut.(*world)
	if !ok {
		return "no world"
	}
	switch kinds[s.kind] {
	case "create":
		w.create(s.a, s.b)
	case "send":
		w.send(s.a, s.b)
	case "deliver":
		w.deliver(s.a, s.b)
	case "hand":
		w.hand(s.a, s.b)
	case "complete":
		w.complete(s.a)
	case "move":
		w.move(s.a)
	case "lose":
		w.lose(s.a, s.b)
	case "advance":
		w.advance(s.a)
	case "adjust":
		w.adjust(s.a, s.b)
	case "expire":
		w.expire()
	}
	return w.fault
}

func (s step) NextState(state commands.State) commands.State { return state }
func (s step) PreCondition(commands.State) bool              { return true }

func (s step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if result != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{fmt.Sprint(result)}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// explore checks the property with a mutation and returns the result and the counts.
func explore(m mutation, seed int64, runs int) (*gopter.TestResult, stats) {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = runs
	parameters.MinSize, parameters.MaxSize = 100, 200
	parameters.MaxShrinkCount = 0
	var total stats
	property := commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newWorld(m) },
		DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
			if w, ok := sut.(*world); ok {
				total.add(w.stats)
			}
		},
		InitialStateGen: gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.Int64Range(0, 1<<40).Map(func(n int64) commands.Command {
				return step{kind: int(n % int64(len(kinds))), a: int(n >> 8 & 0xfff), b: int(n >> 20 & 0xfff)}
			})
		},
	})
	return property.Check(parameters), total
}

// TestAtMostOnce checks that no ID runs twice, that no ID that was answered "not run"
// has run, and that each answer is the complete answer of its own ID. It generates
// planned moves, losses, restarts, daemons that resume with an old ledger, any clock
// skew within the bound, and frames that are lost, late, repeated and reordered.
func TestAtMostOnce(t *testing.T) {
	result, s := explore(mutation{}, 1, 800)
	t.Logf("%+v", s)
	if !result.Passed() {
		t.Fatalf("%v %v %v", result.Status, result.Labels, result.Args)
	}
	if min(s.ran, s.replayed, s.unknown, s.rejected, s.notRun, s.lost, s.moved) == 0 {
		t.Errorf("an event never occurred: %+v", s)
	}
}

// TestMutationsCaught breaks one rule at a time and checks that the oracle detects
// it.
func TestMutationsCaught(t *testing.T) {
	mutations := []mutation{
		{name: "drop the records at a hand-over", dropRecords: true},
		{name: "no floor after a loss", noFloor: true},
		{name: "no margin after a loss", seed: 28, options: []outcome.Option{outcome.WithMargin(0)}},
		{name: "margin of one skew instead of two", seed: 28, options: []outcome.Option{outcome.WithMargin(skew)}},
		{name: "floor not raised by an evicted record", seed: 26, options: []outcome.Option{outcome.WithoutFloor()}},
		{name: "truncated answer as complete", cutAsComplete: true},
		{name: "not run after bytes were written", notRunAfter: true},
		{name: "record removed on cancel", forgetCancel: true},
		{name: "fresh on every forward", alwaysFresh: true},
		{name: "fresh in a frame sent before the take-over", seed: 35, lateFresh: true},
		{name: "refusal by a daemon whose lease has expired", staleReject: true},
		{name: "no lease check before the request goes to the target", noLeaseCheck: true},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			result, _ := explore(m, max(m.seed, 1), 300)
			if result.Passed() {
				t.Fatal("the oracle does not detect the mutation")
			}
			t.Logf("detected after %d runs: %v", result.Succeeded, result.Labels)
		})
	}
}
