package lease

import (
	"time"

	"fulmarrun/wire"
)

const (
	// DefaultTTL is how long a witness that answered a heartbeat must not vote against the lease.
	DefaultTTL = time.Second
	// DefaultBeat is the time between two heartbeats of a holder.
	DefaultBeat = 250 * time.Millisecond
	// DefaultMargin is how much earlier than TTL a holder considers its lease expired.
	// It allows each of two clocks to drift by 2.5 percent.
	DefaultMargin = 50 * time.Millisecond
)

// Option configures a Holder, a Witness or a Takeover. All instances of one system
// must use the same TTL.
type Option func(*config)

// WithTTL is a functional option that sets how long an answer binds a witness.
func WithTTL(ttl time.Duration) Option {
	return func(c *config) { c.ttl = ttl }
}

// WithBeat is a functional option that sets the time between two heartbeats.
func WithBeat(beat time.Duration) Option {
	return func(c *config) { c.beat = beat }
}

// WithMargin is a functional option that sets how much earlier than TTL a holder
// considers its lease expired.
func WithMargin(margin time.Duration) Option {
	return func(c *config) { c.margin = margin }
}

// WithFirstWitnessTimeout is a functional option that sets after what time a holder which has never
// had a lease replaces a witness that has not answered at all; a TTL without it.
func WithFirstWitnessTimeout(timeout time.Duration) Option {
	return func(c *config) { c.firstTimeout = timeout }
}

// WithRequester is a functional option that sets the daemon that requests votes in a
// Takeover. Its position among the witnesses determines how long it waits for others
// to start the takeover.
func WithRequester(self wire.Generation) Option {
	return func(c *config) { c.requester = self }
}

// WithFaults is a functional option for tests only: it violates rules of this package
// in order to verify that the model checks detect the violation.
func WithFaults(f Faults) Option {
	return func(c *config) { c.faults = f }
}

// Faults are deliberate violations of the lease rules for tests. The zero value
// has none.
type Faults struct {
	// CountFromAnswer counts a renewal from when the answer arrived.
	CountFromAnswer bool
	// VotesDontBind lets a witness renew a lease after it voted that the lease has expired.
	VotesDontBind bool
	// OnlyNewSet ignores the old witnesses as soon as a change begins.
	OnlyNewSet bool
	// AnyVersion omits the condition on the version of the holder's row.
	AnyVersion bool
	// FewVotes accepts one vote less than the quorum, so that the quorums of votes and
	// renewals need not overlap.
	FewVotes bool
	// ClosedAtOnce counts a closed witness as a vote without waiting for TTL.
	ClosedAtOnce bool
	// CountMarked counts marked answers as renewals.
	CountMarked bool
	// AnyClosed counts every closed witness, even one that was closed on the basis of
	// other closed witnesses.
	AnyClosed bool
}

type config struct {
	ttl       time.Duration
	beat      time.Duration
	margin    time.Duration
	requester wire.Generation
	// firstTimeout is set by WithFirstWitnessTimeout.
	firstTimeout time.Duration
	faults       Faults
}

func newConfig(opts []Option) config {
	c := config{ttl: DefaultTTL, beat: DefaultBeat, margin: DefaultMargin}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
