package owner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/admission"
	"fulmarrun/clock"
	"fulmarrun/config"
	"fulmarrun/handover"
	"fulmarrun/outcome"
	"fulmarrun/routes"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// ReasonUnknownKind says that this daemon's configuration has no such kind.
	ReasonUnknownKind = "kind"
	// ReasonTimeout says that the wait of the kind ran out.
	ReasonTimeout = "timeout"
	// ReasonNoWitness says that the owner has no other daemon as a witness, or none
	// that stays, so that it may not serve keys.
	ReasonNoWitness = "alone"
	// ReasonMoving says that the key changed hands for as long as the caller
	// could wait.
	ReasonMoving = "moving"

	// ReasonStopped says that the daemon is to stop.
	ReasonStopped = "stopped"
	// ReasonNotServed says that the target may not serve the kind, or serves another
	// service.
	ReasonNotServed = "elsewhere"
	// ReasonNotOwner says that another generation owns the key.
	ReasonNotOwner = "owned"
	// ReasonNoLease says that the lease has run out.
	ReasonNoLease = "lease"
	// ReasonNotGranted says that the target has not been granted the key yet, or that the
	// grant is taken back.
	ReasonNotGranted = "grant"

	// leaseRetry is when to come back to an owner without a lease: a take-over
	// is over by then.
	leaseRetry = time.Second
)

// ErrNoLease is the error of a dispatch without a lease.
var ErrNoLease = errors.New("no lease")

// Option configures a Server.
type Option func(*Server)

// WithoutWait is a functional option that is the baseline: a request for a key
// that is changing hands is refused at once. It costs the requests that would
// have been served a moment later.
func WithoutWait() Option {
	return func(s *Server) { s.noWait = true }
}

// WithClock is a functional option that replaces the clock that the lease is
// judged by.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.lease.now = now }
}

// WithGrantCheck is a functional option that tells which slots the target holds. A
// request for another is routed again. Refute is called if the target denies to
// hold one.
func WithGrantCheck(granted func(slot uint32) bool, refute func(slot uint32)) Option {
	return func(s *Server) { s.granted, s.refute = granted, refute }
}

// WithObserver is a functional option that names what is told of each request at its
// end. It must not block.
func WithObserver(observe func(ServedRequest)) Option {
	return func(s *Server) { s.observe = observe }
}

// ServedRequest is the end of a request at this daemon.
type ServedRequest struct {
	Request  *wire.Request
	Response *wire.Response
	// LatencyGoal is the time within which an answer is worth most; zero if not said.
	LatencyGoal time.Duration
	// Took is how long the request was here, and Queued how much of that it waited
	// for admission.
	Took   time.Duration
	Queued time.Duration
}

// Server runs requests at the target beside this daemon.
type Server struct {
	gate   *admission.Gate
	client *targethttp.Client
	units  *handover.Units
	hot    *handover.HotKeys
	rates  *handover.Rates
	noWait bool
	// granted is nil if the target holds whatever is owned here.
	granted func(slot uint32) bool
	refute  func(slot uint32)
	observe func(ServedRequest)

	ledger atomic.Pointer[outcome.Ledger]

	standing      atomic.Pointer[ServingState]
	lease         *leaseClock
	running       atomic.Int64
	runningKeyed  atomic.Int64
	refuseUnkeyed atomic.Bool
	stopped       atomic.Bool
}

// NewServer returns a server that refuses everything until Publish.
func NewServer(gate *admission.Gate, units *handover.Units, hot *handover.HotKeys, opts ...Option) *Server {
	s := &Server{gate: gate, units: units, hot: hot, rates: handover.NewRates(), lease: newLeaseClock(clock.Now), observe: func(ServedRequest) {}}
	for _, opt := range opts {
		opt(s)
	}
	s.standing.Store(&ServingState{Snapshot: routes.NewView().Snapshot()})
	return s
}

// SetClient sets the client of the target; it must be called before Serve.
func (s *Server) SetClient(c *targethttp.Client) { s.client = c }

