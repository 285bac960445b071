package admission

import "time"

const (
	// servedSeconds is the number of seconds over which the served share is counted.
	servedSeconds = 5
	// A kind or team is protected if the served share of its requests is below this
	// fraction of that of all. With 6/10, less urgent requests take more of the place of
	// urgent ones: 0.77 of the urgent were served instead of 0.84.
	protectNumerator, protectDenominator = 1, 2
)

// servedCounts counts final decisions.
type servedCounts struct {
	served, decided int
}

// servedWindow counts the final decisions of the last seconds.
type servedWindow struct {
	seconds [servedSeconds]servedCounts
	total   servedCounts
	second  int64
}

// advance drops the seconds that have left the window, or all if the clock was set back by
// more than the window.
func (s *servedWindow) advance(now time.Time) {
	second := now.Unix()
	if s.second-second > servedSeconds {
		*s = servedWindow{second: second}
		return
	}
	if second <= s.second {
		return
	}
	for i := max(s.second+1, second-servedSeconds+1); i <= second; i++ {
		old := &s.seconds[i%servedSeconds]
		s.total.served -= old.served
		s.total.decided -= old.decided
		*old = servedCounts{}
	}
	s.second = second
}

// unused reports whether no request was counted or looked up for longer than the window.
func (s *servedWindow) unused(now time.Time) bool {
	return now.Unix()-s.second > servedSeconds
}

// record counts one final decision.
func (s *servedWindow) record(served bool, now time.Time) {
	s.advance(now)
	current := &s.seconds[s.second%servedSeconds]
	current.decided++
	s.total.decided++
	if served {
		current.served++
		s.total.served++
	}
}

// starves reports whether the share served is far below that of all.
func (s *servedWindow) starves(all *servedWindow) bool {
	return protectDenominator*s.total.served*all.total.decided < protectNumerator*all.total.served*s.total.decided
}
