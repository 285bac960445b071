package config

import (
	"maps"
	"slices"
	"strings"
)

// Table is an immutable configuration, compiled for lookups.
type Table struct {
	number     uint64
	outDomains map[string]bool
	services   []*Service
	byService  map[string]*serviceIndex
	hosts      routesByHost
	maxBody    int64
	teams      teamIndex
}

// serviceIndex holds one service with indexes of its kinds by name and by path.
type serviceIndex struct {
	service *Service
	kinds   map[string]*Kind
	root    node
}

// NewTable compiles a parsed file that was accepted under the given number.
func NewTable(f *File, number uint64) *Table {
	t := &Table{
		number:     number,
		outDomains: make(map[string]bool, len(f.Out)),
		services:   make([]*Service, 0, len(f.Services)),
		byService:  make(map[string]*serviceIndex, len(f.Services)),
		hosts:      newRoutesByHost(f.Routes),
		maxBody:    f.MaxBody,
		teams:      newTeamIndex(f.Teams),
	}
	for _, domain := range f.Out {
		t.outDomains[domain] = true
	}
	for i := range f.Services {
		index := newServiceIndex(f.Services[i])
		t.services = append(t.services, index.service)
		t.byService[index.service.Name] = index
	}
	return t
}

func newServiceIndex(s Service) *serviceIndex {
	s.Kinds = slices.Clone(s.Kinds)
	index := &serviceIndex{service: &s, kinds: make(map[string]*Kind, len(s.Kinds))}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		index.kinds[k.Name] = k
		segments, _ := parsePattern(k.Path)
		index.root.insert(segments, k)
	}
	return index
}

// Number returns the number under which the configuration was accepted.
func (t *Table) Number() uint64 {
	return t.number
}

// DomainOut reports whether a failure domain is out of service.
func (t *Table) DomainOut(domain string) bool {
	return t.outDomains[domain]
}

// MaxBody returns the maximum size in bytes of the body of a request to a route;
// zero if there is no limit.
func (t *Table) MaxBody() int64 {
	return t.maxBody
}

// OutDomains returns the failure domains that are out of service, sorted.
func (t *Table) OutDomains() []string {
	return slices.Sorted(maps.Keys(t.outDomains))
}

// Services returns all services in the order of the file.
func (t *Table) Services() []*Service {
	return slices.Clone(t.services)
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	if index := t.byService[name]; index != nil {
		return index.service, true
	}
	return nil, false
}

// Kind returns the kind with the given name of the given service.
func (t *Table) Kind(service, kind string) (*Kind, bool) {
	index := t.byService[service]
	if index == nil {
		return nil, false
	}
	k, ok := index.kinds[kind]
	return k, ok
}

// Match finds the kind of a request by its method and escaped path, such as
// /agenda/visits/17. A literal segment takes precedence over a wildcard. If no
// kind matches, Match returns false and the Reason of the result is set.
func (t *Table) Match(method, path string) (Match, bool) {
	if !strings.HasPrefix(path, "/") {
		return Match{Reason: ReasonUnknownService}, false
	}
	name, rest, hasMore := strings.Cut(path[1:], "/")
	index := t.byService[name]
	if index == nil {
		return Match{Reason: ReasonUnknownService}, false
	}
	m := Match{Service: index.service, Path: "/", Reason: ReasonUnknownPath}
	if hasMore {
		m.Path = path[1+len(name):]
	}
	if index.root.find(&m, method, rest, rest != "", 0) {
		m.Reason = ReasonNone
		return m, true
	}
	return m, false
}
