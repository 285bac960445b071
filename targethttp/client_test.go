package targethttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// listen accepts connections on a local address and runs serve on each; n counts them
// from 1.
func listen(t testing.TB, serve func(n int, c net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// answerWith reads one complete request and answers with text.
func answerWith(text string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		if readRequest(c) {
			_, _ = io.WriteString(c, text)
		}
	}
}

func readRequest(c net.Conn) bool {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

// reset closes c with a TCP reset instead of a regular close.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func newRequest() *wire.Request {
	return &wire.Request{ID: "id-1", Key: "k/1", Method: http.MethodPost, Path: "/book?x=1", Body: []byte("visit")}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// outcomeCase is an exchange on one connection and the expected outcome.
type outcomeCase struct {
	name    string
	script  func(int, net.Conn)
	outcome wire.Outcome
	reason  string
}

var outcomeCases = []outcomeCase{
	{"whole", answerWith(okAnswer), wire.OutcomeAnswered, ""},
	{"whole chunked", answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), wire.OutcomeAnswered, ""},
	{"shed", answerWith("HTTP/1.1 503 Busy\r\nFulmar-Shed: shed\r\nContent-Length: 0\r\n\r\n"), wire.OutcomeAnswered, targethttp.ReasonShed},
	{"after 1xx", answerWith("HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer), wire.OutcomeAnswered, ""},
	{"redirect is not followed", answerWith("HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), wire.OutcomeAnswered, ""},
	{"own ID echoed", answerWith("HTTP/1.1 200 OK\r\nIdempotency-Key: id-1\r\nContent-Length: 2\r\n\r\nok"), wire.OutcomeAnswered, ""},
	{"other ID echoed", answerWith("HTTP/1.1 200 OK\r\nIdempotency-Key: id-2\r\nContent-Length: 2\r\n\r\nok"), wire.OutcomeUnknown, targethttp.ReasonCrossed},
	{"cut by length", answerWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"), wire.OutcomeUnknown, targethttp.ReasonCut},
	{"cut in chunk", answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok"), wire.OutcomeUnknown, targethttp.ReasonCut},
	{"cut before last chunk", answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), wire.OutcomeUnknown, targethttp.ReasonCut},
	{"no length", answerWith("HTTP/1.1 200 OK\r\n\r\nok"), wire.OutcomeUnknown, targethttp.ReasonCut},
	{"upgrade", answerWith("HTTP/1.1 101 Go\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"), wire.OutcomeUnknown, targethttp.ReasonHead},
	{"blank in a field name", answerWith("HTTP/1.1 200 OK\r\nX : y\r\nContent-Length: 2\r\n\r\nok"), wire.OutcomeUnknown, targethttp.ReasonHead},
	{"control byte in a field name", answerWith("HTTP/1.1 200 OK\r\nX\x01: y\r\nContent-Length: 2\r\n\r\nok"), wire.OutcomeUnknown, targethttp.ReasonHead},
	{"status 000", answerWith("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"), wire.OutcomeUnknown, targethttp.ReasonHead},
	{"over the limit", answerWith("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("x", 65)), wire.OutcomeUnknown, targethttp.ReasonSize},
	{"chunks over the limit", answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n"), wire.OutcomeUnknown, targethttp.ReasonSize},
	{"header cut", answerWith("HTTP/1.1 200 OK\r\nContent-Le"), wire.OutcomeUnknown, targethttp.ReasonLost},
	{"closed unanswered", answerWith(""), wire.OutcomeUnknown, targethttp.ReasonLost},
	{"half read", func(_ int, c net.Conn) { _, _ = c.Read(make([]byte, 20)); reset(c) }, wire.OutcomeUnknown, targethttp.ReasonLost},
	{"fence of a target that doesn't check", answerWith("HTTP/1.1 412 No\r\nFulmar-Fence: epoch\r\nContent-Length: 0\r\n\r\n"), wire.OutcomeAnswered, ""},
}

// check runs the exchange and describes what is wrong with its result, if anything.
func (tc outcomeCase) check(t *testing.T, opts ...targethttp.Option) string {
	t.Helper()
	client := targethttp.NewClient(append(opts, targethttp.WithMaxBody(64))...)
	defer client.Close()
	client.SetDestination(targethttp.Destination{Address: listen(t, tc.script)})
	resp, err := client.Do(t.Context(), newRequest(), targethttp.Fence{})
	if resp.Outcome != tc.outcome || resp.Reason != tc.reason {
		return fmt.Sprintf("%s: got outcome %d reason %q (%v), want %d %q", tc.name, resp.Outcome, resp.Reason, err, tc.outcome, tc.reason)
	}
	if (err == nil) != (tc.outcome == wire.OutcomeAnswered) || err != nil && !errors.Is(err, targethttp.ErrUnknown) {
		return fmt.Sprintf("%s: error %v doesn't fit the outcome", tc.name, err)
	}
	return ""
}

func TestOutcomes(t *testing.T) {
	for _, tc := range outcomeCases {
		if fault := tc.check(t); fault != "" {
			t.Error(fault)
		}
	}
}

// TestOutcomeMutations breaks one rule of the client at a time and checks that at least
// one case detects it.
func TestOutcomeMutations(t *testing.T) {
	mutations := []struct {
		name   string
		option targethttp.Option
	}{
		{"cut answer as whole", targethttp.WithoutCompletenessCheck()},
		{"not run after bytes were written", targethttp.WithoutSeal()},
	}
	for _, m := range mutations {
		caught := 0
		for _, tc := range outcomeCases {
			if tc.check(t, m.option) != "" {
				caught++
			}
		}
		if caught == 0 {
			t.Errorf("%s: no case detects the mutation", m.name)
		}
	}
}

func TestNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	var received atomic.Int32
	open := listen(t, func(_ int, c net.Conn) {
		n, _ := c.Read(make([]byte, 1))
		received.Add(int32(n))
	})
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name    string
		ctx     context.Context
		address netip.AddrPort
		path    string
		check   error
		reason  string
	}{
		{"no target", t.Context(), netip.AddrPort{}, "/", nil, targethttp.ReasonAbsent},
		{"refused connection", t.Context(), closed, "/", nil, targethttp.ReasonConnect},
		{"bad path", t.Context(), open, "book", nil, targethttp.ReasonInvalid},
		{"path with a line end", t.Context(), open, "/\r\nX: y", nil, targethttp.ReasonInvalid},
		{"cancelled before", cancelled, open, "/", nil, targethttp.ReasonCancel},
		{"lease gone", t.Context(), open, "/", errors.New("lease gone"), targethttp.ReasonLease},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			client := targethttp.NewClient(targethttp.WithSendCheck(func(targethttp.Fence) error { return tc.check }))
			defer client.Close()
			if tc.address.IsValid() {
				client.SetDestination(targethttp.Destination{Address: tc.address, ChecksFences: true})
			}
			r := newRequest()
			r.Path = tc.path
			resp, err := client.Do(tc.ctx, r, targethttp.Fence{})
			if resp.Outcome != wire.OutcomeNotRun || resp.Reason != tc.reason || !errors.Is(err, targethttp.ErrNotRun) {
				t.Fatalf("got %+v, %v; want not run, %q", resp, err, tc.reason)
			}
		})
	}
	if n := received.Load(); n != 0 {
		t.Errorf("the target received %d bytes of requests that did not run", n)
	}
}

// TestNoReplayOnClosedConnection checks that the client does not replay a request, as
// net/http would, if the server answers the first request on a connection, reads the
// second one and closes the connection.
func TestNoReplayOnClosedConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "visit"} {
			t.Run(method+" "+body, func(t *testing.T) {
				var requests atomic.Int32
				client := targethttp.NewClient()
				defer client.Close()
				client.SetDestination(targethttp.Destination{Address: listen(t, func(_ int, c net.Conn) {
					br := bufio.NewReader(c)
					for n := 1; ; n++ {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						requests.Add(1)
						_, _ = io.Copy(io.Discard, r.Body)
						if n == 2 {
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
					}
				})})
				r := newRequest()
				r.Method, r.Body = method, []byte(body)
				if resp, err := client.Do(t.Context(), r, targethttp.Fence{}); err != nil || resp.Status != 204 {
					t.Fatalf("first request: %+v, %v", resp, err)
				}
				resp, err := client.Do(t.Context(), r, targethttp.Fence{})
				if resp.Outcome != wire.OutcomeUnknown {
					t.Errorf("second request: %+v, %v; want unknown", resp, err)
				}
				if n := requests.Load(); n != 2 {
					t.Errorf("the server saw %d requests, want 2", n)
				}
			})
		}
	}
}

// TestCancel checks that the target sees the end of the context, be it a cancellation
// or the deadline.
func TestCancel(t *testing.T) {
	for _, reason := range []string{targethttp.ReasonCancel, targethttp.ReasonTimeout} {
		t.Run(reason, func(t *testing.T) {
			started, gone := make(chan struct{}), make(chan struct{})
			client := targethttp.NewClient()
			defer client.Close()
			client.SetDestination(targethttp.Destination{Address: listen(t, func(_ int, c net.Conn) {
				readRequest(c)
				close(started)
				_, _ = c.Read(make([]byte, 1))
				close(gone)
			})})
			ctx, cancel := context.WithCancel(t.Context())
			if reason == targethttp.ReasonTimeout {
				ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
			} else {
				go func() { <-started; cancel() }()
			}
			defer cancel()
			resp, err := client.Do(ctx, newRequest(), targethttp.Fence{})
			if resp.Outcome != wire.OutcomeUnknown || resp.Reason != reason {
				t.Fatalf("got %+v, %v; want unknown, %q", resp, err, reason)
			}
			<-gone
		})
	}
}

func TestHeaders(t *testing.T) {
	seen := make(chan *http.Request, 1)
	client := targethttp.NewClient()
	defer client.Close()
	client.SetDestination(targethttp.Destination{Address: listen(t, func(_ int, c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		seen <- r
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-End: 2\r\nContent-Length: 0\r\n\r\n")
	})})
	r := newRequest()
	r.Depth, r.Wait = 2, time.Minute
	r.Headers = []wire.Header{
		{Name: "Connection", Value: "x-own"},
		{Name: "X-Own", Value: "1"},
		{Name: "Te", Value: "trailers"},
		{Name: "idempotency-key", Value: "forged"},
		{Name: "Fulmar-Epoch", Value: "99"},
		{Name: "Expect", Value: "100-continue"},
		{Name: "X-Keep", Value: "2"},
	}
	resp, err := client.Do(t.Context(), r, targethttp.Fence{Slot: 7, Epoch: 3, Generation: 5})
	if err != nil {
		t.Fatal(err)
	}
	got := <-seen
	want := map[string]string{
		"Idempotency-Key": "id-1", "Fulmar-Key": "k%2F1", "Fulmar-Slot": "7", "Fulmar-Epoch": "3",
		"Fulmar-Generation": "5", "Fulmar-Depth": "2", "Fulmar-Deadline": "60000", "X-Keep": "2",
		"X-Own": "", "Te": "", "Expect": "", "User-Agent": "", "Accept-Encoding": "",
	}
	for name, value := range want {
		if v := strings.Join(got.Header.Values(name), ","); v != value {
			t.Errorf("header %s: got %q, want %q", name, v, value)
		}
	}
	if got.RequestURI != "/book?x=1" {
		t.Errorf("path: got %q", got.RequestURI)
	}
	for _, h := range resp.Headers {
		if h.Name == "X-Hop" || h.Name == "Connection" {
			t.Errorf("hop-by-hop header %s passed on to the caller", h.Name)
		}
	}
}
