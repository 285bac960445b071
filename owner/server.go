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
	// ReasonUnknownKind means that this daemon's configuration does not define the
	// kind.
	ReasonUnknownKind = "kind"
	// ReasonTimeout means that the time limit of the kind expired.
	ReasonTimeout = "timeout"
	// ReasonNoWitness means that the owner has no other daemon as a witness, or only
	// daemons that are leaving, so that it must not serve keyed requests.
	ReasonNoWitness = "alone"
	// ReasonMoving means that the key was being handed over for as long as the caller
	// could wait.
	ReasonMoving = "moving"

	// ReasonStopped means that the daemon is stopping.
	ReasonStopped = "stopped"
	// ReasonNotServed means that the target may not serve the kind, or belongs to
	// another service.
	ReasonNotServed = "elsewhere"
	// ReasonNotOwner means that another generation owns the key.
	ReasonNotOwner = "owned"
	// ReasonNoLease means that the lease has expired.
	ReasonNoLease = "lease"
	// ReasonNotGranted means that the target has not been granted the key yet, or that
	// the grant has been revoked.
	ReasonNotGranted = "grant"

	// leaseRetry is the retry delay for an owner without a lease: a take-over has
	// finished by then.
	leaseRetry = time.Second
)

// ErrNoLease is returned by CheckFence if this generation does not hold the lease.
var ErrNoLease = errors.New("no lease")

// Option configures a Server.
type Option func(*Server)

// WithoutWait is a functional option that rejects a request at once if its key is
// being handed over. It is the baseline for comparisons: it rejects requests that
// could have been served a moment later.
func WithoutWait() Option {
	return func(s *Server) { s.noWait = true }
}

// WithClock is a functional option that replaces the clock by which the lease
// expires.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.lease.now = now }
}

// WithGrantCheck is a functional option that sets granted, which reports whether the
// target holds a slot; a request for any other slot is routed again. The server
// calls onDenied if the target denies that it holds a slot.
func WithGrantCheck(granted func(slot uint32) bool, onDenied func(slot uint32)) Option {
	return func(s *Server) { s.granted, s.onDenied = granted, onDenied }
}

// WithKnownCondition is a functional option that sets a function to call with what the
// sender of a request knows about the target, before the request is admitted.
func WithKnownCondition(adopt func(*wire.TargetCondition)) Option {
	return func(s *Server) { s.adoptCondition = adopt }
}

// WithObserver is a functional option that sets a function to call at the end of
// each request. It must not block.
func WithObserver(observe func(ServedRequest)) Option {
	return func(s *Server) { s.observe = observe }
}

// WithTeam is a functional option that sets a function which returns the team of a request;
// empty if it belongs to none. Without it no request belongs to a team.
func WithTeam(team func(*wire.Request) string) Option {
	return func(s *Server) { s.team = team }
}

// Pass lets a request run at the target.
type Pass struct {
	// Confirm is called right before the request is sent. It returns the refusal of a request that
	// may no longer run.
	Confirm func() *wire.Response
	// Done is called once, with the response; nil if the request was not sent.
	Done func(*wire.Response)
}

// WithScreen is a functional option that sets a function to call before a request waits for
// admission. The function returns the refusal of a request that may not run.
func WithScreen(screen func(ctx context.Context, req *wire.Request) (Pass, *wire.Response)) Option {
	return func(s *Server) { s.screen = screen }
}

// ServedRequest describes a request that this daemon has finished.
type ServedRequest struct {
	Request  *wire.Request
	Response *wire.Response
	// LatencyGoal is the latency within which an answer has its full value; zero if
	// none is configured.
	LatencyGoal time.Duration
	// Took is the total time of the request at this daemon; Queued is the part of it
	// spent waiting for admission.
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
	// granted is nil if the target holds all slots that this daemon owns.
	granted  func(slot uint32) bool
	onDenied func(slot uint32)
	observe  func(ServedRequest)
	// screen is nil if each request may run.
	screen func(ctx context.Context, req *wire.Request) (Pass, *wire.Response)
	// adoptCondition is called with what the sender of a request knows about the target.
	adoptCondition func(*wire.TargetCondition)
	// team returns the team of a request.
	team func(*wire.Request) string

	ledger atomic.Pointer[outcome.Ledger]

	state         atomic.Pointer[ServingState]
	lease         *leaseClock
	running       atomic.Int64
	runningKeyed  atomic.Int64
	refuseUnkeyed atomic.Bool
	stopped       atomic.Bool
}

