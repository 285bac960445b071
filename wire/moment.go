package wire

import "time"

// MomentOf returns the moment of t; zero for the zero time.
func MomentOf(t time.Time) Moment {
	if t.IsZero() {
		return 0
	}
	return Moment(t.Unix())
}

// Time returns the moment as a time; the zero time for zero.
func (m Moment) Time() time.Time {
	if m == 0 {
		return time.Time{}
	}
	return time.Unix(int64(m), 0).UTC()
}
