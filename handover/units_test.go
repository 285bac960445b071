package handover_test

import (
	"context"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/handover"
	"fulmarrun/outcome"
)

// TestUnits applies random operations to one unit and compares it with a model of a request
// count and a frozen flag.
func TestUnits(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("matches the model", prop.ForAll(func(steps []int) string {
		units, unit := handover.NewUnits(), outcome.Unit{Service: service, Slot: 3}
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		running, frozen := 0, false
		var waiting []<-chan struct{}
		for _, step := range steps {
			switch step {
			case 0:
				wait := units.Enter(unit)
				if (wait != nil) != frozen {
					return "entered a frozen unit, or was blocked by a unit that is not frozen"
				}
				if wait != nil {
					waiting = append(waiting, wait)
				} else {
					running++
				}
			case 1:
				if running > 0 {
					units.Leave(unit)
					running--
				}
			case 2:
				frozen = true
				if err := units.Freeze(cancelled, unit); (err == nil) != (running == 0) && running > 0 {
					return "Freeze succeeded while a request runs"
				}
			default:
				units.Unfreeze(unit)
				frozen = false
				for _, w := range waiting {
					if !closed(w) {
						return "waiting request not released by Unfreeze"
					}
				}
				waiting = nil
			}
			for _, w := range waiting {
				if closed(w) {
					return "waiting request released while the unit is frozen"
				}
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.IntRange(0, 3))))
	properties.TestingRun(t)
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestFreezeWaitsForRequests checks that Freeze returns when the last request has left, and
// that other units are not affected.
func TestFreezeWaitsForRequests(t *testing.T) {
	units, unit := handover.NewUnits(), outcome.Unit{Service: service, HotKey: "vase"}
	units.Enter(unit)
	units.Enter(unit)
	done := make(chan error)
	go func() { done <- units.Freeze(context.Background(), unit) }()
	for units.Enter(unit) == nil {
		units.Leave(unit)
		time.Sleep(time.Millisecond)
	}
	if units.Enter(outcome.Unit{Service: service, Slot: 1}) != nil {
		t.Error("Freeze affected another unit")
	}
	units.Leave(unit)
	select {
	case <-done:
		t.Error("Freeze returned while a request runs")
	default:
	}
	units.Leave(unit)
	if err := <-done; err != nil {
		t.Errorf("freeze: %v", err)
	}
}
