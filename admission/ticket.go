package admission

import "time"

// Class tells how a request competes for the target.
type Class uint8

const (
	// Urgent requests enter while the limit allows.
	Urgent Class = iota
	// Patient requests enter only while measured capacity is spare.
	Patient
)

// Ticket describes a request that asks to be admitted.
type Ticket struct {
	Class Class
	// Deadline is when the answer must be there; zero if there is none.
	Deadline time.Time
	// Due is what requests that wait are ordered by; zero for Latest or Deadline.
	Due time.Time
	// Latest is when it must have been handed to the target; zero if only Deadline
	// matters.
	Latest time.Time
	// Depth counts the nested calls above this one.
	Depth uint8
}

const (
	// dueShare is the part of the time in which an answer is worth most after which a
	// request is due.
	dueShare = 0.3
	// dueSlack is how long after it is due a request may be handed over, up to half of
	// its deadline. It is the same for all: in overload everybody is handed over at the
	// end of it, and who had less would never be served.
	dueSlack = 60 * time.Millisecond
)

// WithTargetLatency returns the ticket of a request whose answer is worth most within a time.
// Those with a short one go first, and nobody waits for long: who would is better off
// elsewhere, or later.
func (t Ticket) WithTargetLatency(aim time.Duration, now time.Time) Ticket {
	t.Due = now.Add(time.Duration(dueShare * float64(aim)))
	t.Latest = t.Due.Add(dueSlack)
	if half := now.Add(t.Deadline.Sub(now) / 2); !t.Deadline.IsZero() && half.Before(t.Latest) {
		t.Latest = half
	}
	return t
}

// due is what requests that wait are ordered by.
func (t *Ticket) due() time.Time {
	switch {
	case !t.Due.IsZero():
		return t.Due
	case !t.Latest.IsZero():
		return t.Latest
	default:
		return t.Deadline
	}
}

// until is when a request that waits is too late.
func (t *Ticket) until() time.Time {
	if !t.Latest.IsZero() {
		return t.Latest
	}
	return t.Deadline
}

// late reports whether a request that is handed over after a wait is so too late.
func (t *Ticket) late(now time.Time, wait time.Duration) bool {
	return !t.Latest.IsZero() && now.Add(wait).After(t.Latest)
}

// missed reports whether work that takes at least service from now on ends
// after the deadline.
func (t *Ticket) missed(now time.Time, service time.Duration) bool {
	return !t.Deadline.IsZero() && now.Add(service).After(t.Deadline)
}
