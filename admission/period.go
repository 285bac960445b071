package admission

import "time"

// periodClock numbers periods of servedSeconds.
type periodClock struct {
	period int64
}

// advance returns how many periods have begun since the last call; two stands for any higher
// number. A time in the period before counts as the current one, since a Gate reads the time
// before it takes its lock. After a clock was set back further, all counts are out of date.
func (c *periodClock) advance(now time.Time) int {
	period := now.Unix() / servedSeconds
	switch period - c.period {
	case 0, -1:
		return 0
	case 1:
		c.period = period
		return 1
	default:
		c.period = period
		return 2
	}
}