// NewServer returns a server that rejects all requests until Publish.
func NewServer(gate *admission.Gate, units *handover.Units, hot *handover.HotKeys, opts ...Option) *Server {
	s := &Server{gate: gate, units: units, hot: hot, rates: handover.NewRates(), lease: newLeaseClock(clock.Now), observe: func(ServedRequest) {}, adoptCondition: func(*wire.TargetCondition) {}, team: func(*wire.Request) string { return "" }}
	for _, opt := range opts {
		opt(s)
	}
	s.state.Store(&ServingState{Snapshot: routes.NewView().Snapshot()})
	return s
}

// SetClient sets the client of the target. It must be called before Serve.
func (s *Server) SetClient(c *targethttp.Client) { s.client = c }

// SetLedger sets the ledger of request IDs of the current generation.
func (s *Server) SetLedger(l *outcome.Ledger) { s.ledger.Store(l) }

// Rates returns the request rates of the slots at this daemon.
func (s *Server) Rates() *handover.Rates { return s.rates }

// Publish puts a new state in force and wakes the goroutines that wait for a change
// of the snapshot.
func (s *Server) Publish(next *ServingState) {
	old := s.state.Swap(next)
	if old.Snapshot != nil && old.Snapshot != next.Snapshot {
		old.Snapshot.Retire()
	}
}

// ServingState returns the state in force.
func (s *Server) ServingState() *ServingState { return s.state.Load() }

// SetLease sets the end of the lease; the zero time means no lease.
func (s *Server) SetLease(until time.Time) { s.lease.set(until) }

// LeaseUntil returns the end of the lease; the zero time if there is no lease.
func (s *Server) LeaseUntil() time.Time { return s.lease.end() }

// Expire drops the records of request IDs that are older than the retention.
func (s *Server) Expire() {
	if l := s.ledger.Load(); l != nil {
		l.Expire(time.Now())
	}
}

// RefuseUnkeyed sets whether to reject requests of unkeyed kinds, which other
// members can serve. Keyed requests wait until their slot is handed over.
func (s *Server) RefuseUnkeyed(refuse bool) { s.refuseUnkeyed.Store(refuse) }

// Stop makes the server answer all new requests as misrouted, so that their senders
// route them again.
func (s *Server) Stop() { s.stopped.Store(true) }

// CancelKeyed cancels all keyed requests that run at the target.
func (s *Server) CancelKeyed() { s.lease.cancelContext() }

// HasLease reports whether the lease is valid now.
func (s *Server) HasLease() bool { return s.lease.valid() }

// Running returns the number of requests that are being served.
func (s *Server) Running() int { return int(s.running.Load()) }

// RunningKeyed returns the number of keyed requests that are being served.
func (s *Server) RunningKeyed() int { return int(s.runningKeyed.Load()) }

// CheckFence reports whether a request may be sent to the target now. It is meant
// for targethttp.WithSendCheck.
func (s *Server) CheckFence(f targethttp.Fence) error {
	if f.Epoch == 0 {
		return nil
	}
	if f.Generation != s.state.Load().Generation || !s.lease.valid() {
		return ErrNoLease
	}
	return nil
}

// Serve runs a request at the target, within its time limit.
func (s *Server) Serve(ctx context.Context, req *wire.Request) *wire.Response {
	s.running.Add(1)
	defer s.running.Add(-1)
	if req.Known != nil {
		s.adoptCondition(req.Known)
	}
	began := time.Now()
	state := s.state.Load()
	kind := kindOf(state, req)
	if kind == nil {
		return wire.Refuse(ReasonUnknownKind, leaseRetry)
	}
	j := &job{req: req, kind: kind, lease: context.Background()}
	response := s.serve(ctx, j, state)
	s.observe(ServedRequest{Request: req, Response: response, LatencyGoal: kind.LatencyGoal, Took: time.Since(began), Queued: j.queued})
	return response
}

func (s *Server) serve(ctx context.Context, j *job, state *ServingState) *wire.Response {
	if s.stopped.Load() {
		return misrouted(ReasonStopped)
	}
	if j.req.Service != state.Service || !j.kind.AllowsTarget(state.Domain, state.Instance) {
		return misrouted(ReasonNotServed)
	}
	ctx, cancel := withWait(ctx, j.req.Wait)
	defer cancel()
	if j.kind.Keyed() {
		return s.serveKeyed(ctx, j)
	}
	if s.refuseUnkeyed.Load() {
		return wire.Refuse(admission.ReasonDraining, leaseRetry)
	}
	return s.run(ctx, j)
}

