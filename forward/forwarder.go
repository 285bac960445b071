package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/admission"
	"fulmarrun/config"
	"fulmarrun/guard"
	"fulmarrun/owner"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

const (
	// ReasonNoOwner means that the key had no owner for as long as the request could
	// wait.
	ReasonNoOwner = "owner"
	// ReasonUnreachable means that the owner could not be reached, or did not start to
	// serve the request.
	ReasonUnreachable = "unreachable"
	// ReasonTimeout means that the time limit of the request was exceeded.
	ReasonTimeout = "timeout"
	// ReasonCancelled means that the caller closed its connection.
	ReasonCancelled = "cancelled"
	// ReasonLost means that the connection to the owner broke while the owner was
	// serving the request.
	ReasonLost = "lost"

	// moveRetryAfter is the mean Retry-After for a key that is being moved to another
	// owner; the value sent is random, between half and one and a half times this.
	moveRetryAfter = 500 * time.Millisecond
	// ownerRetryAfter is the Retry-After for a key whose owner was lost.
	ownerRetryAfter = time.Second
	// aliveTimeout is how long another daemon may take to show that it responds.
	aliveTimeout = 400 * time.Millisecond
	// defaultOwnerWait bounds how long a request waits for its key to get an owner.
	// A takeover has finished by then, or does not happen while the platform is down.
	defaultOwnerWait = 3 * time.Second
	// moveWait bounds how long a request whose kind has a latency goal waits for a key
	// that is being moved: the target of the old owner stops serving the key within
	// 100 ms of the notification, and the target of the new owner asks about once a
	// second which slots it is to hold.
	moveWait = 1200 * time.Millisecond
	// retryDelay is the delay before the next try after an owner has refused a
	// connection or does not own the key, so that it is not loaded with one try after
	// another; a change of the routes cuts the delay short.
	retryDelay = 50 * time.Millisecond
)

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithAdmission is a functional option that passes options to the retry budgets,
// the hedges and the member pools.
func WithAdmission(opts ...admission.Option) Option {
	return func(f *Forwarder) { f.options = opts }
}

// WithCall is a functional option that replaces the function that calls another
// daemon.
func WithCall(call func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error)) Option {
	return func(f *Forwarder) { f.call = call }
}

// WithAliveCheck is a functional option that replaces the function that reports whether
// another daemon responds.
func WithAliveCheck(alive func(ctx context.Context, to *routes.Owner) bool) Option {
	return func(f *Forwarder) { f.alive = alive }
}

// WithOwnerWait is a functional option that sets how long a request waits for its
// key to get an owner.
func WithOwnerWait(d time.Duration) Option {
	return func(f *Forwarder) { f.ownerWait = d }
}

// WithoutKeyedRetry is a functional option for the baseline of measurements: a keyed
// request is tried once, and refused if its key has moved or its owner is lost. This
// fails the requests that the next owner would have served.
func WithoutKeyedRetry() Option {
	return func(f *Forwarder) { f.tryOnce, f.ownerWait = true, 0 }
}

// WithObserver is a functional option that sets a function to call after each try.
// The function must not block.
func WithObserver(observe func(Try)) Option {
	return func(f *Forwarder) { f.observe = observe }
}

// Try describes a finished try of a request at one daemon.
type Try struct {
	Request *wire.Request
	To      *routes.Owner
	// Epoch is the epoch of the route; zero if the request is not keyed.
	Epoch uint64
	// TimeLeft is what was left of the request's time limit when the try started.
	TimeLeft time.Duration
	Took     time.Duration
	// Response is nil if the try failed; Err is then the cause.
	Response *wire.Response
	Err      error
}

// Forwarder routes requests. It is safe for concurrent use.
type Forwarder struct {
	ownServer *owner.Server
	call      func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error)
	alive     func(ctx context.Context, to *routes.Owner) bool
	options   []admission.Option
	// ownerWait bounds how long a request waits for its key to get an owner.
	ownerWait time.Duration
	// tryOnce is true if a keyed request is never retried.
	tryOnce bool
	observe func(Try)
	// statements is what targets of other daemons have stated in their answers.
	statements statements

	mu sync.Mutex
	// budgets holds the retry budgets by service, pools the member pools by service
	// and kind.
	budgets map[string]*admission.RetryBudget
	pools   map[string]*pool
}

// NewForwarder returns a forwarder that passes requests to ownServer where this daemon may
// serve them, and calls the other daemons through peers, which may be nil with WithCall.
func NewForwarder(ownServer *owner.Server, peers *peer.Client, opts ...Option) *Forwarder {
	f := &Forwarder{
		ownServer: ownServer, budgets: make(map[string]*admission.RetryBudget), pools: make(map[string]*pool), ownerWait: defaultOwnerWait,
		observe: func(Try) {},
	}
	f.call = func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
		return peer.Call[wire.Response](ctx, peers, to.Peer, peer.KindRequest, req)
	}
	f.alive = func(ctx context.Context, to *routes.Owner) bool {
		if peers == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
		defer cancel()
		_, err := peer.Call[wire.Status](ctx, peers, to.Peer, peer.KindStatus, &wire.StatusRequest{From: ownServer.ServingState().Generation})
		return err == nil
	}
	for _, opt := range opts {
		opt(f)
	}
	f.options = append(slices.Clone(f.options), admission.WithMemberCount(func() int {
		return ownServer.ServingState().Snapshot.MemberCount()
	}))
	return f
}

