package targethttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/buffer"
	"fulmarrun/http1"
	"fulmarrun/tcp"
	"fulmarrun/wire"
)

const (
	// defaultMaxBody is the maximum size of an answer's body in bytes.
	defaultMaxBody = 8 << 20
	// maxHeadBytes is the maximum size of an answer's head, including interim answers.
	// HTTP servers accept request heads of the same size.
	maxHeadBytes = 64 << 10
	// defaultMaxConnections is the maximum number of connections to the target.
	defaultMaxConnections = 100
	// defaultIdleTimeout is how long an unused connection stays open; it is shorter than
	// the usual keep-alive timeouts of HTTP servers.
	defaultIdleTimeout = 4 * time.Second
	// defaultDialTimeout bounds the time to open a connection.
	defaultDialTimeout = time.Second
	// defaultRetryAfter is the Retry-After of a refusal.
	defaultRetryAfter = time.Second
	// maxTries bounds the tries of a request as long as no byte of it was written.
	maxTries = 3
)

var (
	errNoTarget = errors.New("no target has announced itself")
	errCut      = errors.New("answer was cut short")
	errUnframed = errors.New("answer declares no length")
	errCrossed  = errors.New("answer belongs to another request")
)

// Destination is the address and identity of the target.
type Destination struct {
	Address netip.AddrPort
	// ChecksFences reports whether the target checks fences, so that its answer that it
	// rejected a fence can be relied on.
	ChecksFences bool
	// Name is the name of the target; empty if it has none.
	Name string
	// Process identifies one run of the target, since the next run may have the same
	// name; empty if it is not known.
	Process string
}

// Client sends requests to the daemon's target.
type Client struct {
	transport      *http.Transport
	dialer         *net.Dialer
	dialContext    func(ctx context.Context, network, address string) (net.Conn, error)
	limit          int64
	pool           *buffer.Pool
	maxConnections int
	idleTimeout    time.Duration
	retryAfter     time.Duration
	sendCheck      func(Fence) error
	dialect        Dialect
	destination    atomic.Pointer[Destination]
	// observeCondition is called with the condition in each answer.
	observeCondition func(d Destination, c Condition, sentAt time.Time)

	// The functions below are replaced by tests only.
	read    func(ctx context.Context, resp *http.Response, method string, limit int64) ([]byte, error)
	sealed  func(*attempt) bool
	setConn func(a *attempt, c *conn, reused bool) bool
}

// Option configures a Client.
type Option func(*Client)

// WithMaxBody is a functional option that bounds the size of an answer's body, in
// bytes.
func WithMaxBody(size int64) Option { return func(c *Client) { c.limit = size } }

// WithBufferPool is a functional option that sets the pool that bounds the memory for
// reading long answers.
func WithBufferPool(p *buffer.Pool) Option { return func(c *Client) { c.pool = p } }

// WithMaxConnections is a functional option that bounds the number of connections to
// the target.
func WithMaxConnections(n int) Option { return func(c *Client) { c.maxConnections = n } }

// WithIdleTimeout is a functional option that sets how long an unused connection stays
// open. A request on a connection that the target closes at that moment ends with
// OutcomeUnknown, so the timeout should be shorter than the target's own.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleTimeout = d } }

// WithDialTimeout is a functional option that bounds the time to open a connection.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialer.Timeout = d } }

// WithDialContext is a functional option that sets the function that opens connections to the
// target. The dial timeout does not apply to it.
func WithDialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dialContext = dial }
}

// WithRetryAfter is a functional option that sets the Retry-After of a request that
// did not run, for instance because the target can't be reached.
func WithRetryAfter(d time.Duration) Option { return func(c *Client) { c.retryAfter = d } }

// WithSendCheck is a functional option that sets a check to run right before the first
// byte of a request is written. If it returns an error, the request is not sent.
func WithSendCheck(sendCheck func(Fence) error) Option {
	return func(c *Client) { c.sendCheck = sendCheck }
}

