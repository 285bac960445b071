package targethttp_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

func benchServer(b *testing.B) *httptest.Server {
	answer := bytes.Repeat([]byte("x"), 200)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	}))
	b.Cleanup(server.Close)
	return server
}

func BenchmarkDo(b *testing.B) {
	server := benchServer(b)
	client := targethttp.NewClient()
	defer client.Close()
	client.SetDestination(targethttp.Destination{Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	r := newRequest()
	r.Headers = []wire.Header{{Name: "Accept", Value: "*/*"}, {Name: "Content-Type", Value: "text/plain"}}
	fence := targethttp.Fence{Slot: 7, Epoch: 3, Generation: 5}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Do(b.Context(), r, fence); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNetHTTP is the same exchange by net/http alone.
func BenchmarkNetHTTP(b *testing.B) {
	server := benchServer(b)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	r := newRequest()
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), r.Method, server.URL+r.Path, bytes.NewReader(r.Body))
		if err != nil {
			b.Fatal(err)
		}
		for name, value := range map[string]string{
			"Accept": "*/*", "Content-Type": "text/plain", "Idempotency-Key": r.ID, "Fulmar-Key": "k%2F1",
			"Fulmar-Slot": "7", "Fulmar-Epoch": "3", "Fulmar-Generation": "5", "Fulmar-Depth": "0",
		} {
			req.Header.Set(name, value)
		}
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}
