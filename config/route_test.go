package config_test

import (
	"testing"

	"fulmarrun/config"
)

func TestFindRoute(t *testing.T) {
	table := config.NewTable(&config.File{Routes: []config.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}}, 1)
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/y/", "long"},
		{"A.Example:8080", "/x/1", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/x/y/", "other"},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	} {
		got := ""
		if r := table.FindRoute(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

func TestPick(t *testing.T) {
	r := config.Route{Shares: []config.Share{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000).Service]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("requests of 1000 by share: %v, want 900 for a and 100 for b", counts)
	}
	if s := (&config.Route{Shares: []config.Share{{Service: "a"}}}).Pick(0.5); s.Service != "a" {
		t.Errorf("a route whose weights are all zero picked %q, want a", s.Service)
	}
}
