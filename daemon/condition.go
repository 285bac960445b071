package daemon

import (
	"sync"
	"time"

	"fulmarrun/clock"
	"fulmarrun/logs"
	"fulmarrun/targethttp"
)

// targetCondition is what the current process of the target has stated about itself.
type targetCondition struct {
	mu        sync.Mutex
	process   string
	statement targethttp.Statement
}

// resetCondition starts anew for another process of the target.
func (d *Daemon) resetCondition(process string) {
	c := &d.condition
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process, c.statement = process, targethttp.Statement{}
	d.limitStatedRate(targethttp.Condition{})
}

// current returns the condition of the current process.
func (c *targetCondition) current() targethttp.Condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statement.Condition
}

// observeCondition records the condition in an answer of the target.
func (d *Daemon) observeCondition(from targethttp.Destination, stated targethttp.Condition, sentAt time.Time) {
	c := &d.condition
	c.mu.Lock()
	before := c.statement.Condition
	if from.Process == c.process {
		c.statement = c.statement.Update(stated, sentAt, clock.Now())
	}
	after := c.statement.Condition
	if after.RateLimited != before.RateLimited || after.RateLimit != before.RateLimit {
		d.limitStatedRate(after)
	}
	c.mu.Unlock()
	if after.Leaving && !before.Leaving {
		d.targetLeaves(from.Process, 0)
	}
	if after != before {
		d.logStateChange(logs.EventTargetCondition, "", logs.FieldTarget, from.Name, logs.FieldLimited, after.RateLimited,
			logs.FieldRate, after.RateLimit, logs.FieldLeaving, after.Leaving)
	}
}

// limitStatedRate limits the requests to the target to the rate that it states. The caller
// holds the lock of the condition, so that the last statement counts.
func (d *Daemon) limitStatedRate(stated targethttp.Condition) {
	if stated.RateLimited {
		d.gate.SetStatedRate(stated.RateLimit)
		return
	}
	d.gate.EndStatedRate()
}