// SetLedger sets the memory of request IDs of the present generation.
func (s *Server) SetLedger(l *outcome.Ledger) { s.ledger.Store(l) }

// Rates returns how many requests each slot gets here.
func (s *Server) Rates() *handover.Rates { return s.rates }

// Publish makes a new standing visible and wakes those who wait for a change.
func (s *Server) Publish(next *ServingState) {
	old := s.standing.Swap(next)
	if old.Snapshot != nil && old.Snapshot != next.Snapshot {
		old.Snapshot.Retire()
	}
}

// ServingState returns the standing in force.
func (s *Server) ServingState() *ServingState { return s.standing.Load() }

// SetLease sets the end of the lease; the zero time is none.
func (s *Server) SetLease(until time.Time) { s.lease.set(until) }

// LeaseUntil returns the end of the lease; the zero time if there is none.
func (s *Server) LeaseUntil() time.Time { return s.lease.end() }

// Expire forgets the request IDs that are older than the retention.
func (s *Server) Expire() {
	if l := s.ledger.Load(); l != nil {
		l.Expire(time.Now())
	}
}

// RefuseUnkeyed tells whether to refuse requests of unkeyed kinds: other members can
// serve them. Keyed requests wait for their slot to change hands.
func (s *Server) RefuseUnkeyed(refuse bool) { s.refuseUnkeyed.Store(refuse) }

// Stop has all new requests routed again.
func (s *Server) Stop() { s.stopped.Store(true) }

// CancelKeyed cancels all keyed requests that run at the target.
func (s *Server) CancelKeyed() { s.lease.lapse() }

// HasLease tells whether the lease holds now.
func (s *Server) HasLease() bool { return s.lease.valid() }

// Running returns how many requests are being served here.
func (s *Server) Running() int { return int(s.running.Load()) }

// RunningKeyed returns how many requests of keyed kinds are being served here.
func (s *Server) RunningKeyed() int { return int(s.runningKeyed.Load()) }

// CheckFence tells whether a request may go to the target right now. It is the
// check of targethttp.WithCheck.
func (s *Server) CheckFence(f targethttp.Fence) error {
	if f.Epoch == 0 {
		return nil
	}
	if f.Generation != s.standing.Load().Generation || !s.lease.valid() {
		return ErrNoLease
	}
	return nil
}

// Serve runs a request at the target, within its wait.
func (s *Server) Serve(ctx context.Context, req *wire.Request) *wire.Response {
	s.running.Add(1)
	defer s.running.Add(-1)
	began := time.Now()
	standing := s.standing.Load()
	kind := kindOf(standing, req)
	if kind == nil {
		return wire.Refuse(ReasonUnknownKind, leaseRetry)
	}
	j := &job{req: req, kind: kind, lease: context.Background()}
	response := s.serve(ctx, j, standing)
	s.observe(ServedRequest{Request: req, Response: response, LatencyGoal: kind.Aim, Took: time.Since(began), Queued: j.queued})
	return response
}

func (s *Server) serve(ctx context.Context, j *job, standing *ServingState) *wire.Response {
	if s.stopped.Load() {
		return misrouted(ReasonStopped)
	}
	if j.req.Service != standing.Service || !j.kind.Serves(standing.Domain, standing.Instance) {
		return misrouted(ReasonNotServed)
	}
	ctx, cancel := within(ctx, j.req.Wait)
	defer cancel()
	if j.kind.Keyed() {
		return s.serveKeyed(ctx, j)
	}
	if s.refuseUnkeyed.Load() {
		return wire.Refuse(admission.ReasonDraining, leaseRetry)
	}
	return s.run(ctx, j)
}

// kindOf returns the kind of a request: as its terms have it, or by name; nil if
// it is not known here.
func kindOf(standing *ServingState, req *wire.Request) *config.Kind {
	if req.Policy.Present {
		return &config.Kind{
			Name: req.Kind, Ranged: req.Policy.Keyed, Single: true,
			Repeat: config.Cost{Never: req.Policy.AtMostOnce}, Priority: req.Policy.Priority, Aim: req.Policy.LatencyGoal,
		}
	}
	if standing.Table == nil {
		return nil
	}
	kind, ok := standing.Table.Kind(req.Service, req.Kind)
	if !ok {
		return nil
	}
	return kind
}

