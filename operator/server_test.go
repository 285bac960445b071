package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/audit"
	"fulmarrun/operator"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 7, time.UTC)

// newClient starts a server with handler h and returns a client for it.
func newClient(t *testing.T, h http.Handler) *operator.Client {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return operator.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), operator.WithTimeout(5*time.Second))
}

// pair returns the results of a call as untyped values, for comparison.
func pair[T any](v T, err error) (any, error) { return v, err }

func TestCalls(t *testing.T) {
	s := operator.NewServer()
	req, _ := testRequest(1, 6)
	show := operator.ShowReply{Number: 7, Digest: "d", Author: "ana", At: noon, Text: []byte("{}")}
	status := operator.NewStatusReply(7, []operator.Instance{operator.NewInstance(wire.Status{
		Instance: "a1", Generation: 1<<64 - 1, State: wire.StateLeaving, ConfigNumber: 6, Lease: 900 * time.Millisecond,
	})}, []string{"b"})
	trail := operator.AuditReply{Entries: []audit.Entry{{At: noon, Who: "ana", What: audit.Config, Change: "c"}}}
	key := operator.KeyReply{Service: "agenda", Key: "a b&c=d", Slot: 9, Generation: 1<<64 - 1, Caller: netip.MustParseAddrPort("10.0.0.1:80")}
	var got any
	leaveCalled := false
	s.Apply = func(_ context.Context, r operator.ApplyRequest) (operator.ApplyReply, error) {
		got = r
		return operator.ApplyReply{Number: 7, Already: true}, nil
	}
	s.Show = func(context.Context) (operator.ShowReply, error) { return show, nil }
	s.Status = func(context.Context) (operator.StatusReply, error) { return status, nil }
	s.Audit = func(_ context.Context, r operator.AuditRequest) (operator.AuditReply, error) {
		got = r
		return trail, nil
	}
	s.Key = func(_ context.Context, r operator.KeyRequest) (operator.KeyReply, error) {
		got = r
		return key, nil
	}
	s.Leave = func(context.Context) error {
		leaveCalled = true
		return nil
	}
	c := newClient(t, s)
	ctx := context.Background()
	auditRequest := operator.AuditRequest{Since: noon, Limit: 5}
	keyRequest := operator.KeyRequest{Service: key.Service, Key: key.Key}
	cases := []struct {
		name    string
		call    func() (any, error)
		request any
		want    any
	}{
		{"apply", func() (any, error) { return pair(c.Apply(ctx, req)) }, req, operator.ApplyReply{Number: 7, Already: true}},
		{"show", func() (any, error) { return pair(c.Show(ctx)) }, nil, show},
		{"status", func() (any, error) { return pair(c.Status(ctx)) }, nil, status},
		{"audit", func() (any, error) { return pair(c.Audit(ctx, auditRequest)) }, auditRequest, trail},
		{"newest", func() (any, error) { return pair(c.Audit(ctx, operator.AuditRequest{Limit: 1})) }, operator.AuditRequest{Limit: 1}, trail},
		{"key", func() (any, error) { return pair(c.Key(ctx, keyRequest)) }, keyRequest, key},
		{"leave", func() (any, error) { return nil, c.Leave(ctx) }, nil, nil},
	}
	for _, tc := range cases {
		got = nil
		reply, err := tc.call()
		if err != nil || !reflect.DeepEqual(reply, tc.want) || !reflect.DeepEqual(got, tc.request) {
			t.Errorf("%s: server got request %+v; client got reply %+v, error %v", tc.name, got, reply, err)
		}
	}
	if !leaveCalled {
		t.Error("leave was not called")
	}
}

