package targethttp_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/targethttp"
)

// TestGrantEndsWithLease generates the times of the target's stamps, their travel times
// and the ends of the lease. The target's clock is ahead of the daemon's by offset. The
// grant must end before the lease in real time, no matter when it is sent.
func TestGrantEndsWithLease(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	start := time.Unix(1_000_000, 0)
	properties.Property("a grant ends before the lease", prop.ForAll(
		func(travel, left []int64, offset int64) bool {
			g := targethttp.NewGrantBuilder(9, targethttp.WithMargin(time.Millisecond))
			now := start
			for i := range min(len(travel), len(left)) {
				stamp := targethttp.Stamp(now.UnixNano()).Add(time.Duration(offset))
				now = now.Add(time.Duration(travel[i]) * time.Millisecond)
				g.ObserveReply(now, targethttp.GrantReply{Generation: 9, Number: 2, Stamp: stamp})
				lease := now.Add(time.Duration(left[i]) * time.Millisecond)
				grant, ok := g.Next(lease)
				end := time.Unix(0, int64(grant.Until)-offset)
				if ok && !end.Before(lease) || !ok && left[i] > 1 {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.Int64Range(0, 900)), gen.SliceOf(gen.Int64Range(-500, 1500)), gen.Int64Range(-1e9, 1e9),
	))
	properties.TestingRun(t)
}

func TestGrantLists(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	lease := now.Add(time.Second)
	g := targethttp.NewGrantBuilder(9)
	if _, ok := g.Next(lease); ok {
		t.Fatal("got a grant before the first stamp")
	}
	g.Set([]targethttp.SlotGrant{{From: 1, To: 4, Epoch: 2}}, nil)
	g.ObserveStamp(now, 100)
	first, _ := g.Next(lease)
	if !first.Full || len(first.Slots) != 1 || first.Until != targethttp.Stamp(100).Add(first.TTL) {
		t.Fatalf("first grant: %+v", first)
	}
	g.ObserveReply(now, targethttp.GrantReply{Generation: 9, Number: first.Number, Stamp: 200})
	if renewal, _ := g.Next(lease); renewal.Full || renewal.Slots != nil || renewal.Until <= first.Until {
		t.Fatalf("renewal: %+v", renewal)
	}
	g.ObserveReply(now, targethttp.GrantReply{Generation: 9, Number: 0, Stamp: 300})
	if again, _ := g.Next(lease); !again.Full {
		t.Fatal("a target that lost the lists got only a renewal")
	}
	g.ObserveReply(now, targethttp.GrantReply{Generation: 9, Number: first.Number, Stamp: 250})
	g.Set(nil, nil)
	if empty, _ := g.Next(lease); !empty.Full || empty.Number == first.Number || empty.Until < targethttp.Stamp(300) {
		t.Fatalf("grant with empty lists: %+v", empty)
	}
}
