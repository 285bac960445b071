package wire

import "time"

// UnixTimeOf returns t as a UnixTime; zero for the zero time.
func UnixTimeOf(t time.Time) UnixTime {
	if t.IsZero() {
		return 0
	}
	return UnixTime(t.Unix())
}

// Time returns m as a time.Time; the zero time for zero.
func (m UnixTime) Time() time.Time {
	if m == 0 {
		return time.Time{}
	}
	return time.Unix(int64(m), 0).UTC()
}
