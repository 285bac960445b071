package storage

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"fulmarrun/clock"
)

// DefaultTimeout is the time limit of one call to the platform.
const DefaultTimeout = 2 * time.Second

// client implements the calls of a Store over HTTP.
type client struct {
	timeout time.Duration
	now     func() time.Time
	http    *Exchange
}

// Option configures NewHTTP.
type Option func(*client)

// WithTimeout is a functional option that sets the time limit of each call.
func WithTimeout(d time.Duration) Option {
	return func(c *client) { c.timeout = d }
}

// WithClock is a functional option that replaces the clock used for LastAnswer.
func WithClock(now func() time.Time) Option {
	return func(c *client) { c.now = now }
}

// NewHTTP returns a Store that calls the platform at base.
func NewHTTP(base netip.AddrPort, opts ...Option) *Store {
	c := &client{timeout: DefaultTimeout, now: clock.Now, http: NewExchange(base)}
	for _, opt := range opts {
		opt(c)
	}
	return Track(&Store{
		Get:         c.get,
		List:        c.list,
		Transact:    c.transact,
		PutObject:   c.putObject,
		GetObject:   c.getObject,
		ListObjects: c.listObjects,
	}, c.now)
}

func (c *client) get(ctx context.Context, key string) (Row, error) {
	data, err := c.call(ctx, http.MethodGet, PathRow, url.Values{"key": {key}}, nil)
	return decode[Row]("get row", data, err)
}

func (c *client) list(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	data, err := c.call(ctx, http.MethodGet, PathRows, pageQuery(prefix, after, limit), nil)
	rows, err := decode[Rows]("list rows", data, err)
	return rows.Rows, err
}

func (c *client) transact(ctx context.Context, tx Transaction) (Result, error) {
	body, err := json.Marshal(tx)
	if err != nil {
		return Result{}, fmt.Errorf("encode transaction: %w", err)
	}
	data, err := c.call(ctx, http.MethodPost, PathTransact, nil, body)
	return decode[Result]("transact", data, err)
}

func (c *client) putObject(ctx context.Context, name string, data []byte) error {
	if _, err := c.call(ctx, http.MethodPut, PathObject, url.Values{"name": {name}}, data); err != nil {
		return fmt.Errorf("put object: %w", err)
	}
	return nil
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	data, err := c.call(ctx, http.MethodGet, PathObject, url.Values{"name": {name}}, nil)
	if err != nil {
		return nil, fmt.Errorf("get object: %w", err)
	}
	return data, nil
}

func (c *client) listObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	data, err := c.call(ctx, http.MethodGet, PathObjects, pageQuery(prefix, after, limit), nil)
	names, err := decode[Names]("list objects", data, err)
	return names.Names, err
}

// call sends one request and returns the body of a successful response.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.http.Do(ctx, method, path, query, "", body)
	if err != nil {
		return nil, err
	}
	if err := statusError(reply.Status, reply.Body); err != nil {
		return nil, err
	}
	return reply.Body, nil
}

// statusError returns the error for an HTTP status, or nil for success.
func statusError(status int, data []byte) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusTooManyRequests, status >= 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	var r ErrorResponse
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("%w: status %d", ErrRejected, status)
	}
	if status == http.StatusNotFound && r.Code == CodeMissing {
		return ErrMissing
	}
	return fmt.Errorf("%w: status %d: %s", ErrRejected, status, r.Reason)
}

// decode parses data unless err is set. A response that can't be parsed counts as
// no answer.
func decode[T any](operation string, data []byte, err error) (T, error) {
	var v T
	if err != nil {
		return v, fmt.Errorf("%s: %w", operation, err)
	}
	if err := json.Unmarshal(data, &v); err != nil {
		var zero T
		return zero, fmt.Errorf("%s: %w: %w", operation, ErrUnavailable, err)
	}
	return v, nil
}

func pageQuery(prefix, after string, limit int) url.Values {
	return url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
}