// Route sends req, which is of the given kind, to a daemon that may serve it, with
// retries, and returns the final answer.
func (f *Forwarder) Route(ctx context.Context, kind *config.Kind, req *wire.Request) *wire.Response {
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	f.recordFirstTry(req.Service)
	if kind.Keyed() {
		return f.routeKeyed(ctx, kind, req)
	}
	return f.routeUnkeyed(ctx, kind, req)
}

// recordFirstTry adds to the retry budget of a service.
func (f *Forwarder) recordFirstTry(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).RecordRequest(time.Now())
}

// mayRetry spends a retry from the budget of a service. It reports false if the
// budget is exhausted.
func (f *Forwarder) mayRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).AllowRetry(time.Now())
}

// budget returns the retry budget of a service. The caller must hold f.mu.
func (f *Forwarder) budget(service string) *admission.RetryBudget {
	b := f.budgets[service]
	if b == nil {
		created := admission.NewRetryBudget(f.options...)
		b = &created
		f.budgets[service] = b
	}
	return b
}

// attempts returns the number of targets that a request of a kind may be sent to.
func attempts(kind *config.Kind) int {
	if kind.MaxAttempts > 0 {
		return kind.MaxAttempts
	}
	return maxTries
}

// send sends the request to one daemon with the remaining part of its time limit.
// The epoch is that of the route; zero if the request is not keyed.
func (f *Forwarder) send(ctx context.Context, to *routes.Owner, epoch uint64, req *wire.Request) (*wire.Response, error) {
	try := *req
	try.Epoch = epoch
	if deadline, ok := ctx.Deadline(); ok {
		try.Wait = time.Until(deadline)
	}
	if try.Wait <= 0 {
		return nil, fmt.Errorf("no time left: %w", peer.ErrNotSent)
	}
	started := time.Now()
	response, err := f.deliver(ctx, to, &try)
	f.observe(Try{
		Request: req, To: to, Epoch: epoch, TimeLeft: try.Wait, Took: time.Since(started), Response: response, Err: err,
	})
	return response, err
}

// serveHere serves the request at the target beside this daemon. A run that may not be repeated
// goes on after its caller has left, but is not waited for.
func (f *Forwarder) serveHere(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	if req.Epoch == 0 || !req.Policy.AtMostOnce {
		return f.ownServer.Serve(ctx, req), nil
	}
	served := make(chan *wire.Response, 1)
	var panicked error
	go func() {
		defer close(served)
		panicked = guard.Run(func() { served <- f.ownServer.Serve(ctx, req) })
	}()
	select {
	case response, ok := <-served:
		if !ok {
			return nil, fmt.Errorf("serve here: %w", panicked)
		}
		return response, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("serve here: %w", context.Cause(ctx))
	}
}

// deliver serves the request here if it is for this daemon, and calls the other
// daemon otherwise.
func (f *Forwarder) deliver(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
	if to.Generation == f.ownServer.ServingState().Generation {
		return f.serveHere(ctx, req)
	}
	sentAt := time.Now()
	req.Known = f.statements.known(to.Instance, sentAt)
	response, err := f.call(ctx, to, req)
	if err == nil && response.Outcome == wire.OutcomeAnswered {
		f.statements.record(to.Instance, response.Stated, sentAt, time.Now())
	}
	return response, err
}

// notStarted reports whether err means that the peer did not start serving the call.
func notStarted(err error) bool {
	return errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrRefused)
}

// IsUnreachable reports whether the error of a try means that the daemon could not be
// reached.
func IsUnreachable(err error) bool { return errors.Is(err, peer.ErrNotSent) }

// contextResponse returns the final answer to a request whose context has ended,
// because its time limit is exceeded or its caller closed the connection.
func contextResponse(ctx context.Context, mayHaveRun bool) *wire.Response {
	reason := ReasonTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = ReasonCancelled
	}
	return failureResponse(reason, mayHaveRun)
}

// failureResponse returns the final answer to a request that no daemon answered. The
// outcome is unknown if the request may have run.
func failureResponse(reason string, mayHaveRun bool) *wire.Response {
	retry := ownerRetryAfter
	if reason == owner.ReasonMoving {
		retry = moveRetryAfter/2 + rand.N(moveRetryAfter)
	}
	r := wire.Refuse(reason, retry)
	if mayHaveRun {
		r.Outcome = wire.OutcomeUnknown
	}
	return r
}

// waitForRoutes waits until the routes change, d has passed or ctx ends.
func waitForRoutes(ctx context.Context, s *routes.Snapshot, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Changed():
	case <-ctx.Done():
	}
}
