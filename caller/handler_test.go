package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"fulmarrun/caller"
	"fulmarrun/config"
	"fulmarrun/wire"
)

const kindsText = `{"services":[{"name":"agenda","slots":8,"kinds":[
	{"name":"book","method":"POST","path":"/visits/{visit}","key":{"path":"visit"},"wait":"5s","repeat":"never","class":"urgent"},
	{"name":"order","method":"POST","path":"/orders","wait":"5s","repeat":"never","class":"urgent"},
	{"name":"visit","method":"GET","path":"/visits/{visit}","key":{"path":"visit"},"wait":"2s","repeat":1,"class":"urgent"},
	{"name":"peek","method":"HEAD","path":"/visits/{visit}","wait":"2s","repeat":1,"class":"urgent"}]}]}`

func newTable(t testing.TB) *config.Table {
	t.Helper()
	f, err := config.Parse("test", []byte(kindsText))
	if err != nil {
		t.Fatal(err)
	}
	return config.NewTable(f, 1)
}

// fakeRouter records the last request and answers with response.
type fakeRouter struct {
	request  *wire.Request
	response wire.Response
}

func (r *fakeRouter) route(_ context.Context, _ *config.Kind, req *wire.Request) *wire.Response {
	r.request = req
	out := r.response
	return &out
}

var okResponse = wire.Response{Outcome: wire.OutcomeAnswered, Status: 200, Body: []byte("ok")}

func serve(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

func TestRejectsInvalidRequests(t *testing.T) {
	table := newTable(t)
	long := strings.Repeat("x", 2000)
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   string
	}{
		{"unknown service", "GET", "/nobody/visits/1", "", nil, 404, "service"},
		{"unknown path", "GET", "/agenda/none", "", nil, 404, "path"},
		{"method not allowed", "DELETE", "/agenda/visits/1", "", nil, 405, "method"},
		{"dots", "GET", "/agenda/visits/..", "", nil, 400, "path"},
		{"a dot", "GET", "/agenda/./visits/1", "", nil, 400, "path"},
		{"escaped dots", "GET", "/agenda/visits/%2e%2E", "", nil, 400, "path"},
		{"dots in a key", "GET", "/agenda/visits/..%2forders", "", nil, 400, "path"},
		{"two IDs", "POST", "/agenda/visits/1", "", []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, 400, "id"},
		{"two IDs in one line", "POST", "/agenda/visits/1", "", []string{"Idempotency-Key", "a,b"}, 400, "id"},
		{"empty ID", "POST", "/agenda/visits/1", "", []string{"Idempotency-Key", ""}, 400, "id"},
		{"ID with a space", "POST", "/agenda/visits/1", "", []string{"Idempotency-Key", "a b"}, 400, "id"},
		{"ID with a control byte", "POST", "/agenda/visits/1", "", []string{"Idempotency-Key", "a\x01"}, 400, "id"},
		{"ID that is not ASCII", "POST", "/agenda/visits/1", "", []string{"Idempotency-Key", "é"}, 400, "id"},
		{"long ID", "POST", "/agenda/orders", "", []string{"Idempotency-Key", long[:caller.MaxIDLen+1]}, 400, "id"},
		{"long key", "GET", "/agenda/visits/" + long[:caller.MaxKeyLen+1], "", nil, 400, "key"},
		{"depth not a number", "GET", "/agenda/visits/1", "", []string{"Fulmar-Depth", "many"}, 400, "depth"},
		{"depth too large", "GET", "/agenda/visits/1", "", []string{"Fulmar-Depth", "256"}, 400, "depth"},
		{"negative depth", "GET", "/agenda/visits/1", "", []string{"Fulmar-Depth", "-1"}, 400, "depth"},
		{"deadline not a number", "GET", "/agenda/visits/1", "", []string{"Fulmar-Deadline", "soon"}, 400, "deadline"},
		{"deadline too large", "GET", "/agenda/visits/1", "", []string{"Fulmar-Deadline", "9223372036854775808"}, 400, "deadline"},
		{"long body", "POST", "/agenda/visits/1", long, nil, 413, "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &fakeRouter{response: okResponse}
			h := caller.NewHandler(func() *config.Table { return table }, r.route, caller.WithMaxBody(1000))
			w := serve(h, c.method, c.path, c.body, c.headers...)
			var body struct{ Outcome, Reason string }
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || w.Header().Get(caller.HeaderReason) != c.reason || body.Reason != c.reason ||
				w.Header().Get(caller.HeaderOutcome) != "not-run" || body.Outcome != "not-run" || r.request != nil {
				t.Errorf("%d %v %s", w.Code, w.Header(), w.Body)
			}
		})
	}
}

