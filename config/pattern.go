package config

import (
	"fmt"
	"regexp"
	"strings"
)

// MaxWildcards is the maximum number of wildcards in a path.
const MaxWildcards = 8

var (
	wildcardPattern = regexp.MustCompile(`^\{[A-Za-z0-9_]{1,63}\}$`)
	segmentPattern  = regexp.MustCompile(`^[A-Za-z0-9._~!$&'()*+,;=:@-]+$`)
)

// segment is the part of a path between two slashes.
type segment struct {
	// text is the literal, or the name of the wildcard.
	text string
	wild bool
}

// parsePattern splits a path into segments. The second result describes what was
// expected if the path is malformed, and is empty otherwise.
func parsePattern(path string) ([]segment, string) {
	if path == "/" {
		return nil, ""
	}
	var segments []segment
	names := make(map[string]bool)
	for part := range strings.SplitSeq(strings.TrimPrefix(path, "/"), "/") {
		switch {
		case wildcardPattern.MatchString(part):
			name := part[1 : len(part)-1]
			if names[name] {
				return nil, fmt.Sprintf("the wildcard {%s} once", name)
			}
			names[name] = true
			segments = append(segments, segment{text: name, wild: true})
		case segmentPattern.MatchString(part) && part != "." && part != "..":
			segments = append(segments, segment{text: part})
		default:
			return nil, "segments of unreserved characters or one {wildcard}, each not empty"
		}
	}
	if len(names) > MaxWildcards {
		return nil, fmt.Sprintf("at most %d wildcards", MaxWildcards)
	}
	return segments, ""
}

// ambiguous reports whether some path matches both patterns and neither pattern
// is more specific than the other.
func ambiguous(a, b []segment) bool {
	if len(a) != len(b) {
		return false
	}
	var aMoreSpecific, bMoreSpecific bool
	for i := range a {
		switch {
		case a[i].wild && b[i].wild:
		case a[i].wild:
			bMoreSpecific = true
		case b[i].wild:
			aMoreSpecific = true
		case a[i].text != b[i].text:
			return false
		}
	}
	return aMoreSpecific == bMoreSpecific
}
