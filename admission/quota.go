package admission

import "time"

// quotaPeriods is the number of periods into which a window is divided for counting.
const quotaPeriods = 20

// RetryQuota limits the retries of a service over all daemons together: in any Window
// at most Ratio retries for each request, plus Floor retries whatever the number of
// requests. Each daemon uses only its share, which follows from its own requests and
// the number of daemons that may exist, so that no coordination is needed. It replaces
// WithRetryRatio and WithRetryFloor for failures that all daemons see at once, such as
// lost responses or the loss of a failure domain: then every daemon has accumulated its
// maximum of retries, and all spend them together.
type RetryQuota struct {
	Ratio  float64
	Floor  float64
	Window time.Duration
}

// WithRetryQuota is a functional option that limits retries by a quota instead of a
// ratio and a number of retries per second for each hop.
func WithRetryQuota(q RetryQuota) Option {
	return func(s *settings) { s.quota = &q }
}

// WithMemberCount is a functional option that sets the function which returns how many
// daemons are known that may be alive. Without it the daemon's share of
// RetryQuota.Floor is zero.
func WithMemberCount(memberCount func() int) Option {
	return func(s *settings) { s.memberCount = memberCount }
}

// period counts the requests and retries of one period of a window.
type period struct {
	number   int64
	requests int
	retries  int
}

// quotaShare is a daemon's share of a RetryQuota.
type quotaShare struct {
	quota       RetryQuota
	memberCount func() int
	// firstRequestAt is the time of the first request, and maxMembers the highest
	// number of daemons known since. A daemon in a network partition sees fewer
	// daemons, but its share does not grow for that.
	firstRequestAt time.Time
	maxMembers     int
	periods        [quotaPeriods + 1]period
}

func newQuotaShare(s *settings) *quotaShare {
	out := &quotaShare{quota: *s.quota, memberCount: s.memberCount}
	if out.memberCount == nil {
		out.memberCount = func() int { return 0 }
	}
	return out
}

// periodAt returns the period that contains now.
func (s *quotaShare) periodAt(now time.Time) *period {
	if s.firstRequestAt.IsZero() {
		s.firstRequestAt = now
	}
	number := now.UnixNano() / int64(s.quota.Window/quotaPeriods)
	b := &s.periods[int(number%int64(len(s.periods)))]
	if b.number != number {
		*b = period{number: number}
	}
	return b
}

// RecordRequest records a first try.
func (s *quotaShare) RecordRequest(now time.Time) {
	s.periodAt(now).requests++
	s.maxMembers = max(s.maxMembers, s.memberCount())
}

// AllowRetry reports whether another try may be sent, and counts it if so. Retries are
// counted over slightly more than a window, and requests over slightly less.
func (s *quotaShare) AllowRetry(now time.Time) bool {
	current := s.periodAt(now)
	requests, retries := 0, 0
	for _, b := range s.periods {
		age := current.number - b.number
		if age <= quotaPeriods {
			retries += b.retries
		}
		if age < quotaPeriods {
			requests += b.requests
		}
	}
	if float64(retries+1) > s.quota.Ratio*float64(requests)+s.floorShare(now) {
		return false
	}
	current.retries++
	return true
}

// floorShare returns the daemon's share of RetryQuota.Floor: zero until a window after
// its first request, because a daemon that starts together with many others knows only
// some of them.
func (s *quotaShare) floorShare(now time.Time) float64 {
	s.maxMembers = max(s.maxMembers, s.memberCount())
	if s.maxMembers == 0 || now.Sub(s.firstRequestAt) < s.quota.Window {
		return 0
	}
	return s.quota.Floor / float64(s.maxMembers)
}