// within bounds ctx by the wait of a request. One that comes from this process
// has its deadline already.
func within(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, wait)
}

// serveKeyed enters the unit of the key, waiting while it changes hands.
func (s *Server) serveKeyed(ctx context.Context, j *job) *wire.Response {
	s.runningKeyed.Add(1)
	defer s.runningKeyed.Add(-1)
	req, kind := j.req, j.kind
	for {
		standing := s.standing.Load()
		route, ok := standing.Snapshot.Lookup(req.Service, req.Key)
		if !owns(standing, route, ok) {
			return misrouted(ReasonNotOwner)
		}
		if standing.NoWitness {
			return unheard(req, kind, ReasonNoWitness)
		}
		if !s.lease.valid() {
			return misrouted(ReasonNoLease)
		}
		if s.granted != nil && !s.granted(route.Slot) {
			return misrouted(ReasonNotGranted)
		}
		unit := unitOf(req, route)
		wait := s.units.Enter(unit)
		if wait == nil {
			if s.standing.Load() != standing && !s.stillOwns(req, route) {
				s.units.Leave(unit)
				continue
			}
			defer s.units.Leave(unit)
			return s.confirm(s.serveUnit(ctx, j, unit, route))
		}
		if s.noWait {
			return unheard(req, kind, ReasonMoving)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return unheard(req, kind, ReasonMoving)
		}
	}
}

// unheard returns the answer to a request whose try did not run and that no
// owner's memory has been asked about. An ID of the caller's own may have run in
// an earlier try, so that only the owner can say that it did not.
func unheard(req *wire.Request, kind *config.Kind, reason string) *wire.Response {
	r := wire.Refuse(reason, leaseRetry)
	if kind.Remembered() && !req.FirstAttempt {
		r.Outcome = wire.OutcomeUnknown
	}
	return r
}

// confirm keeps a refusal only if the lease still holds after it was decided: an
// owner without a lease cannot know what its successor has run.
func (s *Server) confirm(r *wire.Response) *wire.Response {
	if r.Outcome == wire.OutcomeNotRun && !s.lease.valid() {
		return misrouted(ReasonNoLease)
	}
	return r
}

// misrouted has the sender route the request again; the reason is for the log.
func misrouted(reason string) *wire.Response {
	r := wire.Misrouted()
	r.Reason = reason
	return r
}

func owns(standing *ServingState, route routes.Route, ok bool) bool {
	return ok && !standing.Closing && route.Owner != nil && route.Owner.Generation == standing.Generation
}

func (s *Server) stillOwns(req *wire.Request, before routes.Route) bool {
	standing := s.standing.Load()
	route, ok := standing.Snapshot.Lookup(req.Service, req.Key)
	return owns(standing, route, ok) && route.Epoch == before.Epoch && route.Hot == before.Hot
}

func unitOf(req *wire.Request, route routes.Route) outcome.Unit {
	if route.Hot {
		return outcome.Unit{Service: req.Service, HotKey: req.Key}
	}
	return outcome.Unit{Service: req.Service, Slot: route.Slot}
}

// serveUnit runs a keyed request in its unit; one that may not be repeated goes
// through the memory of request IDs.
func (s *Server) serveUnit(ctx context.Context, j *job, unit outcome.Unit, route routes.Route) *wire.Response {
	s.hot.Observe(j.req.Key, rand.Uint64())
	s.rates.Observe(route.Slot)
	j.unit, j.lease = unit, s.runningLease()
	j.fence = targethttp.Fence{
		Service: j.req.Service, Slot: route.Slot, Epoch: route.Epoch,
		Generation: route.Owner.Generation,
	}
	if j.kind.Remembered() {
		return s.runOnce(ctx, j)
	}
	return s.run(ctx, j)
}

// runningLease ends when requests that run have to be cancelled: with the lease,
// unless the target ends them itself when its grant does.
func (s *Server) runningLease() context.Context {
	if s.granted != nil {
		return context.Background()
	}
	return s.lease.context.Load().ctx
}

