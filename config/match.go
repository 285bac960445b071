package config

import (
	"net/http"
	"net/url"
	"strings"
)

// Reason says why a request matches no kind.
type Reason uint8

const (
	// ReasonNone means that the request matches a kind.
	ReasonNone Reason = iota
	// ReasonUnknownService means that no such service is declared.
	ReasonUnknownService
	// ReasonUnknownPath means that the service has no kind with such a path.
	ReasonUnknownPath
	// ReasonOtherMethod means that the path exists, but with other methods.
	ReasonOtherMethod
)

// String returns the reason in one word.
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

// Match is what the table says of one request.
type Match struct {
	// Service is nil if Reason is ReasonUnknownService.
	Service *Service
	// Kind is nil unless Reason is ReasonNone.
	Kind *Kind
	// Path is the escaped path as the target is to see it, without a query.
	Path string
	// Reason says why nothing was found.
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

// Key returns the key that the request carries where its kind names one. It
// returns false if the kind names none, or if the request does not carry it
// exactly once and not empty.
func (m *Match) Key(r *http.Request) (string, bool) {
	if m.Kind == nil {
		return "", false
	}
	switch key := m.Kind.Key; {
	case key.Path != "":
		return m.Value(key.Path)
	case key.Header != "":
		return single(r.Header.Values(key.Header))
	case key.Query != "":
		query, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil {
			return "", false
		}
		return single(query[key.Query])
	default:
		return "", false
	}
}

func single(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}
