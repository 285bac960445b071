package forward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/admission"
	"fulmarrun/config"
	"fulmarrun/guard"
	"fulmarrun/owner"
	"fulmarrun/quarantine"
	"fulmarrun/routes"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// pool balances the requests of one kind of an unkeyed service over the members that
// may serve it.
type pool struct {
	mu       sync.Mutex
	members  *admission.Pool
	hedge    *admission.Hedge
	snapshot *routes.Snapshot
	table    *config.Table
}

func (f *Forwarder) pool(kind *config.Kind, service string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := service + "/" + kind.Name
	p := f.pools[name]
	if p == nil {
		p = &pool{members: admission.NewPool(f.options...), hedge: admission.NewHedge(f.options...)}
		f.pools[name] = p
	}
	return p
}

// pick returns a member that has not been tried yet, or nil if there is none.
func (p *pool) pick(s *owner.ServingState, kind *config.Kind, service string, tried []wire.Generation) *routes.Owner {
	if s.Table == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.snapshot != s.Snapshot || p.table != s.Table {
		p.members.SetMembers(eligible(s, kind, service), now)
		if kind.UniqueIDs {
			p.members.MarkLocal(func(g wire.Generation) bool {
				m := s.Snapshot.Owner(g)
				return m != nil && m.Domain == s.Domain
			})
		}
		p.snapshot, p.table = s.Snapshot, s.Table
	}
	g, ok := p.members.Pick(now, tried...)
	if !ok {
		return nil
	}
	return s.Snapshot.Owner(g)
}

// eligible returns the members that accept new requests of a kind.
func eligible(s *owner.ServingState, kind *config.Kind, service string) []wire.Generation {
	var out []wire.Generation
	for _, m := range s.Snapshot.Members(service) {
		if m.AcceptsWork(s.Table.DomainOut) && kind.AllowsTarget(m.Domain, m.Instance) {
			out = append(out, m.Generation)
		}
	}
	return out
}

func (p *pool) start(g wire.Generation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Start(g, time.Now())
}

// done records the result of a try at member g and its latency.
func (p *pool) done(g wire.Generation, took time.Duration, response *wire.Response, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	completion := admission.Completion{Latency: took, Result: admission.OK}
	switch {
	case errors.Is(err, context.Canceled), err == nil && cancelled(response):
		completion.Result = admission.Cancelled
	case err != nil || response.Outcome == wire.OutcomeUnknown:
		completion.Result = admission.Failed
	case response.Outcome == wire.OutcomeNotRun:
		completion.Result = admission.Shed
	default:
		p.hedge.Record(took)
	}
	p.members.Done(g, completion, time.Now())
}

// cancelled reports whether a member stopped a request because it was cancelled.
func cancelled(r *wire.Response) bool {
	return r.Reason == targethttp.ReasonCancel || r.Reason == admission.ReasonCancelled
}

// hedgeDelay returns the time after which a request is sent to a second member. It
// reports false if the request is not hedged.
func (p *pool) hedgeDelay(kind *config.Kind) (time.Duration, bool) {
	if !kind.Hedgeable() {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedge.Delay(kind.Repeat.Price)
}

// tryResult is the response or the error of one try.
type tryResult struct {
	response *wire.Response
	err      error
}

// unkeyedRequest is the state of a request of an unkeyed kind that is being routed.
type unkeyedRequest struct {
	f       *Forwarder
	pool    *pool
	kind    *config.Kind
	req     *wire.Request
	tried   []wire.Generation
	running int
	// mayHaveRun is true once a try may have run.
	mayHaveRun bool
	// targetTries counts the tries that may have reached a target.
	targetTries int
	refusal     *wire.Response
	results     chan tryResult
}

// maxTries bounds the number of tries of one request of an unkeyed kind.
const maxTries = 4

// routeUnkeyed sends a request to one of the members, and to another one if the
// first refuses, fails or is slow and the kind's price of a repetition allows it.
func (f *Forwarder) routeUnkeyed(ctx context.Context, kind *config.Kind, req *wire.Request) *wire.Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := &unkeyedRequest{
		f: f, pool: f.pool(kind, req.Service), kind: kind, req: req,
		results: make(chan tryResult, maxTries),
	}
	if ctx.Err() != nil {
		return contextResponse(ctx, false)
	}
	if !u.start(ctx) {
		return wire.Refuse(ReasonUnreachable, ownerRetryAfter)
	}
	var hedge <-chan time.Time
	if after, ok := u.pool.hedgeDelay(kind); ok {
		timer := time.NewTimer(after)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return u.expire(ctx)
		case <-hedge:
			hedge = nil
			if u.targetTries+u.running < attempts(kind) && f.mayRetry(req.Service) {
				u.start(ctx)
			}
		case result := <-u.results:
			if response := u.handleResult(ctx, result); response != nil {
				return response
			}
		}
	}
}

