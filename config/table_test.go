package config_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"fulmarrun/config"
)

func parseTable(t testing.TB, text []byte) *config.Table {
	t.Helper()
	f, err := config.Parse("test.json", text)
	if err != nil {
		t.Fatal(err)
	}
	return config.NewTable(f, 7)
}

const routesFile = `{"out": ["heredia"], "services": [{"name": "agenda", "slots": 16, "kinds": [
	{"name": "root", "method": "GET", "path": "/", "wait": "1s", "repeat": 0, "class": "urgent"},
	{"name": "list", "method": "GET", "path": "/visits", "key": {"query": "day"}, "wait": "1s", "repeat": 0, "class": "urgent"},
	{"name": "book", "method": "POST", "path": "/visits/{visit}", "key": {"path": "visit"}, "wait": "1s", "repeat": "never", "class": "urgent"},
	{"name": "read", "method": "GET", "path": "/visits/{visit}", "key": {"header": "X-Key"}, "wait": "1s", "repeat": 0, "class": "urgent"},
	{"name": "next", "method": "GET", "path": "/visits/next", "wait": "1s", "repeat": 0, "class": "urgent"},
	{"name": "item", "method": "GET", "path": "/visits/{visit}/items/{item}", "key": {"path": "item"}, "wait": "1s", "repeat": 0, "class": "patient"},
]}]}`

func TestMatch(t *testing.T) {
	tab := parseTable(t, []byte(routesFile))
	for _, c := range []struct {
		method, path string
		kind, target string
		reason       config.Reason
	}{
		{"GET", "/agenda", "root", "/", config.ReasonNone},
		{"GET", "/agenda/", "root", "/", config.ReasonNone},
		{"GET", "/agenda/visits", "list", "/visits", config.ReasonNone},
		{"POST", "/agenda/visits/17", "book", "/visits/17", config.ReasonNone},
		{"GET", "/agenda/visits/17", "read", "/visits/17", config.ReasonNone},
		{"GET", "/agenda/visits/next", "next", "/visits/next", config.ReasonNone},
		{"POST", "/agenda/visits/next", "book", "/visits/next", config.ReasonNone},
		{"GET", "/agenda/visits/next/items/3", "item", "/visits/next/items/3", config.ReasonNone},
		{"GET", "/agenda/visits/a%2Fb/items/3", "item", "/visits/a%2Fb/items/3", config.ReasonNone},
		{"PUT", "/agenda/visits/17", "", "/visits/17", config.ReasonOtherMethod},
		{"GET", "/agenda/visits/", "", "/visits/", config.ReasonUnknownPath},
		{"GET", "/agenda/visits/..", "", "/visits/..", config.ReasonUnknownPath},
		{"GET", "/agenda/visits/%2E.", "", "/visits/%2E.", config.ReasonUnknownPath},
		{"GET", "/agenda/visits/...", "read", "/visits/...", config.ReasonNone},
		{"GET", "/agenda//visits", "", "//visits", config.ReasonUnknownPath},
		{"GET", "/agenda/other", "", "/other", config.ReasonUnknownPath},
		{"GET", "/agendas/visits", "", "", config.ReasonUnknownService},
		{"GET", "/", "", "", config.ReasonUnknownService},
		{"GET", "", "", "", config.ReasonUnknownService},
		{"OPTIONS", "*", "", "", config.ReasonUnknownService},
	} {
		m, ok := tab.Match(c.method, c.path)
		if ok != (c.reason == config.ReasonNone) || m.Reason != c.reason || m.Path != c.target {
			t.Errorf("%s %s: ok %v reason %v path %q, want %v %q", c.method, c.path, ok, m.Reason, m.Path, c.reason, c.target)
		}
		if ok && m.Kind.Name != c.kind {
			t.Errorf("%s %s: kind %s, want %s", c.method, c.path, m.Kind.Name, c.kind)
		}
	}
}

