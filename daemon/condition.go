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

// reset starts anew for another process of the target.
func (c *targetCondition) reset(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process, c.statement = process, targethttp.Statement{}
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
	c.mu.Unlock()
	if after != before {
		d.logStateChange(logs.EventTargetCondition, "", logs.FieldTarget, from.Name, logs.FieldLimited, after.RateLimited,
			logs.FieldRate, after.RateLimit, logs.FieldLeaving, after.Leaving)
	}
}
