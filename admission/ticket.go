package admission

import "time"

// Class determines how a request competes for the target.
type Class uint8

const (
	// Urgent requests are admitted as far as the limit allows.
	Urgent Class = iota
	// Patient requests are admitted only while there is measured spare capacity.
	Patient
)

// Ticket describes a request for admission.
type Ticket struct {
	Class Class
	// Deadline is when the response is due; zero if there is none.
	Deadline time.Time
	// Due orders waiting requests; if it is zero, LatestStart or else Deadline does.
	Due time.Time
	// LatestStart is the time by which the request must have been sent to the target;
	// zero if only Deadline matters.
	LatestStart time.Time
	// Depth is the number of nested calls above this one.
	Depth uint8
	// Kind and Team are the kind and the team of the request; the team is empty if there
	// is none. They and Priority matter only with WithOverloadPolicy or WithPriorityPolicy.
	Kind string
	Team string
	// Priority is lower for more urgent requests.
	Priority uint8
	// Bytes is the size of the body, see WithMaxBytes; a negative size counts as zero.
	Bytes int64
}

const (
	// dueShare is the fraction of the latency goal after which a request is due.
	dueShare = 0.3
	// dueSlack is how long after its due time a request may still be sent to the
	// target, up to half of its deadline. It is the same for all requests: in overload
	// every request is sent at the end of this time, and requests with less of it would
	// never be served.
	dueSlack = 60 * time.Millisecond
)

// WithLatencyGoal returns the ticket of a request whose response is most valuable
// within the latency goal. Requests with a short latency goal go first, and no
// request waits for long: one that would is better retried at another target, or later.
func (t Ticket) WithLatencyGoal(goal time.Duration, now time.Time) Ticket {
	t.Due = now.Add(time.Duration(dueShare * float64(goal)))
	t.LatestStart = t.Due.Add(dueSlack)
	if half := now.Add(t.Deadline.Sub(now) / 2); !t.Deadline.IsZero() && half.Before(t.LatestStart) {
		t.LatestStart = half
	}
	return t
}

// due returns the time by which waiting requests are ordered.
func (t *Ticket) due() time.Time {
	switch {
	case !t.Due.IsZero():
		return t.Due
	case !t.LatestStart.IsZero():
		return t.LatestStart
	default:
		return t.Deadline
	}
}

// expiry returns the time after which a waiting request is too late.
func (t *Ticket) expiry() time.Time {
	if !t.LatestStart.IsZero() {
		return t.LatestStart
	}
	return t.Deadline
}

// startsLate reports whether a request that is sent to the target after this wait
// misses its latest start time.
func (t *Ticket) startsLate(now time.Time, wait time.Duration) bool {
	return !t.LatestStart.IsZero() && now.Add(wait).After(t.LatestStart)
}

// missesDeadline reports whether work that takes at least serviceTime from now on ends
// after the deadline.
func (t *Ticket) missesDeadline(now time.Time, serviceTime time.Duration) bool {
	return !t.Deadline.IsZero() && now.Add(serviceTime).After(t.Deadline)
}
