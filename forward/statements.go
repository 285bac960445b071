package forward

import (
	"maps"
	"sync"
	"time"

	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// statementTTL is how long the last statement of a target is kept. The daemon beside it
// learns it again within seconds; a target that no longer answers has ended by then.
const statementTTL = 10 * time.Minute

// statements keeps what the targets of other daemons have stated about themselves in the
// answers that this daemon has passed on. The daemon beside a target enforces it; if that
// starts anew, it learns it from the requests of the others before the target has answered
// again. The zero value is empty and ready to use.
type statements struct {
	mu         sync.RWMutex
	byInstance map[string]targetStatement
}

// targetStatement is the statement of one process of a target.
type targetStatement struct {
	targethttp.Statement
	process string
	// statedAt is when the last answer that states anything arrived.
	statedAt time.Time
}

func (t *targetStatement) expired(now time.Time) bool { return now.Sub(t.statedAt) > statementTTL }

// known returns what is known of the target of an instance; nil if that is nothing of note.
func (s *statements) known(instance string, now time.Time) *wire.TargetCondition {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.byInstance[instance]
	if !ok || t.expired(now) {
		return nil
	}
	return t.Message(t.process, now)
}

// record records what the target of an instance states in an answer that arrived at now, to
// a request that was sent at sentAt; nil if it states nothing.
func (s *statements) record(instance string, stated *wire.TargetCondition, sentAt, now time.Time) {
	if stated == nil && s.known(instance, now) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byInstance[instance]
	if stated != nil && stated.Process != t.process {
		t = targetStatement{process: stated.Process}
	}
	if stated != nil {
		t.statedAt = now
	}
	t.Statement = t.Update(targethttp.ReceivedCondition(stated), sentAt, now)
	if t.Condition == (targethttp.Condition{}) {
		delete(s.byInstance, instance)
		return
	}
	if s.byInstance == nil {
		s.byInstance = make(map[string]targetStatement)
	}
	if _, ok := s.byInstance[instance]; !ok {
		maps.DeleteFunc(s.byInstance, func(_ string, t targetStatement) bool { return t.expired(now) })
	}
	s.byInstance[instance] = t
}