func TestWithoutConfiguration(t *testing.T) {
	h := caller.NewHandler(func() *config.Table { return nil }, nil)
	for outcome, headers := range map[string][]string{"not-run": nil, "unknown": {"Idempotency-Key", "a"}} {
		w := serve(h, "POST", "/agenda/visits/1", "", headers...)
		if w.Code != 503 || w.Header().Get(caller.HeaderOutcome) != outcome || w.Header().Get("Retry-After") != "1" {
			t.Errorf("%d %v", w.Code, w.Header())
		}
	}
}

func TestForwardedRequest(t *testing.T) {
	table := newTable(t)
	r := &fakeRouter{response: okResponse}
	h := caller.NewHandler(func() *config.Table { return table }, r.route)
	w := serve(h, "POST", "/agenda/visits/a%2Fb?x=1&y", "body",
		"Idempotency-Key", "id-1", "Fulmar-Depth", "127", "Fulmar-Deadline", "250",
		"Fulmar-Epoch", "9", "Fulmar_Epoch", "9", "fulmar_Depth", "9", "Idempotency_Key", "other",
		"Fulmarine", "stays", "Accept", "a", "Accept", "b")
	got := r.request
	if got == nil {
		t.Fatal(w.Code, w.Body)
	}
	names := make([]string, 0, len(got.Headers))
	for _, x := range got.Headers {
		names = append(names, x.Name+"="+x.Value)
	}
	slices.Sort(names)
	if text := strings.Join(names, " "); text != "Accept=a Accept=b Fulmarine=stays" {
		t.Errorf("headers %s", text)
	}
	got.Headers = nil
	if got.Service != "agenda" || got.Kind != "book" || got.Key != "a/b" || got.ID != "id-1" || got.FirstAttempt ||
		got.Wait != 250*time.Millisecond || got.Depth != 128 || got.Path != "/visits/a%2Fb?x=1&y" || string(got.Body) != "body" {
		t.Errorf("%+v", got)
	}
	if w.Header().Get(caller.HeaderRequestID) != "id-1" {
		t.Error(w.Header())
	}
	serve(h, "POST", "/agenda/orders", "", "Fulmar-Deadline", "2147483647")
	if got := r.request; got.Key != got.ID || len(got.ID) != 36 || !got.FirstAttempt || got.Wait != 5*time.Second || got.Depth != 0 {
		t.Errorf("%+v", got)
	}
}

