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
	"fulmarrun/routes"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// pool chooses among the members that may serve one kind of an unkeyed service.
type pool struct {
	mu       sync.Mutex
	choice   *admission.Pool
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
		p = &pool{choice: admission.NewPool(f.options...), hedge: admission.NewHedge(f.options...)}
		f.pools[name] = p
	}
	return p
}

// pick chooses a member apart from those already tried.
func (p *pool) pick(s *owner.ServingState, kind *config.Kind, service string, tried []wire.Generation) *routes.Owner {
	if s.Table == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.snapshot != s.Snapshot || p.table != s.Table {
		p.choice.Set(serving(s, kind, service), now)
		if kind.Single {
			p.choice.Near(func(g wire.Generation) bool {
				m := s.Snapshot.Owner(g)
				return m != nil && m.Domain == s.Domain
			})
		}
		p.snapshot, p.table = s.Snapshot, s.Table
	}
	g, ok := p.choice.Pick(now, tried...)
	if !ok {
		return nil
	}
	return s.Snapshot.Owner(g)
}

// serving returns the members that may be given new work of a kind.
func serving(s *owner.ServingState, kind *config.Kind, service string) []wire.Generation {
	var out []wire.Generation
	for _, m := range s.Snapshot.Members(service) {
		if m.AcceptsWork(s.Table.Out) && kind.Serves(m.Domain, m.Instance) {
			out = append(out, m.Generation)
		}
	}
	return out
}

func (p *pool) start(g wire.Generation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.choice.Start(g, time.Now())
}

func (p *pool) done(g wire.Generation, took time.Duration, response *wire.Response, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	done := admission.Completion{Latency: took, Result: admission.OK}
	switch {
	case errors.Is(err, context.Canceled), err == nil && cancelled(response):
		done.Result = admission.Cancelled
	case err != nil || response.Outcome == wire.OutcomeUnknown:
		done.Result = admission.Failed
	case response.Outcome == wire.OutcomeNotRun:
		done.Result = admission.Shed
	default:
		p.hedge.Record(took)
	}
	p.choice.Done(g, done, time.Now())
}

// cancelled tells whether a member stopped a request because it was told to.
func cancelled(r *wire.Response) bool {
	return r.Reason == targethttp.ReasonCancel || r.Reason == admission.ReasonCancelled
}

func (p *pool) hedgeAfter(kind *config.Kind) (time.Duration, bool) {
	if !kind.Hedgeable() {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedge.After(kind.Repeat.Price)
}

// attempt is the end of one try.
type attempt struct {
	response *wire.Response
	err      error
}

// unkeyed is one request of an unkeyed kind on its way.
type unkeyed struct {
	f       *Forwarder
	pool    *pool
	kind    *config.Kind
	req     *wire.Request
	tried   []wire.Generation
	running int
	// begun is true once a try may have run.
	begun bool
	// offers counts the tries that may have reached a target.
	offers  int
	refused *wire.Response
	ends    chan attempt
}

// maxTries bounds the tries of one request.
const maxTries = 4

// routeUnkeyed brings a request to one of the members, and to another if that
// one refuses, fails or is slow and the price of repeating allows.
func (f *Forwarder) routeUnkeyed(ctx context.Context, kind *config.Kind, req *wire.Request) *wire.Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := &unkeyed{
		f: f, pool: f.pool(kind, req.Service), kind: kind, req: req,
		ends: make(chan attempt, maxTries),
	}
	if ctx.Err() != nil {
		return ended(ctx, false)
	}
	if !u.start(ctx) {
		return wire.Refuse(ReasonUnreachable, ownerRetry)
	}
	var hedge <-chan time.Time
	if after, ok := u.pool.hedgeAfter(kind); ok {
		timer := time.NewTimer(after)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return u.over(ctx)
		case <-hedge:
			hedge = nil
			if u.offers+u.running < attempts(kind) && f.mayRetry(req.Service) {
				u.start(ctx)
			}
		case end := <-u.ends:
			if response := u.next(ctx, end); response != nil {
				return response
			}
		}
	}
}

// start sends the request to one more member, if there is one.
func (u *unkeyed) start(ctx context.Context) bool {
	if len(u.tried) >= maxTries {
		return false
	}
	to := u.pool.pick(u.f.own.ServingState(), u.kind, u.req.Service, u.tried)
	if to == nil {
		return false
	}
	u.tried = append(u.tried, to.Generation)
	u.running++
	u.pool.start(to.Generation)
	go func() {
		began := time.Now()
		var response *wire.Response
		var err error
		if panicked := guard.Run(func() { response, err = u.f.send(ctx, to, 0, u.req) }); panicked != nil {
			response, err = nil, fmt.Errorf("try at %s: %w", to.Instance, panicked)
		}
		u.pool.done(to.Generation, time.Since(began), response, err)
		u.ends <- attempt{response: response, err: err}
	}()
	return true
}

// note takes in the end of a try. It returns the answer, if it is one.
func (u *unkeyed) note(end attempt) *wire.Response {
	u.running--
	if offered(end) {
		u.offers++
	}
	switch {
	case end.err == nil && end.response.Outcome == wire.OutcomeAnswered:
		return end.response
	case notBegun(end.err):
	case end.err == nil && end.response.Outcome == wire.OutcomeNotRun:
		u.refused = end.response
	default:
		u.begun = true
	}
	return nil
}

// offered tells whether a try may have reached a target.
func offered(end attempt) bool {
	switch {
	case notBegun(end.err):
		return false
	case end.err != nil || end.response.Outcome != wire.OutcomeNotRun:
		return true
	default:
		return end.response.Reason == targethttp.ReasonShed || end.response.Reason == targethttp.ReasonFence
	}
}

// over returns the final answer at the end of the wait. What came at the same
// moment still counts.
func (u *unkeyed) over(ctx context.Context) *wire.Response {
	for {
		select {
		case end := <-u.ends:
			if response := u.note(end); response != nil {
				return response
			}
		default:
			return ended(ctx, u.begun || u.running > 0)
		}
	}
}

// next returns the final answer, or nil if another try is on its way.
func (u *unkeyed) next(ctx context.Context, end attempt) *wire.Response {
	if response := u.note(end); response != nil {
		return response
	}
	if u.running > 0 {
		return nil
	}
	if ctx.Err() != nil {
		return ended(ctx, u.begun)
	}
	if u.mayRetry(end) && u.start(ctx) {
		return nil
	}
	switch {
	case u.begun:
		return refuse(ReasonLost, true)
	case u.refused != nil:
		return u.refused
	default:
		return wire.Refuse(ReasonUnreachable, ownerRetry)
	}
}

// mayRetry tells whether the end of a try leaves room for another. One that was
// refused before it reached a target costs nothing of the budget, if the kind says
// that only targets count.
func (u *unkeyed) mayRetry(end attempt) bool {
	switch {
	case u.begun && !u.kind.Repeatable(), u.offers >= attempts(u.kind):
		return false
	case notBegun(end.err), u.kind.Single && !offered(end):
		return true
	default:
		return u.f.mayRetry(u.req.Service)
	}
}
