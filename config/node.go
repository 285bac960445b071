package config

import "strings"

// node is a branch of a service's tree of path segments.
type node struct {
	literals map[string]*node
	wild     *node
	// leaves are the kinds whose path ends here; each has another method.
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

// find looks for the most specific kind with m's method, where rest is the path
// behind the next slash. Wildcards are collected in m. A path that matches with
// another method only sets m's reason.
func (n *node) find(m *Match, method, rest string, more bool, depth int) bool {
	if !more {
		return n.leaf(m, method)
	}
	part, tail, more := strings.Cut(rest, "/")
	if next := n.literals[part]; next != nil && next.find(m, method, tail, more, depth) {
		return true
	}
	if n.wild == nil || depth == MaxWildcards || dots(part) {
		return false
	}
	m.values[depth] = part
	return n.wild.find(m, method, tail, more, depth+1)
}

func (n *node) leaf(m *Match, method string) bool {
	for _, k := range n.leaves {
		if k.Method == method {
			m.Kind = k
			return true
		}
		m.Reason = ReasonOtherMethod
	}
	return false
}

// dots reports whether a segment is empty, "." or "..", escaped or not: a
// target might resolve it and see another path than the one that was matched.
func dots(part string) bool {
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
