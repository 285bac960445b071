package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/config"
	"fulmarrun/owner"
	"fulmarrun/routes"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// keyed is one keyed request on its way.
type keyed struct {
	f    *Forwarder
	kind *config.Kind
	req  *wire.Request
	// asked is true for an ID of the caller's own, which may have run in an
	// earlier request: only the owner can say that it did not.
	asked bool
	// lost is true once a try ended without an answer.
	lost bool
	// offers counts the tries that may have reached a target.
	offers int
	// unserved is when an owner first did not serve the request.
	unserved time.Time
	// ownerless is since when nobody has owned the key.
	ownerless time.Time
}

// routeKeyed brings a request to the owner of its key, whoever that is by the
// time.
func (f *Forwarder) routeKeyed(ctx context.Context, kind *config.Kind, req *wire.Request) *wire.Response {
	k := &keyed{f: f, kind: kind, req: req, asked: kind.Remembered() && !req.FirstAttempt}
	for {
		if ctx.Err() != nil {
			return ended(ctx, k.asked || k.lost)
		}
		snapshot := f.own.Standing().Snapshot
		route, _ := snapshot.Lookup(req.Service, req.Key)
		if route.Owner == nil {
			if response := k.waitForOwner(ctx, snapshot); response != nil {
				return response
			}
			continue
		}
		k.ownerless = time.Time{}
		if response := k.try(ctx, snapshot, route); response != nil {
			return response
		}
	}
}

// waitForOwner waits for a change of the routes, and returns the refusal if that
// has taken too long.
func (k *keyed) waitForOwner(ctx context.Context, snapshot *routes.Snapshot) *wire.Response {
	if k.f.own.Standing().Alone {
		return refuse(owner.ReasonAlone, k.asked || k.lost)
	}
	now := time.Now()
	if k.ownerless.IsZero() {
		k.ownerless = now
	}
	left := k.patience() - now.Sub(k.ownerless)
	if left <= 0 {
		return refuse(ReasonNoOwner, k.asked || k.lost)
	}
	waitForRoutes(ctx, snapshot, left)
	return nil
}

// patience is how long the request waits for its key to be owned. Where the time is
// known in which an answer is worth most, it is better told to come back after it.
func (k *keyed) patience() time.Duration {
	if k.kind.Aim > 0 {
		return min(k.kind.Aim, k.f.patience)
	}
	return k.f.patience
}

// movePatience is how long the request waits for a key that changes hands. That is
// over soon, and an answer that comes late serves the caller better than a refusal, as
// long as there is time to come back.
func (k *keyed) movePatience() time.Duration {
	return max(k.patience(), min(movePatience, k.req.Wait/2))
}

// try sends the request to the owner once. It returns nil if it is to be routed
// again.
func (k *keyed) try(ctx context.Context, snapshot *routes.Snapshot, route routes.Route) *wire.Response {
	response, err := k.sendWatching(ctx, route)
	switch {
	case err == nil && !response.NotOwner:
		return k.final(response)
	case err == nil:
		// What a target itself has rejected counts as a try of the service.
		if k.kind.Single && response.Reason == targethttp.ReasonFence && !k.f.mayRetry(k.req.Service) {
			return refuse(owner.ReasonMoving, k.lost)
		}
		return k.again(ctx, snapshot, pause, owner.ReasonMoving)
	case notBegun(err):
		return k.again(ctx, snapshot, pause, ReasonUnreachable)
	}
	k.lost = true
	k.req.FirstAttempt = false
	if ctx.Err() != nil {
		return ended(ctx, true)
	}
	// A request that may not be repeated is known to the owner by its ID, also
	// to the next owner, so that asking again runs nothing twice.
	if !k.kind.Remembered() && !k.mayRepeat() {
		return refuse(ReasonLost, true)
	}
	if errors.Is(err, errRerouted) {
		return k.again(ctx, snapshot, 0, ReasonLost)
	}
	return k.again(ctx, snapshot, pause, ReasonLost)
}

// mayRepeat tells whether a request that may have run is sent once more.
func (k *keyed) mayRepeat() bool {
	k.offers++
	return k.kind.Repeatable() && k.offers < attempts(k.kind) && k.f.mayRetry(k.req.Service)
}

// again waits before the next try, and returns the refusal if there is to be none.
func (k *keyed) again(ctx context.Context, snapshot *routes.Snapshot, wait time.Duration, reason string) *wire.Response {
	now := time.Now()
	if k.unserved.IsZero() {
		k.unserved = now
	}
	patience := k.patience()
	if reason == owner.ReasonMoving {
		patience = k.movePatience()
	}
	if k.f.once || k.kind.Aim > 0 && now.Sub(k.unserved) > patience {
		return refuse(reason, k.asked || k.lost)
	}
	waitForRoutes(ctx, snapshot, wait)
	return nil
}

// final keeps a refusal truthful: it says nothing about an earlier try that is
// still on its way, nor, from an owner that does not know the kind, about an
// earlier request with the same ID.
func (k *keyed) final(r *wire.Response) *wire.Response {
	if r.Outcome != wire.OutcomeNotRun || !k.lost && (!k.asked || r.Reason != owner.ReasonKind) {
		return r
	}
	// The answer of a run may be shared with others who wait for it.
	doubtful := *r
	doubtful.Outcome = wire.OutcomeUnknown
	return &doubtful
}

var errRerouted = errors.New("the key has a new owner")

// watchAfter is how long a request is with its owner before a change of owner is
// looked out for; a lease outlasts it by far.
const watchAfter = 100 * time.Millisecond

// sendWatching sends the request to the owner, and gives that up as soon as the
// key has another owner: the first has then lost its lease.
func (k *keyed) sendWatching(ctx context.Context, route routes.Route) (*wire.Response, error) {
	if k.kind.Single && !k.kind.Repeatable() || route.Owner.Generation == k.f.own.Standing().Generation {
		return k.f.send(ctx, route.Owner, route.Epoch, k.req)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(watchAfter, func() { k.watch(ctx, route, cancel) })
	defer watch.Stop()
	return k.f.send(ctx, route.Owner, route.Epoch, k.req)
}

func (k *keyed) watch(ctx context.Context, route routes.Route, cancel context.CancelCauseFunc) {
	for {
		snapshot := k.f.own.Standing().Snapshot
		now, ok := snapshot.Lookup(k.req.Service, k.req.Key)
		closed := snapshot.Owner(route.Owner.Generation) == nil
		if closed || ok && now.Owner != nil && now.Owner.Generation != route.Owner.Generation && now.Epoch > route.Epoch {
			cancel(errRerouted)
			return
		}
		select {
		case <-snapshot.Changed():
		case <-ctx.Done():
			return
		}
	}
}