// NewClient returns a Client without a destination.
func NewClient(opts ...Option) *Client {
	c := &Client{
		dialer:         tcp.NewDialer(defaultDialTimeout),
		limit:          defaultMaxBody,
		pool:           buffer.NewPool(buffer.DefaultCapacity),
		maxConnections: defaultMaxConnections,
		idleTimeout:    defaultIdleTimeout,
		retryAfter:     defaultRetryAfter,
		dialect:        NewDialect(),

		observeCondition: func(Destination, Condition, time.Time) {},

		sealed:  (*attempt).seal,
		setConn: (*attempt).assignConn,
	}
	c.read, c.dialContext = c.readWhole, c.dialer.DialContext
	for _, opt := range opts {
		opt(c)
	}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConns:           c.maxConnections,
		MaxIdleConnsPerHost:    c.maxConnections,
		MaxConnsPerHost:        c.maxConnections,
		IdleConnTimeout:        c.idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := c.dialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to target: %w", err)
	}
	return &conn{Conn: http1.NewConn(nc)}, nil
}

// SetDestination sends later requests to next. It closes idle connections if the
// address, the name or the process has changed.
func (c *Client) SetDestination(next Destination) {
	previous := c.destination.Load()
	if previous != nil && *previous == next {
		return
	}
	c.destination.Store(&next)
	if previous != nil && (previous.Address != next.Address || previous.Name != next.Name || previous.Process != next.Process) {
		c.transport.CloseIdleConnections()
	}
}

// Destination returns where requests are sent to now; the zero value if no target is known.
func (c *Client) Destination() Destination {
	if d := c.destination.Load(); d != nil {
		return *d
	}
	return Destination{}
}

// Connect opens a connection to the target and closes it again, to find out whether a process
// listens at its address. Without a destination the error is ErrNotRun.
func (c *Client) Connect(ctx context.Context) error {
	d := c.destination.Load()
	if d == nil {
		return fmt.Errorf("%w: %w", ErrNotRun, errNoTarget)
	}
	nc, err := c.dial(ctx, "tcp", d.Address.String())
	if err != nil {
		return err
	}
	_ = nc.Close()
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends r to the target at most once and reads the whole answer. It always
// returns a response; the error is nil only for OutcomeAnswered and wraps
// ErrNotRun or ErrUnknown otherwise. Cancelling ctx cancels the request at the
// target. The caller must not modify the bytes of r.Body after the return either,
// since a target may answer before it has read the whole body.
func (c *Client) Do(ctx context.Context, r *wire.Request, f Fence) (*wire.Response, error) {
	d := c.destination.Load()
	if d == nil {
		return c.notRun(ReasonAbsent, errNoTarget)
	}
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return c.notRun(ReasonInvalid, err)
	}
	u.Scheme, u.Host = "http", d.Address.String()
	for try := 1; ; try++ {
		a := &attempt{id: r.ID}
		sentAt := time.Now()
		if c.sendCheck != nil {
			a.sendCheck = func() error { return c.sendCheck(f) }
		}
		resp, err := c.send(ctx, c.newRequest(ctx, r, f, *d, u), a)
		if err == nil {
			defer a.seal()
			return c.readAnswer(ctx, r, d, resp, a, sentAt)
		}
		if c.sealed(a) {
			return c.unknown(ctx, lossReason(err), err)
		}
		if a.checkErr != nil {
			return c.notRun(ReasonLease, a.checkErr)
		}
		if ctx.Err() != nil {
			return c.notRun(contextReason(ctx, ReasonConnect), err)
		}
		if !a.reused || try == maxTries {
			return c.notRun(ReasonConnect, err)
		}
	}
}

// lossReason returns the reason for a request that was written and got no answer.
func lossReason(err error) string {
	if errors.Is(err, http1.ErrHead) {
		return ReasonHead
	}
	return ReasonLost
}

func (c *Client) newRequest(ctx context.Context, r *wire.Request, f Fence, d Destination, u *url.URL) *http.Request {
	h := requestHeader(r.Headers, c.dialect.IsReserved)
	remaining, hasDeadline := timeLeft(ctx, r)
	if !hasDeadline {
		remaining = -1
	}
	c.dialect.SetHeaders(h, r, f, d, remaining)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	req := &http.Request{Method: r.Method, URL: u, Header: h, Host: hostHeader(r, u)}
	if len(r.Body) > 0 {
		// GetBody stays nil, without which net/http cannot replay the body.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	return req
}

func hostHeader(r *wire.Request, u *url.URL) string {
	for _, h := range r.Headers {
		if h.Name == "Host" && h.Value != "" {
			return h.Value
		}
	}
	return u.Host
}

func timeLeft(ctx context.Context, r *wire.Request) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return r.Wait, r.Wait > 0
	}
	remaining := max(time.Until(deadline), 0)
	if r.Wait > 0 {
		remaining = min(remaining, r.Wait)
	}
	return remaining, true
}

