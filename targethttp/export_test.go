package targethttp

import (
	"context"
	"io"
	"net/http"
)

// WithoutCompletenessCheck is a functional option that passes on incomplete answers.
func WithoutCompletenessCheck() Option {
	return func(c *Client) {
		c.read = func(_ context.Context, resp *http.Response, _ string, limit int64) ([]byte, error) {
			data, _ := io.ReadAll(io.LimitReader(resp.Body, limit))
			return data, nil
		}
	}
}

// WithoutSeal is a functional option that reports each lost request as not written.
func WithoutSeal() Option {
	return func(c *Client) {
		c.sealed = func(a *attempt) bool { a.seal(); return false }
	}
}

// WithReplay is a functional option that lets net/http replay requests.
func WithReplay() Option {
	return func(c *Client) {
		c.setConn = func(a *attempt, next *conn, reused bool) bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.conn, a.reused = next, reused
			return true
		}
	}
}
