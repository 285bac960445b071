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
	"fulmarrun/tcp"
	"fulmarrun/wire"
)

const (
	// defaultLimit is the greatest size of an answer's body in bytes.
	defaultLimit = 8 << 20
	// headBytes is the greatest size of an answer's head, interim answers included; HTTP
	// servers take as much of a request.
	headBytes = 64 << 10
	// defaultConnections is the greatest number of connections to the target.
	defaultConnections = 100
	// defaultIdle is how long an unused connection is kept; it is shorter than
	// the keep-alive timeouts that HTTP servers usually have.
	defaultIdle = 4 * time.Second
	// defaultDial is how long a connection may take to open.
	defaultDial = time.Second
	// defaultRetry is the time to come back that a refusal states.
	defaultRetry = time.Second
	// maxTries bounds the tries of a request of which no byte was written.
	maxTries = 3
)

var (
	errNoTarget = errors.New("no target has announced itself")
	errCut      = errors.New("answer was cut short")
	errUnframed = errors.New("answer declares no length")
	errCrossed  = errors.New("answer belongs to another request")
)

// Destination is where the target serves, and who it is.
type Destination struct {
	Address netip.AddrPort
	// ChecksFences tells whether the target's word that it rejected a fence is to be
	// believed.
	ChecksFences bool
	// Name is that of the target's present life; empty if it has none.
	Name string
}

// Client hands requests to the target beside the daemon.
type Client struct {
	transport   *http.Transport
	dialer      *net.Dialer
	limit       int64
	pool        *buffer.Pool
	connections int
	idle        time.Duration
	retry       time.Duration
	check       func(Fence) error
	dialect     Dialect
	destination atomic.Pointer[Destination]

	// The seams are replaced by tests alone.
	read   func(ctx context.Context, resp *http.Response, method string, limit int64) ([]byte, error)
	sealed func(*attempt) bool
	admit  func(a *attempt, c *conn, reused bool) bool
}

// Option configures a Client.
type Option func(*Client)

// WithMaxBody is a functional option that bounds the body of an answer, in bytes.
func WithMaxBody(size int64) Option { return func(c *Client) { c.limit = size } }

// WithBufferPool is a functional option that sets the room for long answers that are being
// read.
func WithBufferPool(p *buffer.Pool) Option { return func(c *Client) { c.pool = p } }

// WithMaxConnections is a functional option that bounds the connections to the
// target.
func WithMaxConnections(n int) Option { return func(c *Client) { c.connections = n } }

// WithIdleTimeout is a functional option that sets how long an unused connection is
// kept. A request on a connection that the target closes at that moment ends
// with OutcomeUnknown, so it should be shorter than the target's own timeout.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idle = d } }

// WithDialTimeout is a functional option that sets how long a connection may take to
// open.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialer.Timeout = d } }

// WithRetryAfter is a functional option that sets the time to come back that is
// stated if the target can't be reached.
func WithRetryAfter(d time.Duration) Option { return func(c *Client) { c.retry = d } }

// WithSendCheck is a functional option that sets a check that is made right before
// the first byte of a request is written; an error keeps it from being sent.
func WithSendCheck(check func(Fence) error) Option { return func(c *Client) { c.check = check } }

// NewClient returns a Client that knows no target yet.
func NewClient(opts ...Option) *Client {
	c := &Client{
		dialer:      tcp.NewDialer(defaultDial),
		limit:       defaultLimit,
		pool:        buffer.NewPool(buffer.DefaultSize),
		connections: defaultConnections,
		idle:        defaultIdle,
		retry:       defaultRetry,
		dialect:     NewDialect(),
		sealed:      (*attempt).seal,
		admit:       (*attempt).use,
	}
	c.read = c.readWhole
	for _, opt := range opts {
		opt(c)
	}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConns:           c.connections,
		MaxIdleConnsPerHost:    c.connections,
		MaxConnsPerHost:        c.connections,
		IdleConnTimeout:        c.idle,
		MaxResponseHeaderBytes: headBytes,
	}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to target: %w", err)
	}
	return &conn{Conn: nc}, nil
}