// send performs one round trip in which no byte is sent twice.
func (c *Client) send(ctx context.Context, req *http.Request, a *attempt) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			tracked, ok := info.Conn.(*conn)
			if !ok {
				cancel(errFinished)
				return
			}
			tracked.setAttempt(a)
			if !c.setConn(a, tracked, info.Reused) {
				cancel(errReplay)
			}
			if tracked.hasRefused(a.id) {
				a.seal()
				cancel(errRefusedID)
				a.closeConn()
			}
		},
		GotFirstResponseByte: a.noteAnswerStart,
	}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		cancel(nil)
		// net/http may replace the error while it tries to replay the request.
		if headErr := a.headError(); headErr != nil {
			err = headErr
		}
		return nil, fmt.Errorf("round trip: %w", err)
	}
	resp.Body = &body{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// body is an answer's body that cancels the context of its round trip when closed.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the context.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// readAnswer reads the whole answer and determines the outcome.
func (c *Client) readAnswer(ctx context.Context, r *wire.Request, d *Destination, resp *http.Response, a *attempt, sentAt time.Time) (*wire.Response, error) {
	data, err := c.read(ctx, resp, r.Method, c.limit)
	closeErr := resp.Body.Close()
	info := c.dialect.Inspect(resp, *d)
	if a.isCrossed() || info.ID != r.ID && (info.ID != "" || info.RequiresID || info.RejectReason != "") {
		a.closeConn()
		return c.unknown(ctx, ReasonCrossed, errCrossed)
	}
	whole := err == nil && closeErr == nil && info.RejectReason == "" && !info.Unverified
	if !whole {
		sentAt = time.Time{}
	}
	if info.RejectReason != ReasonFence {
		// Another process at the address rejects requests for the expected one.
		c.observeCondition(*d, info.Condition, sentAt)
	}
	if info.RejectReason != "" {
		a.noteRefusal()
		return c.notRun(info.RejectReason, fmt.Errorf("target rejected the request with status %d", resp.StatusCode))
	}
	if err != nil {
		reason := ReasonCut
		if errors.Is(err, buffer.ErrTooLong) {
			reason = ReasonSize
		}
		return c.unknown(ctx, reason, err)
	}
	if closeErr != nil {
		return c.unknown(ctx, ReasonCut, closeErr)
	}
	if info.Unverified {
		return c.unknown(ctx, ReasonDoubtful, fmt.Errorf("answer with status %d can't be passed on", resp.StatusCode))
	}
	out := &wire.Response{
		Outcome: wire.OutcomeAnswered,
		Status:  uint16(resp.StatusCode),
		Headers: responseHeaders(resp.Header),
		Body:    data,
		Stated:  info.Condition.message(d.Process),
	}
	if info.Shed {
		out.Reason = ReasonShed
	}
	return out, nil
}

// readWhole reads a body up to the end that its framing declares, or up to the
// regular end of the connection if the dialect allows a body without framing.
func (c *Client) readWhole(ctx context.Context, resp *http.Response, method string, limit int64) ([]byte, error) {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !c.dialect.AllowUnframed {
		return nil, errUnframed
	}
	data, err := c.pool.ReadAll(ctx, resp.Body, resp.ContentLength, limit)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w: %w", errCut, err)
	}
	return data, nil
}

func (c *Client) notRun(reason string, err error) (*wire.Response, error) {
	resp := &wire.Response{
		Outcome:    wire.OutcomeNotRun,
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: c.retryAfter,
	}
	if reason == ReasonInvalid {
		resp.Status, resp.RetryAfter = http.StatusBadRequest, 0
	}
	return resp, fmt.Errorf("%s: %w: %w", reason, ErrNotRun, err)
}

func (c *Client) unknown(ctx context.Context, reason string, err error) (*wire.Response, error) {
	resp := &wire.Response{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: contextReason(ctx, reason)}
	if resp.Reason == ReasonTimeout {
		resp.Status = http.StatusGatewayTimeout
	}
	return resp, fmt.Errorf("%s: %w: %w", resp.Reason, ErrUnknown, err)
}

// contextReason returns the reason that ctx ended, or fallback if it did not.
func contextReason(ctx context.Context, fallback string) string {
	switch {
	case ctx.Err() == nil:
		return fallback
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonTimeout
	default:
		return ReasonCancel
	}
}
