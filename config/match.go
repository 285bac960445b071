package config

import (
	"net/http"
	"net/url"
	"strings"
)

// Reason is the reason why a request matches no kind.
type Reason uint8

const (
	// ReasonNone means that the request matches a kind.
	ReasonNone Reason = iota
	// ReasonUnknownService means that the file does not declare the service.
	ReasonUnknownService
	// ReasonUnknownPath means that no kind of the service matches the path.
	ReasonUnknownPath
	// ReasonOtherMethod means that kinds match the path, but not the method.
	ReasonOtherMethod
)

// String returns the reason as one word.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonUnknownService:
		return "service"
	case ReasonUnknownPath:
		return "path"
	case ReasonOtherMethod:
		return "method"
	default:
		return "unknown"
	}
}

// Match is the result of looking up one request in the table.
type Match struct {
	// Service is nil if Reason is ReasonUnknownService.
	Service *Service
	// Kind is nil unless Reason is ReasonNone.
	Kind *Kind
	// Path is the escaped path that the target receives, without a query.
	Path string
	// Reason is the reason why no kind was found.
	Reason Reason

	values [MaxWildcards]string
}

// Value returns the unescaped value of a wildcard of the path.
func (m *Match) Value(name string) (string, bool) {
	if m.Kind == nil {
		return "", false
	}
	index := 0
	for part := range strings.SplitSeq(m.Kind.Path, "/") {
		if !strings.HasPrefix(part, "{") {
			continue
		}
		if part[1:len(part)-1] == name {
			value, err := url.PathUnescape(m.values[index])
			return value, err == nil
		}
		index++
	}
	return "", false
}

// Key returns the key of the request, read from the place that its kind declares.
// It returns false if the kind declares none, if the key is empty, or if the
// request does not have it exactly once.
func (m *Match) Key(r *http.Request) (string, bool) {
	if m.Kind == nil {
		return "", false
	}
	switch key := m.Kind.Key; {
	case key.Path != "":
		return m.Value(key.Path)
	case key.Header != "":
		return singleValue(r.Header.Values(key.Header))
	case key.Query != "":
		query, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil {
			return "", false
		}
		return singleValue(query[key.Query])
	default:
		return "", false
	}
}

func singleValue(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}
