package quarantine

import (
	"time"

	"fulmarrun/wire"
)

const (
	// crashThreshold is the number of processes of targets that end under a request before it is shut
	// out, if it was the sole suspect at one of them. Otherwise the number is doubtfulThreshold: another
	// request that was at work as well may be to blame.
	crashThreshold    = 3
	doubtfulThreshold = 5
	// firstTerm is how long a request is shut out after crashThreshold crashes. Each further crash
	// doubles the time, up to maxTerm.
	firstTerm = 5 * time.Minute
	maxTerm   = time.Hour
	// retention is how long a crash is remembered, beyond the time for which its request is shut out.
	retention = 10 * time.Minute
)

const (
	// ReasonShutOut is the reason to refuse a request that is shut out.
	ReasonShutOut = "shutout"
	// ReasonSuspect is the reason to refuse a suspect because another one is at work at the target.
	ReasonSuspect = "suspect"
)

// Verdict says how a request is treated.
type Verdict struct {
	// Crashes is the number of processes of targets that have ended under the request since a target
	// answered it.
	Crashes int
	// Until is when a request that is shut out may run again; the zero time if it is not shut out.
	Until time.Time
}

// Suspect reports whether a target has ended under the request.
func (v Verdict) Suspect() bool { return v.Crashes > 0 }

// ShutOut reports whether the request is refused.
func (v Verdict) ShutOut() bool { return !v.Until.IsZero() }

// judge returns the verdict on a request, and when it is no longer needed.
func judge(now time.Time, s *wire.Suspect) (v Verdict, forget time.Time) {
	var last time.Time
	threshold := doubtfulThreshold
	for _, c := range s.Crashes {
		if c.At.After(last) {
			last = c.At
		}
		if c.Cleared {
			continue
		}
		v.Crashes++
		if c.Sole {
			threshold = crashThreshold
		}
	}
	term := term(v.Crashes, threshold)
	if until := last.Add(term); term > 0 && now.Before(until) {
		v.Until = until
	}
	return v, last.Add(term + retention)
}

// term returns how long a request is shut out after its last crash.
func term(crashes, threshold int) time.Duration {
	if crashes < threshold {
		return 0
	}
	out := firstTerm
	for range crashes - threshold {
		if out = 2 * out; out >= maxTerm {
			return maxTerm
		}
	}
	return out
}