// start sends the request to one more member. It reports false if no member is left
// or maxTries is reached.
func (u *unkeyedRequest) start(ctx context.Context) bool {
	if len(u.tried) >= maxTries {
		return false
	}
	to := u.pool.pick(u.f.ownServer.ServingState(), u.kind, u.req.Service, u.tried)
	if to == nil {
		return false
	}
	u.tried = append(u.tried, to.Generation)
	u.running++
	u.pool.start(to.Generation)
	go func() {
		started := time.Now()
		var response *wire.Response
		var err error
		if panicErr := guard.Run(func() { response, err = u.f.send(ctx, to, 0, u.req) }); panicErr != nil {
			response, err = nil, fmt.Errorf("try at %s: %w", to.Instance, panicErr)
		}
		u.pool.done(to.Generation, time.Since(started), response, err)
		u.results <- tryResult{response: response, err: err}
	}()
	return true
}

// record notes the result of a try. It returns the response if the member answered.
func (u *unkeyedRequest) record(result tryResult) *wire.Response {
	u.running--
	if mayHaveReachedTarget(result) {
		u.targetTries++
	}
	switch {
	case result.err == nil && result.response.Outcome == wire.OutcomeAnswered:
		return result.response
	case notStarted(result.err):
	case result.err == nil && result.response.Outcome == wire.OutcomeNotRun:
		u.refusal = result.response
	default:
		u.mayHaveRun = true
	}
	return nil
}

// mayHaveReachedTarget reports whether a try may have reached a target.
func mayHaveReachedTarget(result tryResult) bool {
	switch {
	case notStarted(result.err):
		return false
	case result.err != nil || result.response.Outcome != wire.OutcomeNotRun:
		return true
	default:
		return result.response.Reason == targethttp.ReasonShed || result.response.Reason == targethttp.ReasonFence
	}
}

// expire returns the final answer when the context ends. A result that has already
// arrived still counts.
func (u *unkeyedRequest) expire(ctx context.Context) *wire.Response {
	for {
		select {
		case result := <-u.results:
			if response := u.record(result); response != nil {
				return response
			}
		default:
			return contextResponse(ctx, u.mayHaveRun || u.running > 0)
		}
	}
}

// handleResult returns the final answer, or nil if another try is running.
func (u *unkeyedRequest) handleResult(ctx context.Context, result tryResult) *wire.Response {
	if response := u.record(result); response != nil {
		return response
	}
	if u.running > 0 {
		return nil
	}
	if ctx.Err() != nil {
		return contextResponse(ctx, u.mayHaveRun)
	}
	if u.mayRetry(result) && u.start(ctx) {
		return nil
	}
	switch {
	case u.mayHaveRun:
		return failureResponse(ReasonLost, true)
	case u.refusal != nil:
		return u.refusal
	default:
		return wire.Refuse(ReasonUnreachable, ownerRetryAfter)
	}
}

// mayRetry reports whether another try may follow this result. For a kind that limits
// only the tries at targets, a try that was refused before it reached a target
// spends nothing of the retry budget.
func (u *unkeyedRequest) mayRetry(result tryResult) bool {
	switch {
	case u.mayHaveRun && !u.kind.Repeatable(), u.targetTries >= attempts(u.kind):
		return false
	case result.err == nil && result.response.Reason == quarantine.ReasonShutOut:
		return false
	case notStarted(result.err), u.kind.UniqueIDs && !mayHaveReachedTarget(result):
		return true
	default:
		return u.f.mayRetry(u.req.Service)
	}
}
