package admission

import "time"

// quotaPeriods is how many parts a window is counted in.
const quotaPeriods = 20

// RetryQuota bounds the retries of a service over all daemons together: in any Window at most
// Ratio for each request and Floor besides. Each daemon keeps to a part of it, by its own
// requests and by how many daemons there may be, so that nothing has to be agreed on. It
// answers troubles that all daemons meet at once, such as answers that are lost or a
// domain that is gone: each has then saved up what it may, and all spend it together.
type RetryQuota struct {
	Ratio  float64
	Floor  float64
	Window time.Duration
}

// WithRetryQuota is a functional option that bounds retries by a quota in place of a ratio and
// a floor of each hop's own.
func WithRetryQuota(q RetryQuota) Option {
	return func(s *settings) { s.quota = &q }
}

// WithMemberCount is a functional option that tells how many daemons are known that may be
// alive. Without it nothing is had of the floor.
func WithMemberCount(members func() int) Option {
	return func(s *settings) { s.members = members }
}

// period counts what fell into one part of a window.
type period struct {
	number  int64
	first   int
	retries int
}

// share is a daemon's part of a Quota.
type share struct {
	quota   RetryQuota
	members func() int
	// since is when the first request came, and most the greatest number of daemons
	// known since. One that is cut off from others sees fewer, and has no more for it.
	since   time.Time
	most    int
	periods [quotaPeriods + 1]period
}

func newShare(s *settings) *share {
	out := &share{quota: *s.quota, members: s.members}
	if out.members == nil {
		out.members = func() int { return 0 }
	}
	return out
}

// at returns the period of a moment.
func (s *share) at(now time.Time) *period {
	if s.since.IsZero() {
		s.since = now
	}
	number := now.UnixNano() / int64(s.quota.Window/quotaPeriods)
	b := &s.periods[int(number%int64(len(s.periods)))]
	if b.number != number {
		*b = period{number: number}
	}
	return b
}

// First notes a first try.
func (s *share) First(now time.Time) {
	s.at(now).first++
	s.most = max(s.most, s.members())
}

// Retry reports whether another try may be sent, and counts it if so. Retries are counted
// over a little more than a window, and requests over a little less.
func (s *share) Retry(now time.Time) bool {
	current := s.at(now)
	first, retries := 0, 0
	for _, b := range s.periods {
		age := current.number - b.number
		if age <= quotaPeriods {
			retries += b.retries
		}
		if age < quotaPeriods {
			first += b.first
		}
	}
	if float64(retries+1) > s.quota.Ratio*float64(first)+s.floor(now) {
		return false
	}
	current.retries++
	return true
}

// floor is what a daemon has of the floor: nothing until a window after its first request,
// since a daemon that starts with many others knows only some of them.
func (s *share) floor(now time.Time) float64 {
	s.most = max(s.most, s.members())
	if s.most == 0 || now.Sub(s.since) < s.quota.Window {
		return 0
	}
	return s.quota.Floor / float64(s.most)
}
