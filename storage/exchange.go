package storage

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/buffer"
	"fulmarrun/http1"
	"fulmarrun/tcp"
)

const (
	// maxConnections is the maximum number of connections of one daemon to the
	// platform.
	maxConnections = 32
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = time.Minute
	// dialTimeout is the time limit for opening a connection.
	dialTimeout = time.Second
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
)

// Exchange makes single HTTP exchanges with the platform.
type Exchange struct {
	base netip.AddrPort
	pool *buffer.Pool
	http *http.Client
}

// NewExchange returns an Exchange with the platform at base.
func NewExchange(base netip.AddrPort) *Exchange {
	return &Exchange{base: base, pool: buffer.NewPool(buffer.DefaultCapacity), http: &http.Client{
		Transport: http1.NewTransport(&http.Transport{
			DialContext:            tcp.NewDialer(dialTimeout).DialContext,
			MaxConnsPerHost:        maxConnections,
			MaxIdleConnsPerHost:    maxConnections,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Reply is a whole response of the platform.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends one request and returns the whole response. It returns ErrUnavailable if
// the exchange is not completed, or if the head of the response is malformed. An empty
// contentType sets no header.
func (e *Exchange) Do(ctx context.Context, method, path string, query url.Values, contentType string, body []byte) (Reply, error) {
	target := url.URL{Scheme: "http", Host: e.base.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return Reply{}, fmt.Errorf("create request: %w", err)
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := e.pool.ReadAll(ctx, resp.Body, resp.ContentLength, MaxBodyBytes)
	switch {
	case errors.Is(err, buffer.ErrTooLong):
		return Reply{}, fmt.Errorf("%w: response exceeds %d bytes: %w", ErrRejected, MaxBodyBytes, err)
	case err != nil:
		return Reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}
