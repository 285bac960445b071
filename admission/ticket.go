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
	// Depth counts the nested calls above this one.
	Depth uint8
}

// missed reports whether work that takes at least service from now on ends
// after the deadline.
func (t *Ticket) missed(now time.Time, service time.Duration) bool {
	return !t.Deadline.IsZero() && now.Add(service).After(t.Deadline)
}
