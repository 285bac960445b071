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
	"fulmarrun/tcp"
)

const (
	// maxConnections bounds the connections of one daemon to the platform.
	maxConnections = 32
	// idleTime is how long an unused connection is kept.
	idleTime = time.Minute
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// headBytes is the greatest size of an answer's head.
	headBytes = 64 << 10
)

// Exchange makes single HTTP exchanges with the platform.
type Exchange struct {
	base netip.AddrPort
	pool *buffer.Pool
	http *http.Client
}

// NewExchange returns an Exchange with the platform at base.
func NewExchange(base netip.AddrPort) *Exchange {
	return &Exchange{base: base, pool: buffer.NewPool(buffer.DefaultSize), http: &http.Client{
		Transport: &http.Transport{
			DialContext:            tcp.NewDialer(dialTimeout).DialContext,
			MaxConnsPerHost:        maxConnections,
			MaxIdleConnsPerHost:    maxConnections,
			IdleConnTimeout:        idleTime,
			DisableCompression:     true,
			MaxResponseHeaderBytes: headBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends one request and returns the whole answer. An exchange that does not come
// to an end is ErrUnavailable. An empty content type sets no header.
func (e *Exchange) Do(ctx context.Context, method, path string, query url.Values, content string, body []byte) (status int, data []byte, err error) {
	target := url.URL{Scheme: "http", Host: e.base.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("make request: %w", err)
	}
	if content != "" {
		req.Header.Set("Content-Type", content)
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = e.pool.ReadAll(ctx, resp.Body, resp.ContentLength, MaxBodyBytes)
	switch {
	case errors.Is(err, buffer.ErrSize):
		return 0, nil, fmt.Errorf("%w: answer exceeds %d bytes: %w", ErrRejected, MaxBodyBytes, err)
	case err != nil:
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return resp.StatusCode, data, nil
}
