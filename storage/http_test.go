package storage_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/storage"
)

func TestResponseErrors(t *testing.T) {
	write := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"row", write(200, `{"key":"k","version":3}`), nil},
		{"missing", write(404, `{"code":"missing"}`), storage.ErrMissing},
		{"wrong path", write(404, `not found`), storage.ErrRejected},
		{"bad request", write(400, `{"code":"rejected","reason":"why"}`), storage.ErrRejected},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://10.0.0.1/", http.StatusTemporaryRedirect)
		}, storage.ErrRejected},
		{"overloaded", write(429, `{}`), storage.ErrUnavailable},
		{"server error", write(500, ``), storage.ErrUnavailable},
		{"not JSON", write(200, `<html>`), storage.ErrUnavailable},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"key":"k","version":3}`))
		}, storage.ErrUnavailable},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, storage.ErrUnavailable},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, storage.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			answeredAt := time.Unix(7, 0)
			store := storage.NewHTTP(netip.MustParseAddrPort(server.Listener.Addr().String()),
				storage.WithTimeout(200*time.Millisecond),
				storage.WithClock(func() time.Time { return answeredAt }))
			_, err := store.Get(context.Background(), "k")
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if answered := store.LastAnswer().Equal(answeredAt); answered == errors.Is(err, storage.ErrUnavailable) {
				t.Fatalf("LastAnswer updated: %v, after error %v", answered, err)
			}
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	server := httptest.NewServer(nil)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	if _, err := storage.NewHTTP(addr).Transact(context.Background(), storage.Transaction{}); !errors.Is(err, storage.ErrUnavailable) {
		t.Fatalf("got %v, want ErrUnavailable", err)
	}
}
