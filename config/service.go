package config

import "time"

// DefaultRetain is the retention of request IDs if the file does not set it.
const DefaultRetain = 10 * time.Minute

// DefaultSkew is the margin for clock differences if the file does not set it.
const DefaultSkew = 250 * time.Millisecond

// DefaultCeiling is the maximum number of requests in flight at one target if the
// file does not set it.
const DefaultCeiling = 20

// Service declares one service: how its keys are divided among its targets, and
// the kinds of requests that it serves.
type Service struct {
	// Name is the name of the service, the first segment of the path in callers'
	// requests.
	Name string
	// Slots is the number of slots into which keys are hashed, a power of two.
	// It must not change once the service has run.
	Slots int
	// Ranged is true if keys are numbers and each slot is a range of numbers.
	Ranged bool
	// Retain is the time for which request IDs and their outcomes are remembered.
	Retain time.Duration
	// Skew is the margin for clock differences between processes.
	Skew time.Duration
	// ColdRate is the number of requests per second that a target can handle just
	// after its start; zero if it is not configured.
	ColdRate float64
	// Ceiling is the maximum number of requests in flight at one target; the
	// adaptive limit stays at or below it.
	Ceiling int
	// Kinds are in the order of the file.
	Kinds []Kind
}

// Keyed reports whether the keys of the service have owners, which is the case if keys
// are numbers in ranges (Ranged) or at least one of its kinds is keyed.
func (s *Service) Keyed() bool {
	if s.Ranged {
		return true
	}
	for i := range s.Kinds {
		if s.Kinds[i].Keyed() {
			return true
		}
	}
	return false
}