func TestMatchKey(t *testing.T) {
	tab := parseTable(t, []byte(routesFile))
	for _, c := range []struct {
		method, url string
		header      []string
		key         string
		ok          bool
	}{
		{"POST", "/agenda/visits/17", nil, "17", true},
		{"POST", "/agenda/visits/a%2Fb", nil, "a/b", true},
		{"POST", "/agenda/visits/%61", nil, "a", true},
		{"GET", "/agenda/visits/17/items/x%20y", nil, "x y", true},
		{"GET", "/agenda/visits?day=3", nil, "3", true},
		{"GET", "/agenda/visits?day=3&day=4", nil, "", false},
		{"GET", "/agenda/visits?day=", nil, "", false},
		{"GET", "/agenda/visits?day=3;x", nil, "", false},
		{"GET", "/agenda/visits", nil, "", false},
		{"GET", "/agenda/visits/17", []string{"k"}, "k", true},
		{"GET", "/agenda/visits/17", []string{"k", "l"}, "", false},
		{"GET", "/agenda/visits/17", nil, "", false},
		{"GET", "/agenda/visits/next", nil, "", false},
	} {
		r := httptest.NewRequest(c.method, c.url, nil)
		r.Header[http.CanonicalHeaderKey("X-Key")] = c.header
		m, ok := tab.Match(r.Method, r.URL.EscapedPath())
		if !ok {
			t.Fatalf("%s %s: no match: %v", c.method, c.url, m.Reason)
		}
		if key, ok := m.Key(r); key != c.key || ok != c.ok {
			t.Errorf("%s %s %v: key %q %v, want %q %v", c.method, c.url, c.header, key, ok, c.key, c.ok)
		}
	}
}

func TestTable(t *testing.T) {
	tab := parseTable(t, []byte(routesFile))
	service, ok := tab.Service("agenda")
	if !ok || service != tab.Services()[0] || service.Slots != 16 {
		t.Errorf("service agenda: %v %v", service, ok)
	}
	if _, ok := tab.Service("compras"); ok {
		t.Error("service compras exists")
	}
	if k, ok := tab.Kind("agenda", "book"); !ok || k.Path != "/visits/{visit}" {
		t.Errorf("kind book: %v %v", k, ok)
	}
	if _, ok := tab.Kind("compras", "book"); ok {
		t.Error("kind of an unknown service exists")
	}
	if tab.Number() != 7 || !tab.DomainOut("heredia") || tab.DomainOut("cartago") || len(tab.OutDomains()) != 1 {
		t.Errorf("number %d, out %v", tab.Number(), tab.OutDomains())
	}
}

func TestKindAllowsTarget(t *testing.T) {
	for _, c := range []struct {
		kind             config.Kind
		domain, instance string
		want             bool
	}{
		{config.Kind{}, "a", "i", true},
		{config.Kind{Domains: []string{"a"}}, "a", "i", true},
		{config.Kind{Domains: []string{"b"}}, "a", "i", false},
		{config.Kind{Targets: []string{"i"}}, "a", "i", true},
		{config.Kind{Targets: []string{"j"}}, "a", "i", false},
		{config.Kind{Domains: []string{"a"}, Targets: []string{"j"}}, "a", "i", false},
	} {
		if got := c.kind.AllowsTarget(c.domain, c.instance); got != c.want {
			t.Errorf("%+v serves %s %s: %v", c.kind, c.domain, c.instance, got)
		}
	}
}

func TestMatchAllocations(t *testing.T) {
	tab := parseTable(t, fileWithKinds(100))
	if n := testing.AllocsPerRun(100, func() {
		if _, ok := tab.Match("POST", "/agenda/k57/17/items/3"); !ok {
			t.Fatal("no match")
		}
	}); n != 0 {
		t.Errorf("%v allocations for each match, want 0", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	tab := parseTable(b, fileWithKinds(1000))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := tab.Match("POST", "/agenda/k577/17/items/3"); !ok {
			b.Fatal("no match")
		}
	}
}
