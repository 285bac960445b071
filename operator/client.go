package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/http1"
	"fulmarrun/storage"
)

// DefaultTimeout is the time limit of one call to a daemon.
const DefaultTimeout = 30 * time.Second

// maxResponseBytes is the maximum size of a response, in bytes. It has room for the
// largest file that a request can contain.
const maxResponseBytes = 2 * DefaultMaxBody

// Client calls one daemon on behalf of an operator.
type Client struct {
	addr    netip.AddrPort
	timeout time.Duration
	http    *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithTimeout is a functional option that sets the time limit of each call.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// NewClient returns a Client for the daemon with the operator address addr.
func NewClient(addr netip.AddrPort, opts ...ClientOption) *Client {
	c := &Client{addr: addr, timeout: DefaultTimeout, http: &http.Client{Transport: http1.NewTransport(&http.Transport{})}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Apply puts the file of req in force.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyReply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return ApplyReply{}, fmt.Errorf("encode request: %w", err)
	}
	return call[ApplyReply](ctx, c, http.MethodPost, pathApply, nil, body)
}

// Show returns the file in force at the daemon.
func (c *Client) Show(ctx context.Context) (ShowReply, error) {
	return call[ShowReply](ctx, c, http.MethodGet, pathShow, nil, nil)
}

// Status reports at which instances the accepted configuration is in force.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return call[StatusReply](ctx, c, http.MethodGet, pathStatus, nil, nil)
}

// Audit reads the audit trail.
func (c *Client) Audit(ctx context.Context, req AuditRequest) (AuditReply, error) {
	return call[AuditReply](ctx, c, http.MethodGet, pathAudit, req.query(), nil)
}

// Key returns the owner of a key.
func (c *Client) Key(ctx context.Context, req KeyRequest) (KeyReply, error) {
	return call[KeyReply](ctx, c, http.MethodGet, pathKey, req.query(), nil)
}

// Leave makes the daemon transfer its keys to other daemons and stop.
func (c *Client) Leave(ctx context.Context) error {
	_, err := call[empty](ctx, c, http.MethodPost, pathLeave, nil, nil)
	return err
}

// call sends one request and decodes the response.
func call[Rep any](ctx context.Context, c *Client, method, path string, query url.Values, body []byte) (Rep, error) {
	var zero Rep
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.addr.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return zero, fmt.Errorf("create request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return zero, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return zero, fmt.Errorf("%w: read response: %w", ErrUnreachable, err)
	}
	if resp.StatusCode != http.StatusOK {
		r, err := Decode[errorResponse](data)
		if err != nil {
			return zero, fmt.Errorf("%w: status %d", ErrUnreachable, resp.StatusCode)
		}
		return zero, r.err()
	}
	reply, err := Decode[Rep](data)
	if err != nil {
		return zero, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return reply, nil
}

// ApplyAny sends req to the clients in turn, with retries, until one of them gives a
// definite answer or ctx ends. Once an attempt may have been applied, any error is
// ErrUnknown, unless a later attempt is accepted or fails with a *ConflictError.
func ApplyAny(ctx context.Context, clients []*Client, req ApplyRequest, opts ...storage.BackoffOption) (ApplyReply, error) {
	backoff := storage.NewBackoff(opts...)
	maybeApplied := false
	for i := 0; ; i++ {
		reply, err := clients[i%len(clients)].Apply(ctx, req)
		var conflict *ConflictError
		if err == nil || errors.As(err, &conflict) {
			return reply, err
		}
		outcomeUnknown := errors.Is(err, ErrUnknown) || errors.Is(err, ErrUnreachable)
		maybeApplied = maybeApplied || outcomeUnknown
		if outcomeUnknown || errors.Is(err, ErrUnavailable) {
			if backoff.Wait(ctx) == nil {
				continue
			}
		}
		if maybeApplied {
			err = fmt.Errorf("%w: last answer: %s", ErrUnknown, err.Error())
		}
		return reply, err
	}
}