// job is one request that may run here.
type job struct {
	req   *wire.Request
	kind  *config.Kind
	unit  outcome.Unit
	fence targethttp.Fence
	// lease ends when the lease that the request is admitted under has lapsed.
	lease context.Context
	// queued is how long it waited for admission.
	queued time.Duration
}

// run passes admission and hands the request to the target.
func (s *Server) run(ctx context.Context, j *job) *wire.Response {
	deadline, _ := ctx.Deadline()
	came := time.Now()
	permit, recalled, err := s.admit(ctx, j, deadline)
	j.queued += time.Since(came)
	if recalled {
		return misrouted(ReasonMoving)
	}
	if err != nil {
		return s.refused(j, err)
	}
	run, cancel := runContext(ctx, j.kind, deadline)
	defer cancel()
	defer context.AfterFunc(j.lease, cancel)()
	done := admission.Completion{Result: admission.Failed}
	// A panic must not keep the permit.
	defer func() { permit.Done(done) }()
	start := time.Now()
	response, err := s.dispatch(run, j)
	done = admission.Completion{Latency: time.Since(start), Result: result(response, err)}
	return response
}

// admit waits until the target may be given the request. A keyed request whose
// slot is about to change hands is recalled from the queue.
func (s *Server) admit(ctx context.Context, j *job, deadline time.Time) (p admission.Permit, recalled bool, err error) {
	ticket := admission.Ticket{
		Class: admission.Class(j.kind.Class), Deadline: deadline, Depth: j.req.Depth,
	}
	if j.kind.Aim > 0 {
		ticket = ticket.Aimed(j.kind.Aim, time.Now())
	}
	if j.fence.Epoch == 0 {
		p, err = s.gate.Enter(ctx, ticket)
		return p, false, err
	}
	queue := &queueContext{Context: ctx, units: s.units, unit: j.unit}
	p, err = s.gate.Enter(queue, ticket)
	recalled = queue.end()
	return p, err != nil && recalled, err
}

// dispatch hands the request to the target. A target that has not been granted
// the slot yet, or knows a later epoch, rejects it; it is then routed again.
func (s *Server) dispatch(ctx context.Context, j *job) (*wire.Response, error) {
	response, err := s.client.Do(ctx, j.req, j.fence)
	if response.Outcome == wire.OutcomeNotRun && response.Reason == targethttp.ReasonFence {
		response.NotOwner = true
		if s.refute != nil && j.fence.Epoch > 0 {
			s.refute(j.fence.Slot)
		}
	}
	return response, err
}

// runContext lets a request that may not be repeated run on when its caller has
// gone: the answer is kept for when the caller asks again.
func runContext(ctx context.Context, kind *config.Kind, deadline time.Time) (context.Context, context.CancelFunc) {
	if kind.Repeatable() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// result tells admission how a request ended. One that ran out of its time, by
// this daemon's clock or the target's, shows only that its answer takes longer
// than it had left.
func result(r *wire.Response, err error) admission.Result {
	switch {
	case r.Reason == targethttp.ReasonShed:
		return admission.Shed
	case r.Reason == targethttp.ReasonCancel, r.Reason == targethttp.ReasonTimeout, r.Status == http.StatusGatewayTimeout:
		return admission.Cancelled
	case err != nil:
		return admission.Failed
	default:
		return admission.OK
	}
}

// refused returns the answer to a request that was not admitted. A key whose target
// leaves is served by its next owner.
func (s *Server) refused(j *job, err error) *wire.Response {
	response := refusal(err)
	if s.granted != nil && j.fence.Epoch > 0 && response.Reason == admission.ReasonDraining {
		return misrouted(admission.ReasonDraining)
	}
	return response
}

func refusal(err error) *wire.Response {
	var r *admission.Refusal
	if errors.As(err, &r) {
		return wire.Refuse(r.Reason, r.RetryAfter)
	}
	return wire.Refuse(ReasonTimeout, leaseRetry)
}
