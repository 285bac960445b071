package forward

import (
	"time"

	"fulmarrun/wire"
)

// StatementTTL is how long the last statement of a target is kept.
const StatementTTL = statementTTL

// Statements keeps what targets have stated.
type Statements struct{ statements }

// Known returns what is known of the target of an instance.
func (s *Statements) Known(instance string, now time.Time) *wire.TargetCondition {
	return s.known(instance, now)
}

// Record records what an answer states.
func (s *Statements) Record(instance string, stated *wire.TargetCondition, sentAt, now time.Time) {
	s.record(instance, stated, sentAt, now)
}

// Len returns the number of instances of which something is kept.
func (s *Statements) Len() int { return len(s.byInstance) }