func TestErrors(t *testing.T) {
	conflict := &operator.ConflictError{Number: 7, Author: "ana", At: noon}
	invalid := &operator.InvalidError{Problems: []operator.Problem{{File: "f", Line: 2, Column: 3, Field: "a.b", Want: "a number", Got: "x"}, {}}}
	cases := []struct {
		name     string
		err      error
		wantErr  error
		wantText string
	}{
		{"conflict", errors.Wrap(conflict, "apply"), nil, "conflict: configuration 7 by ana, accepted at 2026-12-04T12:00:00Z, is in force"},
		{"invalid", invalid, nil, "f:2:3: a.b: want a number, got x\n:0:0: file: want , got "},
		{"unknown", errors.Wrap(operator.ErrUnknown, "apply"), operator.ErrUnknown, "apply: outcome unknown: repeat with the same request ID"},
		{"unavailable", operator.ErrUnavailable, operator.ErrUnavailable, "not available at this time"},
		{"missing", operator.ErrMissing, operator.ErrMissing, "not found"},
		{"bad", operator.ErrBadRequest, operator.ErrBadRequest, "bad request"},
		{"internal", errors.New("why"), nil, "daemon: internal: why"},
		{"platform unavailable for a write", storage.ErrUnavailable, nil, "daemon: internal: platform gave no answer"},
	}
	s := operator.NewServer(operator.WithMaxBody(1000))
	c := newClient(t, s)
	ctx := context.Background()
	req, _ := testRequest(1, 0)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s.Apply = func(context.Context, operator.ApplyRequest) (operator.ApplyReply, error) {
				return operator.ApplyReply{}, tc.err
			}
			_, err := c.Apply(ctx, req)
			if err == nil || err.Error() != tc.wantText || (tc.wantErr != nil && !errors.Is(err, tc.wantErr)) {
				t.Fatalf("got %v", err)
			}
			var gotConflict *operator.ConflictError
			if errors.As(err, &gotConflict) != (tc.name == "conflict") || (gotConflict != nil && *gotConflict != *conflict) {
				t.Fatalf("got conflict %+v", gotConflict)
			}
			var gotInvalid *operator.InvalidError
			if errors.As(err, &gotInvalid) != (tc.name == "invalid") || (gotInvalid != nil && !reflect.DeepEqual(gotInvalid, invalid)) {
				t.Fatalf("got invalid %+v", gotInvalid)
			}
		})
	}
	s.Show = func(context.Context) (operator.ShowReply, error) {
		return operator.ShowReply{}, storage.ErrUnavailable
	}
	if _, err := c.Show(ctx); !errors.Is(err, operator.ErrUnavailable) {
		t.Errorf("platform unavailable for a read: got %v, want ErrUnavailable", err)
	}
	if _, err := c.Status(ctx); !errors.Is(err, operator.ErrUnsupported) {
		t.Errorf("call without a function: got %v, want ErrUnsupported", err)
	}
	req.Text = make([]byte, 1000)
	if _, err := c.Apply(ctx, req); !errors.Is(err, operator.ErrBadRequest) {
		t.Errorf("request above the size limit: got %v, want ErrBadRequest", err)
	}
}

func TestStatuses(t *testing.T) {
	s := fullServer()
	notReady := errors.New("cold")
	s.Ready = func() error { return notReady }
	cases := []struct {
		method, path, body string
		status             int
		contains           string
	}{
		{"GET", "/healthz", "", 200, "ok"},
		{"GET", "/readyz", "", 503, "cold"},
		{"GET", "/metrics", "", 200, ""},
		{"GET", "/nothing", "", 404, ""},
		{"GET", "/apply", "", 405, ""},
		{"POST", "/apply", "", 400, "EOF"},
		{"POST", "/apply", `{"text":"e30=","author":"a","change":"12345678"}`, 200, `"number":0`},
		{"POST", "/apply", `{"text":"e30=","author":"a","change":"12345678"} 1`, 400, "trail"},
		{"POST", "/apply", `{"text":"e30=","author":"a","change":"12345678","x":1}`, 400, "unknown field"},
		{"POST", "/apply", `{"text":"e30=","author":"a","change":"1"}`, 400, "change must have"},
		{"POST", "/apply", strings.Repeat("x", 2000), 413, `"large"`},
		{"GET", "/audit?limit=0", "", 400, "limit must be"},
		{"GET", "/audit?limit=x", "", 400, "limit"},
		{"GET", "/audit?since=yesterday", "", 400, "since"},
		{"GET", "/audit", "", 200, "entries"},
		{"GET", "/key?service=a", "", 400, "key must not be empty"},
		{"POST", "/leave", "", 200, "{}"},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.contains) {
			t.Errorf("%s %s %.40s: %d %s", c.method, c.path, c.body, w.Code, w.Body)
		}
	}
	notReady = nil
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/readyz", nil))
	if w.Code != http.StatusOK {
		t.Errorf("status %d from a ready daemon", w.Code)
	}
}

