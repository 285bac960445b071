package config

import (
	"cmp"
	"slices"
	"strings"
)

// Route says which services answer the requests for one host and path.
type Route struct {
	// Name is unique within the file.
	Name string
	// Host is the host that callers name, in lower case and without a port.
	Host string
	// Prefix is the start of the paths; it begins and ends with a slash.
	Prefix string
	// Shares are the services that share the requests; there is at least one.
	Shares []Share
}

// Share is the part of a route's requests that one service answers.
type Share struct {
	Service string
	// Weight is the part in relation to the weights of all shares.
	Weight int
	// Kind is what the requests are to this service.
	Kind *Kind
}

// Pick returns the share in which a number from 0 to less than 1 falls, so that
// evenly drawn numbers give each share its weight.
func (r *Route) Pick(number float64) *Share {
	total := 0
	for i := range r.Shares {
		total += r.Shares[i].Weight
	}
	at := int(number * float64(total))
	for i := range r.Shares {
		if at -= r.Shares[i].Weight; at < 0 {
			return &r.Shares[i]
		}
	}
	return &r.Shares[0]
}

// hosts holds the routes of each host, those with longer prefixes first.
type hosts map[string][]*Route

func newHosts(routes []Route) hosts {
	h := make(hosts)
	for i := range routes {
		r := &routes[i]
		h[r.Host] = append(h[r.Host], r)
	}
	for _, list := range h {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return h
}

// FindRoute returns the route with the longest prefix that begins the path, among those
// of the host; nil if there is none. A port behind the host is ignored.
func (t *Table) FindRoute(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
