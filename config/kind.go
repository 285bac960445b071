package config

import (
	"slices"
	"time"
)

// Kind declares one kind of request and what it is worth.
type Kind struct {
	// Name is unique within the service.
	Name string
	// Method is the HTTP method.
	Method string
	// Path is the path as the target sees it, with wildcards such as {visit}
	// that each stand for one segment.
	Path string
	// Key says where a request carries its key; it is zero if there is none.
	Key KeySource
	// Wait is how long a caller may be kept waiting for the answer.
	Wait time.Duration
	// Repeat is the cost of running the request again.
	Repeat Cost
	// Domains are the failure domains that may serve it; empty means all.
	Domains []string
	// Targets are the instances that may serve it; empty means all.
	Targets []string
	// Class says whether the request may use capacity that is not idle.
	Class Class
	// Ranged is true if the key is a number in a range that a target owns.
	Ranged bool
	// UniqueIDs is true if no caller sends an ID twice: a request that may not be
	// repeated then needs no memory of IDs, nor an owner that keeps it.
	UniqueIDs bool
	// Priority orders requests where not all can be served; 0 goes first.
	Priority uint8
	// LatencyGoal is the time within which an answer is worth most; zero if not said.
	LatencyGoal time.Duration
	// MaxAttempts is how many targets one request may be sent to; zero for the
	// default.
	MaxAttempts int
}

// Repeatable reports whether the request is idempotent, so that it may be
// retried.
func (k *Kind) Repeatable() bool {
	return !k.Repeat.AtMostOnce
}

// Hedgeable reports whether the request may run twice at the same time to cut
// its latency.
func (k *Kind) Hedgeable() bool {
	return k.Repeatable() && k.Repeat.Price <= MaxHedgePrice
}

// Keyed reports whether only the owner of a key may serve the request.
func (k *Kind) Keyed() bool {
	return k.Ranged || k.Key.IsSet() || k.KeyedByID()
}

// KeyedByID reports whether the request ID is the key: the request may not be
// repeated and names no other key.
func (k *Kind) KeyedByID() bool {
	return k.Repeat.AtMostOnce && !k.Key.IsSet() && !k.UniqueIDs
}

// Deduplicated reports whether the owner of the key remembers request IDs, so that
// asking again runs nothing twice.
func (k *Kind) Deduplicated() bool {
	return k.Repeat.AtMostOnce && !k.UniqueIDs
}

// AllowsTarget reports whether a target in the given failure domain and instance may
// serve the request.
func (k *Kind) AllowsTarget(domain, instance string) bool {
	if len(k.Domains) > 0 && !slices.Contains(k.Domains, domain) {
		return false
	}
	return len(k.Targets) == 0 || slices.Contains(k.Targets, instance)
}