// fullServer returns a server that supports all calls, each of which succeeds.
func fullServer() *operator.Server {
	s := operator.NewServer(operator.WithMaxBody(1000))
	s.Apply = func(context.Context, operator.ApplyRequest) (r operator.ApplyReply, _ error) { return r, nil }
	s.Show = func(context.Context) (r operator.ShowReply, _ error) { return r, nil }
	s.Status = func(context.Context) (r operator.StatusReply, _ error) { return r, nil }
	s.Audit = func(context.Context, operator.AuditRequest) (r operator.AuditReply, _ error) { return r, nil }
	s.Key = func(context.Context, operator.KeyRequest) (r operator.KeyReply, _ error) { return r, nil }
	s.Leave = func(context.Context) error { return nil }
	return s
}

func TestIncompleteResponse(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"connection closed": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"truncated":         func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"number":7`) },
		"error of a proxy":  func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "proxy", http.StatusBadGateway) },
	}
	for name, h := range cases {
		if _, err := newClient(t, h).Show(context.Background()); !errors.Is(err, operator.ErrUnreachable) {
			t.Errorf("%s: got %v, want ErrUnreachable", name, err)
		}
	}
}

func TestApplyAny(t *testing.T) {
	conflicting := &operator.ConflictError{Number: 3}
	cases := []struct {
		name           string
		firstErr       error // error of the first daemon
		secondErr      error // error of the second daemon
		want           error
		outcomeUnknown bool // ApplyAny returns ErrUnknown
	}{
		{"accepted elsewhere", operator.ErrUnknown, nil, nil, false},
		{"definite answer", operator.ErrUnavailable, operator.ErrBadRequest, operator.ErrBadRequest, false},
		{"both unavailable", operator.ErrUnavailable, operator.ErrUnavailable, operator.ErrUnavailable, false},
		{"unavailable after unknown", operator.ErrUnknown, operator.ErrUnavailable, operator.ErrUnknown, true},
		{"bad request after unknown", operator.ErrUnknown, operator.ErrBadRequest, operator.ErrUnknown, true},
		{"conflict after unknown", operator.ErrUnknown, conflicting, conflicting, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			daemon := func(err error) *operator.Client {
				s := operator.NewServer()
				s.Apply = func(context.Context, operator.ApplyRequest) (operator.ApplyReply, error) {
					return operator.ApplyReply{Number: 1}, err
				}
				return newClient(t, s)
			}
			clients := []*operator.Client{daemon(c.firstErr), daemon(c.secondErr)}
			waits := 0
			req, _ := testRequest(1, 0)
			_, err := operator.ApplyAny(context.Background(), clients, req, storage.WithSleep(func(context.Context, time.Duration) error {
				if waits++; waits == 4 {
					return context.Canceled
				}
				return nil
			}))
			var conflict *operator.ConflictError
			if errors.As(err, &conflict) {
				err = conflicting
			}
			if !errors.Is(err, c.want) || errors.Is(err, operator.ErrUnknown) != c.outcomeUnknown {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestStatusReply(t *testing.T) {
	newInstance := func(name, domain string, config uint64) operator.Instance {
		return operator.Instance{Instance: name, Domain: domain, Config: config}
	}
	cases := []struct {
		name             string
		accepted         uint64
		instances        []operator.Instance
		wantAccepted     uint64
		wantLowest       uint64
		lagging, ordered string
	}{
		{"none", 4, nil, 4, 4, "", ""},
		{"all", 4, []operator.Instance{newInstance("b", "x", 4), newInstance("a", "y", 4)}, 4, 4, "", "b a"},
		{"one lags", 4, []operator.Instance{newInstance("b", "x", 4), newInstance("a", "x", 2)}, 4, 2, "a", "a b"},
		{"one is ahead", 4, []operator.Instance{newInstance("b", "x", 5), newInstance("a", "x", 4)}, 5, 4, "a", "a b"},
	}
	for _, c := range cases {
		r := operator.NewStatusReply(c.accepted, c.instances, nil)
		names := make([]string, 0, len(r.Instances))
		for _, i := range r.Instances {
			names = append(names, i.Instance)
		}
		if r.Accepted != c.wantAccepted || r.Lowest != c.wantLowest || strings.Join(r.Lagging, " ") != c.lagging || strings.Join(names, " ") != c.ordered {
			t.Errorf("%s: %+v", c.name, r)
		}
	}
}