// kindOf returns the kind of a request, from the policy in the request or else from
// the configuration; nil if the configuration does not define it.
func kindOf(state *ServingState, req *wire.Request) *config.Kind {
	if req.Policy.Present {
		return &config.Kind{
			Name: req.Kind, Ranged: req.Policy.Keyed, UniqueIDs: true,
			Repeat: config.Cost{AtMostOnce: req.Policy.AtMostOnce}, Priority: req.Policy.Priority, LatencyGoal: req.Policy.LatencyGoal,
		}
	}
	if state.Table == nil {
		return nil
	}
	kind, ok := state.Table.Kind(req.Service, req.Kind)
	if !ok {
		return nil
	}
	return kind
}

// withWait limits ctx to the remaining wait of a request. The context of a request
// that comes from this process already has a deadline.
func withWait(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, wait)
}

// serveKeyed serves a request in the unit of its key. It waits while the unit is
// being handed over.
func (s *Server) serveKeyed(ctx context.Context, j *job) *wire.Response {
	s.runningKeyed.Add(1)
	defer s.runningKeyed.Add(-1)
	req, kind := j.req, j.kind
	for {
		state := s.state.Load()
		route, ok := state.Snapshot.Lookup(req.Service, req.Key)
		if !owns(state, route, ok) {
			return misrouted(ReasonNotOwner)
		}
		if state.NoWitness {
			return RefuseUnchecked(req, kind, ReasonNoWitness)
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
			if s.state.Load() != state && !s.stillOwns(req, route) {
				s.units.Leave(unit)
				continue
			}
			defer s.units.Leave(unit)
			return s.confirmRefusal(s.serveUnit(ctx, j, unit, route))
		}
		if s.noWait {
			return RefuseUnchecked(req, kind, ReasonMoving)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return RefuseUnchecked(req, kind, ReasonMoving)
		}
	}
}

// RefuseUnchecked returns the answer to an attempt that did not run and for which no
// ledger was checked. If the caller chose the request ID, an earlier attempt with that
// ID may have run, and only the owner can rule that out by its ledger.
func RefuseUnchecked(req *wire.Request, kind *config.Kind, reason string) *wire.Response {
	r := wire.Refuse(reason, leaseRetry)
	if kind.Deduplicated() && !req.FirstAttempt {
		r.Outcome = wire.OutcomeUnknown
	}
	return r
}

// confirmRefusal returns a refusal as it is only if the lease is still valid after
// the decision: an owner without a lease cannot know what its successor has run.
func (s *Server) confirmRefusal(r *wire.Response) *wire.Response {
	if r.Outcome == wire.OutcomeNotRun && !s.lease.valid() {
		return misrouted(ReasonNoLease)
	}
	return r
}

// misrouted returns an answer that makes the sender route the request again; the
// reason is for the log.
func misrouted(reason string) *wire.Response {
	r := wire.Misrouted()
	r.Reason = reason
	return r
}

func owns(state *ServingState, route routes.Route, ok bool) bool {
	return ok && !state.Closing && route.Owner != nil && route.Owner.Generation == state.Generation
}

func (s *Server) stillOwns(req *wire.Request, before routes.Route) bool {
	state := s.state.Load()
	route, ok := state.Snapshot.Lookup(req.Service, req.Key)
	return owns(state, route, ok) && route.Epoch == before.Epoch && route.Hot == before.Hot
}

func unitOf(req *wire.Request, route routes.Route) outcome.Unit {
	if route.Hot {
		return outcome.Unit{Service: req.Service, HotKey: req.Key}
	}
	return outcome.Unit{Service: req.Service, Slot: route.Slot}
}

// serveUnit runs a keyed request in its unit. A request that must not be repeated
// goes through the ledger.
func (s *Server) serveUnit(ctx context.Context, j *job, unit outcome.Unit, route routes.Route) *wire.Response {
	s.hot.Observe(j.req.Key, rand.Uint64())
	s.rates.Observe(route.Slot)
	j.unit, j.lease = unit, s.leaseContext()
	j.fence = targethttp.Fence{
		Service: j.req.Service, Slot: route.Slot, Epoch: route.Epoch,
		Generation: route.Owner.Generation,
	}
	if j.kind.Deduplicated() {
		return s.runOnce(ctx, j)
	}
	return s.run(ctx, j)
}

