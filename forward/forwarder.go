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
	"fulmarrun/owner"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

const (
	// ReasonNoOwner says that nobody owned the key for as long as the caller could
	// wait.
	ReasonNoOwner = "owner"
	// ReasonUnreachable says that the owner could not be reached.
	ReasonUnreachable = "unreachable"
	// ReasonTimeout says that the wait of the kind ran out.
	ReasonTimeout = "timeout"
	// ReasonCancelled says that the caller has gone.
	ReasonCancelled = "cancelled"
	// ReasonLost says that the connection to the owner broke while it had the
	// request.
	ReasonLost = "lost"

	// moveRetry is when to come back for a key that changes hands, before it is spread
	// over half to one and a half of it.
	moveRetry = 500 * time.Millisecond
	// ownerRetry is when to come back for a key whose owner was lost.
	ownerRetry = time.Second
	// ownerPatience bounds how long a request waits for a key to be owned: a
	// take-over is over by then, or does not come as long as the platform is
	// down.
	ownerPatience = 3 * time.Second
	// movePatience bounds how long a request waits for a key that changes hands, where
	// its kind has an aim: the giver's target lets go within 100 ms of being told, and
	// the taker's asks what it is to hold about once a second.
	movePatience = 1200 * time.Millisecond
	// pause spares an owner that has just refused a connection or disowned a
	// key, unless the routes change sooner.
	pause = 50 * time.Millisecond
)

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithAdmission is a functional option that passes options to the retry budget,
// the hedges and the pools.
func WithAdmission(opts ...admission.Option) Option {
	return func(f *Forwarder) { f.options = opts }
}

// WithCall is a functional option that replaces how another daemon is called.
func WithCall(call func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error)) Option {
	return func(f *Forwarder) { f.call = call }
}

// WithOwnerWait is a functional option that sets how long a request waits for its
// key to be owned.
func WithOwnerWait(d time.Duration) Option {
	return func(f *Forwarder) { f.patience = d }
}

// WithoutKeyedRetry is a functional option that is the baseline: a keyed request is
// tried once, and refused if its key has moved or its owner is lost. It costs the
// requests that the next owner would have served.
func WithoutKeyedRetry() Option {
	return func(f *Forwarder) { f.once, f.patience = true, 0 }
}

// WithObserver is a functional option that names what is told of each try at its end.
// It must not block.
func WithObserver(observe func(Try)) Option {
	return func(f *Forwarder) { f.observe = observe }
}

// Try is the end of one try of a request at one daemon.
type Try struct {
	Request *wire.Request
	To      *routes.Owner
	// Epoch is that of the route; zero if the request is not keyed.
	Epoch uint64
	// TimeLeft is what was left of the request's wait at the start.
	TimeLeft time.Duration
	Took     time.Duration
	// Response is nil if there was none, and Err says why.
	Response *wire.Response
	Err      error
}

// Forwarder routes requests. It is safe for concurrent use.
type Forwarder struct {
	own     *owner.Server
	call    func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error)
	options []admission.Option
	// patience bounds how long a request waits for its key to be owned.
	patience time.Duration
	// once is true if a keyed request is tried once only.
	once    bool
	observe func(Try)

	mu sync.Mutex
	// budgets are by service.
	budgets map[string]*admission.Budget
	pools   map[string]*pool
}

// NewForwarder returns a forwarder that serves at own what own may serve and
// calls the other daemons through peers.
func NewForwarder(own *owner.Server, peers *peer.Client, opts ...Option) *Forwarder {
	f := &Forwarder{
		own: own, budgets: make(map[string]*admission.Budget), pools: make(map[string]*pool), patience: ownerPatience,
		observe: func(Try) {},
	}
	f.call = func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
		return peer.Call[wire.Response](ctx, peers, to.Peer, peer.KindRequest, req)
	}
	for _, opt := range opts {
		opt(f)
	}
	f.options = append(slices.Clone(f.options), admission.WithMembers(func() int {
		return own.Standing().Snapshot.Size()
	}))
	return f
}

// Route brings req, of the given kind, to where it may run, and returns the
// final answer.
func (f *Forwarder) Route(ctx context.Context, kind *config.Kind, req *wire.Request) *wire.Response {
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	f.deposit(req.Service)
	if kind.Keyed() {
		return f.routeKeyed(ctx, kind, req)
	}
	return f.routeUnkeyed(ctx, kind, req)
}

func (f *Forwarder) deposit(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).First(time.Now())
}

// mayRetry spends from the retry budget of a service.
func (f *Forwarder) mayRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Retry(time.Now())
}

// budget returns the retry budget of a service; the lock is held.
func (f *Forwarder) budget(service string) *admission.Budget {
	b := f.budgets[service]
	if b == nil {
		fresh := admission.NewBudget(f.options...)
		b = &fresh
		f.budgets[service] = b
	}
	return b
}

// attempts returns how many targets a request of a kind may be sent to.
func attempts(kind *config.Kind) int {
	if kind.Attempts > 0 {
		return kind.Attempts
	}
	return maxTries
}

// send hands the request to one daemon with what is left of its wait. The epoch is
// that of the route; zero if the request is not keyed.
func (f *Forwarder) send(ctx context.Context, to *routes.Owner, epoch uint64, req *wire.Request) (*wire.Response, error) {
	try := *req
	try.Epoch = epoch
	if deadline, ok := ctx.Deadline(); ok {
		try.Wait = time.Until(deadline)
	}
	if try.Wait <= 0 {
		return nil, fmt.Errorf("no time left: %w", peer.ErrNotSent)
	}
	began := time.Now()
	response, err := f.deliver(ctx, to, &try)
	f.observe(Try{
		Request: req, To: to, Epoch: epoch, TimeLeft: try.Wait, Took: time.Since(began), Response: response, Err: err,
	})
	return response, err
}

// deliver has a daemon serve the request, which may be this one.
func (f *Forwarder) deliver(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
	if to.Generation == f.own.Standing().Generation {
		return f.own.Serve(ctx, req), nil
	}
	return f.call(ctx, to, req)
}

// notBegun tells whether the error of a call says that the peer has not begun it.
func notBegun(err error) bool {
	return errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrRefused)
}

// IsUnreachable tells whether the error of a try says that the daemon could not be reached.
func IsUnreachable(err error) bool { return errors.Is(err, peer.ErrNotSent) }

// ended returns the final answer to a request whose time is over, or whose
// caller has gone.
func ended(ctx context.Context, begun bool) *wire.Response {
	reason := ReasonTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = ReasonCancelled
	}
	return refuse(reason, begun)
}

// refuse returns the final answer to a request that nobody answered; begun tells
// whether it may have run.
func refuse(reason string, begun bool) *wire.Response {
	retry := ownerRetry
	if reason == owner.ReasonMoving {
		retry = moveRetry/2 + rand.N(moveRetry)
	}
	r := wire.Refuse(reason, retry)
	if begun {
		r.Outcome = wire.OutcomeUnknown
	}
	return r
}

// waitForRoutes waits until the routes change, the pause is over or ctx ends.
func waitForRoutes(ctx context.Context, s *routes.Snapshot, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Changed():
	case <-ctx.Done():
	}
}
