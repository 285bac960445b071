package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is a http.RoundTripper that checks the heads of the answers.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport over base, whose DialContext it replaces by one that makes Conns.
// The requests must be for plain HTTP.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{base: base}
}

// RoundTrip sends a request. The error for an answer with a malformed head wraps ErrHead, unless
// net/http repeats the request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.ExpectAnswer()
		}
	}}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace))) //nolint:wrapcheck // http.Client looks at the error itself.
}

// CloseIdleConnections closes the connections that serve no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