// leaseContext returns a context that is cancelled when running requests must stop:
// at the end of the lease, unless the target itself stops them when its grant ends.
func (s *Server) leaseContext() context.Context {
	if s.granted != nil {
		return context.Background()
	}
	return s.lease.context.Load().ctx
}

// job is one request that this daemon may run.
type job struct {
	req   *wire.Request
	kind  *config.Kind
	unit  outcome.Unit
	fence targethttp.Fence
	// lease is cancelled when the lease under which the request was admitted ends.
	lease context.Context
	// queued is how long the request waited for admission.
	queued time.Duration
}

// run sends the request to the target, if it passes the screen.
func (s *Server) run(ctx context.Context, j *job) *wire.Response {
	if s.screen == nil {
		return s.admitAndSend(ctx, j, func() *wire.Response { return nil })
	}
	began := time.Now()
	pass, refusal := s.screen(ctx, j.req)
	j.queued += time.Since(began)
	if refusal != nil {
		return refusal
	}
	var response *wire.Response
	// Deferred, so that a panic does not leave the request at work.
	defer func() { pass.Done(response) }()
	response = s.admitAndSend(ctx, j, pass.Confirm)
	return response
}

// admitAndSend waits for admission and sends the request to the target, unless confirm refuses it.
func (s *Server) admitAndSend(ctx context.Context, j *job, confirm func() *wire.Response) *wire.Response {
	deadline, _ := ctx.Deadline()
	enqueued := time.Now()
	permit, recalled, err := s.admit(ctx, j, deadline)
	j.queued += time.Since(enqueued)
	if recalled {
		return misrouted(ReasonMoving)
	}
	if err != nil {
		return s.refuseAdmission(j, err)
	}
	run, cancel := runContext(ctx, j.kind, deadline)
	defer cancel()
	defer context.AfterFunc(j.lease, cancel)()
	done := admission.Completion{Result: admission.Failed}
	// Deferred, so that a panic does not leak the permit.
	defer func() { permit.Done(done) }()
	if refusal := confirm(); refusal != nil {
		done.Result = admission.Cancelled
		return refusal
	}
	start := time.Now()
	response, err := s.dispatch(run, j)
	done = admission.Completion{Latency: time.Since(start), Result: result(response, err)}
	return response
}

// admit waits until the request may be sent to the target. A keyed request whose
// slot is about to be handed over is recalled from the queue.
func (s *Server) admit(ctx context.Context, j *job, deadline time.Time) (p admission.Permit, recalled bool, err error) {
	ticket := admission.Ticket{
		Class: admission.Class(j.kind.Class), Deadline: deadline, Depth: j.req.Depth,
		Kind: j.req.Kind, Team: s.team(j.req), Priority: j.kind.Priority, Bytes: int64(len(j.req.Body)),
	}
	if j.kind.LatencyGoal > 0 {
		ticket = ticket.WithLatencyGoal(j.kind.LatencyGoal, time.Now())
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

// dispatch sends the request to the target. A target that has not been granted the
// slot yet, or that knows a later epoch, rejects the request, which is then routed
// again.
func (s *Server) dispatch(ctx context.Context, j *job) (*wire.Response, error) {
	response, err := s.client.Do(ctx, j.req, j.fence)
	if response.Outcome == wire.OutcomeNotRun && response.Reason == targethttp.ReasonFence {
		response.NotOwner = true
		if s.onDenied != nil && j.fence.Epoch > 0 {
			s.onDenied(j.fence.Slot)
		}
	}
	return response, err
}

// runContext returns the context of a run. A request that must not be repeated
// continues after its caller has disconnected: its answer is stored for a retry.
func runContext(ctx context.Context, kind *config.Kind, deadline time.Time) (context.Context, context.CancelFunc) {
	if kind.Repeatable() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// result classifies a response for admission. A timeout, by the clock of this daemon
// or of the target, counts as cancelled: it shows only that the answer takes longer
// than the time that the request had left.
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

// refuseAdmission returns the answer to a request that was not admitted. If the
// target is leaving, a keyed request is routed again, to the next owner of its key.
func (s *Server) refuseAdmission(j *job, err error) *wire.Response {
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
