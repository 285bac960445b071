package config

import (
	"cmp"
	"slices"
	"strings"
)

// Route assigns the requests for one host and path prefix to services.
type Route struct {
	// Name is unique within the file.
	Name string
	// Host is the host of the requests, in lower case and without a port.
	Host string
	// Prefix is the prefix of the paths; it begins and ends with a slash.
	Prefix string
	// Shares are the services among which the requests are divided; there is at
	// least one.
	Shares []Share
	// Public is true if requests need no key of a team.
	Public bool
}

// Share is the share of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is the size of the share relative to the sum of all weights.
	Weight int
	// Kind is the kind of the requests at this service.
	Kind *Kind
}

// Pick returns a share for a number that is at least 0 and less than 1. Uniformly
// distributed numbers give each share requests in proportion to its weight.
func (r *Route) Pick(number float64) *Share {
	total := 0
	for i := range r.Shares {
		total += r.Shares[i].Weight
	}
	remaining := int(number * float64(total))
	for i := range r.Shares {
		if remaining -= r.Shares[i].Weight; remaining < 0 {
			return &r.Shares[i]
		}
	}
	return &r.Shares[0]
}

// routesByHost maps a host to its routes, sorted by descending prefix length.
type routesByHost map[string][]*Route

func newRoutesByHost(routes []Route) routesByHost {
	h := make(routesByHost)
	for i := range routes {
		r := &routes[i]
		h[r.Host] = append(h[r.Host], r)
	}
	for _, list := range h {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return h
}

// FindRoute returns the route of the host with the longest matching prefix of the
// path, or nil if there is none. It ignores a port in host.
func (t *Table) FindRoute(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