func TestResponses(t *testing.T) {
	table := newTable(t)
	longest := time.Duration(1<<63 - 1)
	spoofed := []wire.Header{
		{Name: "Fulmar-Outcome", Value: "not-run"},
		{Name: "fulmar-reason", Value: "x"},
		{Name: "Fulmar-Id", Value: "x"},
		{Name: "X-Own", Value: "1"},
		{Name: "X-Own", Value: "2"},
	}
	cases := []struct {
		name, method   string
		response       wire.Response
		status         int
		outcome, retry string
		reason, body   string
	}{
		{"answered", "GET", okResponse, 200, "answered", "", "", "ok"},
		{"forged headers", "GET", wire.Response{Outcome: 1, Status: 201, Headers: spoofed, Body: []byte("ok")}, 201, "answered", "", "", "ok"},
		{"shed by the target", "GET", wire.Response{Outcome: 1, Status: 503, Reason: "shed"}, 503, "answered", "", "shed", ""},
		{"status zero", "GET", wire.Response{Outcome: 1, Status: 0}, 502, "unknown", "1", "status", ""},
		{"status too low", "GET", wire.Response{Outcome: 1, Status: 103}, 502, "unknown", "1", "status", ""},
		{"status too high", "GET", wire.Response{Outcome: 1, Status: 65535}, 502, "unknown", "1", "status", ""},
		{"not run", "GET", wire.Response{Outcome: 2, Reason: "full", RetryAfter: 1100 * time.Millisecond}, 503, "not-run", "2", "full", ""},
		{"not run, no retry time", "GET", wire.Response{Outcome: 2, Reason: "closed"}, 503, "not-run", "1", "closed", ""},
		{"huge retry time", "GET", wire.Response{Outcome: 2, Status: 425, Reason: "future", RetryAfter: longest}, 425, "not-run", "3600", "future", ""},
		{"negative retry time", "GET", wire.Response{Outcome: 2, Reason: "x", RetryAfter: -1}, 503, "not-run", "1", "x", ""},
		{"unknown", "GET", wire.Response{Reason: "cut"}, 502, "unknown", "1", "cut", ""},
		{"timeout", "GET", wire.Response{Reason: "timeout"}, 504, "unknown", "1", "timeout", ""},
		{"ID forgotten", "GET", wire.Response{Status: 409, Reason: "forgotten"}, 409, "unknown", "", "forgotten", ""},
		{"invalid outcome", "GET", wire.Response{Outcome: 77, Status: 999}, 502, "unknown", "1", "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &fakeRouter{response: c.response}
			w := serve(caller.NewHandler(func() *config.Table { return table }, r.route), c.method, "/agenda/visits/1", "")
			head := w.Header()
			if w.Code != c.status || head.Get(caller.HeaderOutcome) != c.outcome || head.Get("Retry-After") != c.retry ||
				head.Get(caller.HeaderReason) != c.reason || head.Get(caller.HeaderRequestID) != r.request.ID ||
				len(head[caller.HeaderOutcome]) != 1 || c.outcome == "answered" && w.Body.String() != c.body {
				t.Errorf("%d %v %s", w.Code, head, w.Body)
			}
		})
	}
}

// TestResponsesWithoutBody checks the length that net/http sends for responses without
// a body.
func TestResponsesWithoutBody(t *testing.T) {
	table := newTable(t)
	r := &fakeRouter{}
	s := httptest.NewServer(caller.NewHandler(func() *config.Table { return table }, r.route))
	defer s.Close()
	length := []wire.Header{{Name: "Content-Length", Value: "77"}}
	for _, c := range []struct {
		name, method, length string
		response             wire.Response
	}{
		{"HEAD", "HEAD", "77", wire.Response{Outcome: 1, Status: 200, Headers: length}},
		{"204", "GET", "", wire.Response{Outcome: 1, Status: 204}},
		{"304", "GET", "", wire.Response{Outcome: 1, Status: 304}},
		{"empty", "GET", "0", wire.Response{Outcome: 1, Status: 200, Headers: length}},
	} {
		r.response = c.response
		req, _ := http.NewRequest(c.method, s.URL+"/agenda/visits/1", nil)
		resp, err := s.Client().Do(req)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.Header.Get("Content-Length") != c.length || len(data) > 0 || err != nil || resp.Header.Get(caller.HeaderOutcome) != "answered" {
			t.Errorf("%s: %v %q %v", c.name, resp.Header, data, err)
		}
	}
}

