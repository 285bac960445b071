package daemon

import (
	"sync"
	"time"

	"fulmarrun/clock"
	"fulmarrun/logs"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// Sources of a target's condition, for the log.
const (
	sourceAnswer = "answer"
	sourcePeer   = "peer"
)

// leavingTolerance is how much earlier a peer must have heard that the target leaves to change
// when it is closed. The age that a request carries does not count its way.
const leavingTolerance = 10 * time.Millisecond

// unknownAge is the age of a statement that may have been made at any time before.
const unknownAge = time.Hour

// targetCondition is what the current process of the target has stated about itself.
type targetCondition struct {
	mu        sync.Mutex
	process   string
	statement targethttp.Statement
	// answered is true once the process has given this daemon a whole answer.
	answered bool
	// leavingSince is when the first known answer was received that states that the target
	// leaves.
	leavingSince time.Time
}

// current returns the condition of the current process.
func (c *targetCondition) current() targethttp.Condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statement.Condition
}

// resetCondition starts anew for another process of the target.
func (d *Daemon) resetCondition(process string) {
	c := &d.condition
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process, c.statement, c.answered, c.leavingSince = process, targethttp.Statement{}, false, time.Time{}
	d.limitStatedRate(targethttp.Condition{})
}

// observeCondition records the condition in an answer of the target. Of a target that leaves
// by its first answer to this daemon it is not known since when: earlier answers may have
// gone through an earlier process of the daemon.
func (d *Daemon) observeCondition(from targethttp.Destination, stated targethttp.Condition, sentAt time.Time) {
	d.updateCondition(from.Process, sourceAnswer, func(c *targetCondition) (age time.Duration) {
		if !c.answered && !c.statement.Leaving {
			age = unknownAge
		}
		c.statement = c.statement.Update(stated, sentAt, time.Now())
		c.answered = c.answered || !sentAt.IsZero()
		return age
	})
}

// adoptCondition records what another daemon knows about the target from earlier answers. A
// rate counts only until the target has answered this daemon, which then knows better.
func (d *Daemon) adoptCondition(known *wire.TargetCondition) {
	d.updateCondition(known.Process, sourcePeer, func(c *targetCondition) time.Duration {
		adopted := targethttp.ReceivedCondition(known)
		if c.answered {
			adopted = targethttp.Condition{Leaving: known.Leaving}
		}
		c.statement = c.statement.Adopt(adopted, time.Now())
		return known.Age
	})
}

// updateCondition changes the condition of a process of the target, if it is the current
// one, and puts it in force. update returns how long ago the target has stated it.
func (d *Daemon) updateCondition(process, source string, update func(*targetCondition) (age time.Duration)) {
	c := &d.condition
	c.mu.Lock()
	before, age := c.statement.Condition, time.Duration(0)
	if process == c.process {
		age = update(c)
	}
	after := c.statement.Condition
	if after.RateLimited != before.RateLimited || after.RateLimit != before.RateLimit {
		d.limitStatedRate(after)
	}
	leaves := after.Leaving && c.leavesEarlier(before.Leaving, clock.Now().Add(-age))
	c.mu.Unlock()
	if leaves {
		d.targetLeaves(process, age)
	}
	if after == before {
		return
	}
	d.logStateChange(logs.EventTargetCondition, "", logs.FieldTarget, process, logs.FieldFrom, source,
		logs.FieldLimited, after.RateLimited, logs.FieldRate, after.RateLimit, logs.FieldLeaving, after.Leaving)
}

// leavesEarlier records since when the target has stated that it leaves, and reports whether
// that is not known yet, or is earlier by more than requests differ in their ways here.
func (c *targetCondition) leavesEarlier(known bool, since time.Time) bool {
	if known && since.After(c.leavingSince.Add(-leavingTolerance)) {
		return false
	}
	c.leavingSince = since
	return true
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
