package config

import (
	"slices"
	"time"
)

// Kind declares one kind of requests: which requests belong to it, where they may
// run, and how they may be delayed, retried and prioritized.
type Kind struct {
	// Name is unique within the service.
	Name string
	// Method is the HTTP method.
	Method string
	// Path is the path that the target receives, with wildcards such as {visit}
	// that each match one segment.
	Path string
	// Key is the place in the request that holds its key; zero if there is none.
	Key KeySource
	// Wait is the maximum time that a caller waits for the answer.
	Wait time.Duration
	// Repeat is the cost of running the request again.
	Repeat Cost
	// Domains are the failure domains that may serve the request; empty means all.
	Domains []string
	// Targets are the instances that may serve the request; empty means all.
	Targets []string
	// Class determines whether the request may use all capacity of a target or is
	// admitted only while capacity is idle.
	Class Class
	// Ranged is true if the key is a number and each target owns ranges of numbers.
	Ranged bool
	// UniqueIDs is true if callers never send an ID twice. A request that may run
	// at most once then needs no stored IDs, nor an owner that stores them.
	UniqueIDs bool
	// Priority orders requests if not all can be served; 0 is the highest.
	Priority uint8
	// LatencyGoal is the time within which an answer is worth most; zero if the
	// file does not set it.
	LatencyGoal time.Duration
	// MaxAttempts is the maximum number of targets to which one request is sent;
	// zero for the default.
	MaxAttempts int
}

// Repeatable reports whether the request is idempotent, so that it may be
// retried.
func (k *Kind) Repeatable() bool {
	return !k.Repeat.AtMostOnce
}

// Hedgeable reports whether the request may run at two targets at the same time
// to reduce its latency.
func (k *Kind) Hedgeable() bool {
	return k.Repeatable() && k.Repeat.Price <= MaxHedgePrice
}

// Keyed reports whether only the owner of a key may serve the request.
func (k *Kind) Keyed() bool {
	return k.Ranged || k.Key.IsSet() || k.KeyedByID()
}

// KeyedByID reports whether the request ID is the key: the request may run at
// most once and has no other key.
func (k *Kind) KeyedByID() bool {
	return k.Repeat.AtMostOnce && !k.Key.IsSet() && !k.UniqueIDs
}

// Deduplicated reports whether the owner of the key remembers request IDs, so
// that a retry with the same ID runs nothing twice.
func (k *Kind) Deduplicated() bool {
	return k.Repeat.AtMostOnce && !k.UniqueIDs
}

// AllowsTarget reports whether the target with the given failure domain and
// instance may serve the request.
func (k *Kind) AllowsTarget(domain, instance string) bool {
	if len(k.Domains) > 0 && !slices.Contains(k.Domains, domain) {
		return false
	}
	return len(k.Targets) == 0 || slices.Contains(k.Targets, instance)
}
