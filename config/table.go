package config

import (
	"maps"
	"slices"
	"strings"
)

// Table is a configuration in force, compiled for lookups. It never changes.
type Table struct {
	number   uint64
	out      map[string]bool
	services []*Service
	routes   map[string]*route
	hosts    hosts
	body     int64
}

// route is what the table knows of one service.
type route struct {
	service *Service
	kinds   map[string]*Kind
	root    node
}

// NewTable compiles a parsed file that was accepted under the given number.
func NewTable(f *File, number uint64) *Table {
	t := &Table{
		number:   number,
		out:      make(map[string]bool, len(f.Out)),
		services: make([]*Service, 0, len(f.Services)),
		routes:   make(map[string]*route, len(f.Services)),
		hosts:    newHosts(f.Routes),
		body:     f.MaxBody,
	}
	for _, domain := range f.Out {
		t.out[domain] = true
	}
	for i := range f.Services {
		r := newRoute(f.Services[i])
		t.services = append(t.services, r.service)
		t.routes[r.service.Name] = r
	}
	return t
}

func newRoute(s Service) *route {
	s.Kinds = slices.Clone(s.Kinds)
	r := &route{service: &s, kinds: make(map[string]*Kind, len(s.Kinds))}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		r.kinds[k.Name] = k
		segments, _ := parsePattern(k.Path)
		r.root.insert(segments, k)
	}
	return r
}

// Number returns the number under which the configuration was accepted.
func (t *Table) Number() uint64 {
	return t.number
}

// DomainOut reports whether a failure domain is taken out.
func (t *Table) DomainOut(domain string) bool {
	return t.out[domain]
}

// MaxBody returns the size of the longest body that callers may send to routes, in
// bytes; zero if there is no bound.
func (t *Table) MaxBody() int64 {
	return t.body
}

// OutDomains returns the failure domains that are taken out, sorted.
func (t *Table) OutDomains() []string {
	return slices.Sorted(maps.Keys(t.out))
}

// Services returns all services in the order of the file.
func (t *Table) Services() []*Service {
	return slices.Clone(t.services)
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	if r := t.routes[name]; r != nil {
		return r.service, true
	}
	return nil, false
}

// Kind returns a kind by the names of its service and its own.
func (t *Table) Kind(service, kind string) (*Kind, bool) {
	r := t.routes[service]
	if r == nil {
		return nil, false
	}
	k, ok := r.kinds[kind]
	return k, ok
}

// Match finds the kind of a request from its method and escaped path, such as
// /agenda/visits/17. A literal segment goes before a wildcard. It returns false
// with a reason if there is none.
func (t *Table) Match(method, path string) (Match, bool) {
	if !strings.HasPrefix(path, "/") {
		return Match{Reason: ReasonUnknownService}, false
	}
	name, rest, more := strings.Cut(path[1:], "/")
	r := t.routes[name]
	if r == nil {
		return Match{Reason: ReasonUnknownService}, false
	}
	m := Match{Service: r.service, Path: "/", Reason: ReasonUnknownPath}
	if more {
		m.Path = path[1+len(name):]
	}
	if r.root.find(&m, method, rest, rest != "", 0) {
		m.Reason = ReasonNone
		return m, true
	}
	return m, false
}
