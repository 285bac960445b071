package lease

import (
	"time"

	"fulmarrun/wire"
)

const (
	// DefaultTTL is how long an answer binds a witness.
	DefaultTTL = time.Second
	// DefaultBeat is the time between two heartbeats of a holder.
	DefaultBeat = 250 * time.Millisecond
	// DefaultMargin is how much earlier than TTL a holder lets its lease end.
	// It allows each of two clocks to drift by 2.5 percent.
	DefaultMargin = 50 * time.Millisecond
)

// Option configures a Holder, a Witness or a Takeover. Those of one system must
// agree on TTL.
type Option func(*config)

// WithTTL is a functional option that sets how long an answer binds a witness.
func WithTTL(ttl time.Duration) Option {
	return func(c *config) { c.ttl = ttl }
}

// WithBeat is a functional option that sets the time between two heartbeats.
func WithBeat(beat time.Duration) Option {
	return func(c *config) { c.beat = beat }
}

// WithMargin is a functional option that sets how much earlier than TTL a
// holder lets its lease end.
func WithMargin(margin time.Duration) Option {
	return func(c *config) { c.margin = margin }
}

// WithRequester is a functional option that names the daemon that asks for votes in
// a Takeover. Its rank among the witnesses sets how long it leaves the first
// move to others.
func WithRequester(self wire.Generation) Option {
	return func(c *config) { c.asker = self }
}

// WithFaults is a functional option for tests of the proofs only: it breaks
// rules of this package, so that the proofs can be seen to notice.
func WithFaults(f Faults) Option {
	return func(c *config) { c.faults = f }
}

// Faults are deliberate mistakes for tests of the proofs. The zero value is
// none.
type Faults struct {
	// CountFromAnswer counts a renewal from the arrival of its answer.
	CountFromAnswer bool
	// VotesDontBind lets a witness renew a lease that it voted to be expired.
	VotesDontBind bool
	// OnlyNewSet forgets the old witnesses as soon as a change begins.
	OnlyNewSet bool
	// AnyVersion drops the condition on the holder's row as read.
	AnyVersion bool
	// FewVotes takes one vote fewer than the quorum, so that votes and renewals
	// need not meet.
	FewVotes bool
	// ClosedAtOnce counts a closed witness as a vote without waiting for TTL.
	ClosedAtOnce bool
	// CountMarked counts marked answers as renewals.
	CountMarked bool
	// AnyClosed counts a closed witness whatever its closing rested on.
	AnyClosed bool
}

type config struct {
	ttl    time.Duration
	beat   time.Duration
	margin time.Duration
	asker  wire.Generation
	faults Faults
}

func newConfig(opts []Option) config {
	c := config{ttl: DefaultTTL, beat: DefaultBeat, margin: DefaultMargin}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
