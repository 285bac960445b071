package wire

import "time"

// UnixTimeOf returns the moment of t; zero for the zero time.
func UnixTimeOf(t time.Time) UnixTime {
	if t.IsZero() {
		return 0
	}
	return UnixTime(t.Unix())
}

// Time returns the moment as a time; the zero time for zero.
func (m UnixTime) Time() time.Time {
	if m == 0 {
		return time.Time{}
	}
	return time.Unix(int64(m), 0).UTC()
}
