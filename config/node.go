package config

import "strings"

// node is a node of the tree of path segments of a service.
type node struct {
	literals map[string]*node
	wild     *node
	// leaves are the kinds whose path ends at this node; their methods differ.
	leaves []*Kind
}

func (n *node) insert(segments []segment, k *Kind) {
	for _, s := range segments {
		n = n.child(s)
	}
	n.leaves = append(n.leaves, k)
}

func (n *node) child(s segment) *node {
	if s.wild {
		if n.wild == nil {
			n.wild = &node{}
		}
		return n.wild
	}
	if n.literals == nil {
		n.literals = make(map[string]*node)
	}
	next := n.literals[s.text]
	if next == nil {
		next = &node{}
		n.literals[s.text] = next
	}
	return next
}

// find sets m.Kind to the most specific kind that matches the method and the
// rest of the path, which starts after the next slash; if hasMore is false, the
// path has ended. It stores the values of wildcards in m. For a path that matches
// with other methods only, it sets just m.Reason.
func (n *node) find(m *Match, method, rest string, hasMore bool, depth int) bool {
	if !hasMore {
		return n.matchMethod(m, method)
	}
	part, tail, hasMore := strings.Cut(rest, "/")
	if next := n.literals[part]; next != nil && next.find(m, method, tail, hasMore, depth) {
		return true
	}
	if n.wild == nil || depth == MaxWildcards || isDotSegment(part) {
		return false
	}
	m.values[depth] = part
	return n.wild.find(m, method, tail, hasMore, depth+1)
}

func (n *node) matchMethod(m *Match, method string) bool {
	for _, k := range n.leaves {
		if k.Method == method {
			m.Kind = k
			return true
		}
		m.Reason = ReasonOtherMethod
	}
	return false
}

// isDotSegment reports whether a segment is empty, "." or "..", escaped or not. A
// target might resolve such a segment and see a path other than the matched one.
func isDotSegment(part string) bool {
	count := 0
	for part != "" {
		switch {
		case part[0] == '.':
			part = part[1:]
		case len(part) >= 3 && strings.EqualFold(part[:3], "%2e"):
			part = part[3:]
		default:
			return false
		}
		count++
	}
	return count <= 2
}