// SetDestination directs later requests to next.
func (c *Client) SetDestination(next Destination) {
	last := c.destination.Load()
	if last != nil && *last == next {
		return
	}
	c.destination.Store(&next)
	if last != nil && (last.Address != next.Address || last.Name != next.Name) {
		c.transport.CloseIdleConnections()
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do hands r to the target at most once and reads the whole answer. It always
// returns a response; the error is nil only for OutcomeAnswered and wraps
// ErrNotRun or ErrUnknown otherwise. Cancelling ctx cancels the request at the
// target. The bytes of r.Body must not change afterwards, since a target may
// answer before it has read them.
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
		a := &attempt{}
		if c.check != nil {
			a.check = func() error { return c.check(f) }
		}
		resp, err := c.send(ctx, c.newRequest(ctx, r, f, *d, u), a)
		if err == nil {
			defer a.seal()
			return c.receive(ctx, r, d, resp, a)
		}
		if c.sealed(a) {
			return c.unknown(ctx, ReasonLost, err)
		}
		if a.refusal != nil {
			return c.notRun(ReasonLease, a.refusal)
		}
		if ctx.Err() != nil {
			return c.notRun(contextReason(ctx, ReasonConnect), err)
		}
		if !a.reused || try == maxTries {
			return c.notRun(ReasonConnect, err)
		}
	}
}

func (c *Client) newRequest(ctx context.Context, r *wire.Request, f Fence, d Destination, u *url.URL) *http.Request {
	h := requestHeader(r.Headers, c.dialect.IsReserved)
	left, bounded := timeLeft(ctx, r)
	if !bounded {
		left = -1
	}
	c.dialect.SetHeaders(h, r, f, d, left)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	req := &http.Request{Method: r.Method, URL: u, Header: h, Host: hostOf(r, u)}
	if len(r.Body) > 0 {
		// A reader of this type leaves GetBody nil.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	return req
}

func hostOf(r *wire.Request, u *url.URL) string {
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
	left := max(time.Until(deadline), 0)
	if r.Wait > 0 {
		left = min(left, r.Wait)
	}
	return left, true
}

// send makes one round trip in which no byte is sent twice.
func (c *Client) send(ctx context.Context, req *http.Request, a *attempt) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			tracked, ok := info.Conn.(*conn)
			if !ok {
				cancel(errSealed)
				return
			}
			tracked.begin(a)
			if !c.admit(a, tracked, info.Reused) {
				cancel(errReplay)
			}
		},
		GotFirstResponseByte: a.answer,
	}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		cancel(nil)
		return nil, fmt.Errorf("round trip: %w", err)
	}
	resp.Body = &body{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// body ends the context of a round trip when it is closed.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and frees the context.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// receive reads the answer whole, or says why there is none.
func (c *Client) receive(ctx context.Context, r *wire.Request, d *Destination, resp *http.Response, a *attempt) (*wire.Response, error) {
	data, err := c.read(ctx, resp, r.Method, c.limit)
	closeErr := resp.Body.Close()
	reading := c.dialect.Inspect(resp, *d)
	if a.isCrossed() || reading.ID != r.ID && (reading.ID != "" || reading.RequiresID) {
		a.discard()
		return c.unknown(ctx, ReasonCrossed, errCrossed)
	}
	if reading.RejectReason != "" {
		return c.notRun(reading.RejectReason, fmt.Errorf("target rejected the request with status %d", resp.StatusCode))
	}
	if err != nil {
		reason := ReasonCut
		if errors.Is(err, buffer.ErrSize) {
			reason = ReasonSize
		}
		return c.unknown(ctx, reason, err)
	}
	if closeErr != nil {
		return c.unknown(ctx, ReasonCut, closeErr)
	}
	if reading.Unverified {
		return c.unknown(ctx, ReasonDoubtful, fmt.Errorf("answer with status %d can't be passed on", resp.StatusCode))
	}
	out := &wire.Response{
		Outcome: wire.OutcomeAnswered,
		Status:  uint16(resp.StatusCode),
		Headers: responseHeaders(resp.Header),
		Body:    data,
	}
	if reading.Shed {
		out.Reason = ReasonShed
	}
	return out, nil
}

// readWhole reads a body up to the end that its framing declares, or up to the
// orderly end of the connection if a body without framing is allowed.
func (c *Client) readWhole(ctx context.Context, resp *http.Response, method string, limit int64) ([]byte, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errUnframed
	}
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
		RetryAfter: c.retry,
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

// contextReason returns why ctx ended, or otherwise if it didn't.
func contextReason(ctx context.Context, otherwise string) string {
	switch {
	case ctx.Err() == nil:
		return otherwise
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonTimeout
	default:
		return ReasonCancel
	}
}