// TestStalledBody checks that a caller that stops sending in the middle of its body is
// refused with 408 after the timeout.
func TestStalledBody(t *testing.T) {
	table := newTable(t)
	s := httptest.NewServer(caller.NewHandler(func() *config.Table { return table }, (&fakeRouter{response: okResponse}).route))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /agenda/visits/1 HTTP/1.1\r\nHost: x\r\nFulmar-Deadline: 1\r\nContent-Length: 9\r\n\r\nhal")
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestTimeout || resp.Header.Get(caller.HeaderOutcome) != "not-run" {
		t.Errorf("%d %v", resp.StatusCode, resp.Header)
	}
}

func FuzzHandler(f *testing.F) {
	f.Add("GET", "/agenda/visits/1?x=1", "id", "1", "250", "Accept", "*/*")
	f.Add("POST", "/agenda/visits/%2e%2e/", "a,b", "127", "0", "Fulmar_Epoch", "1")
	f.Add("HEAD", "//agenda/visits/%zz", "", "256", "99999999999", "Connection", "x")
	table := newTable(f)
	f.Fuzz(func(t *testing.T, method, path, id, depth, deadline, name, value string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(method + " " + path + " HTTP/1.1\r\nHost: x\r\n" +
			"Idempotency-Key: " + id + "\r\nFulmar-Depth: " + depth + "\r\nFulmar-Deadline: " + deadline + "\r\n" +
			name + ": " + value + "\r\n\r\n")))
		if err != nil {
			return
		}
		r := &fakeRouter{response: okResponse}
		w := httptest.NewRecorder()
		caller.NewHandler(func() *config.Table { return table }, r.route).ServeHTTP(w, req)
		if w.Header().Get(caller.HeaderOutcome) == "" {
			t.Fatal("response states no outcome")
		}
		if r.request == nil {
			if w.Code < 400 || w.Header().Get(caller.HeaderReason) == "" {
				t.Fatalf("%d %v", w.Code, w.Header())
			}
			return
		}
		q := r.request
		if q.Wait < 0 || q.Wait > 5*time.Second || q.Depth > 128 || len(q.Key) > caller.MaxKeyLen || len(q.ID) > caller.MaxIDLen || q.ID == "" {
			t.Fatalf("%+v", q)
		}
		for _, h := range q.Headers {
			if strings.HasPrefix(strings.ToLower(strings.ReplaceAll(h.Name, "_", "-")), "fulmar-") {
				t.Fatalf("reserved header %q passed on to the target", h.Name)
			}
		}
		if strings.Contains(q.Path, "/../") || !strings.HasPrefix(q.Path, "/") {
			t.Fatalf("invalid path %q passed on", q.Path)
		}
	})
}

// TestRefusalObserver checks that the observer is called for requests that are refused
// before they are routed, with their ID if they have one, and for no others.
func TestRefusalObserver(t *testing.T) {
	type refusedRequest struct {
		id, reason string
	}
	var got []refusedRequest
	table := newTable(t)
	h := caller.NewHandler(func() *config.Table { return table }, (&fakeRouter{response: okResponse}).route,
		caller.WithRefusalObserver(func(_ *http.Request, id string, r *wire.Response) { got = append(got, refusedRequest{id, r.Reason}) }))
	for _, tc := range []struct {
		method, path, id string
		refused          bool
	}{
		{http.MethodGet, "/agenda/visits/1", "a", false},
		{http.MethodGet, "/nowhere", "b", true},
		{http.MethodGet, "/agenda/visits/..", "c", true},
	} {
		got = nil
		r := httptest.NewRequest(tc.method, tc.path, nil)
		r.Header.Set(caller.HeaderIdempotencyKey, tc.id)
		h.ServeHTTP(httptest.NewRecorder(), r)
		if (len(got) == 1) != tc.refused || tc.refused && (got[0].id != tc.id || got[0].reason == "") {
			t.Errorf("%s: observed refusals %v", tc.path, got)
		}
	}
}
