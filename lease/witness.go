package lease

import (
	"slices"
	"time"

	"fulmarrun/wire"
)

// pauseThresholdBeats is the time between two calls, in beats, above which a witness
// assumes that its process was paused.
const pauseThresholdBeats = 2

// retentionTTLs is how long, in TTLs, a witness keeps the state of a holder that it
// neither watches nor voted on.
const retentionTTLs = 4

// Witness renews the leases of other daemons and votes when they have expired.
type Witness struct {
	config
	self    wire.Generation
	holders map[wire.Generation]holderState
	// lastCall is the time of the latest call.
	lastCall time.Time
	// noVotesBefore is the time before which the witness does not vote, after a pause.
	noVotesBefore time.Time
	overdue       []wire.Generation
}

// holderState is the state of a witness about one holder.
type holderState struct {
	// renewed is when the witness last answered the holder or, before the first answer,
	// learned of it.
	renewed time.Time
	// watched is true while the holder's row lists the witness.
	watched bool
	// voted is true once the witness has voted that the lease expired.
	voted bool
}

// NewWitness returns a Witness that watches no holder.
func NewWitness(self wire.Generation, opts ...Option) *Witness {
	return &Witness{
		config:  newConfig(opts),
		self:    self,
		holders: make(map[wire.Generation]holderState),
	}
}

// Watch records that the holder's row lists this witness.
func (w *Witness) Watch(holder wire.Generation, now time.Time) {
	state, ok := w.holders[holder]
	if ok && state.watched {
		return
	}
	if !state.watched {
		state.renewed = later(state.renewed, now)
	}
	state.watched = true
	w.holders[holder] = state
}

// Unwatch records that the holder's row no longer lists this witness or is closed. It
// keeps a vote and the time of the last answer.
func (w *Witness) Unwatch(holder wire.Generation) {
	state, ok := w.holders[holder]
	if !ok {
		return
	}
	state.watched = false
	w.holders[holder] = state
}

// Tick detects pauses and deletes state that is no longer needed. It must be called at
// least once per beat interval.
func (w *Witness) Tick(now time.Time) {
	w.detectPause(now)
	for holder, state := range w.holders {
		if !state.watched && !state.voted && now.Sub(state.renewed) > retentionTTLs*w.ttl {
			delete(w.holders, holder)
		}
	}
}

// Answer returns the answer to a holder's heartbeat, and false if there is none. It
// also answers holders that it does not watch, since a row can arrive later than a
// heartbeat. supported is the result of [Holder.Supported] of the same daemon; without
// support the answer is marked.
func (w *Witness) Answer(now time.Time, hb wire.Heartbeat, supported bool) (wire.Heartbeat, bool) {
	w.detectPause(now)
	if hb.Answer || hb.To != w.self {
		return wire.Heartbeat{}, false
	}
	state := w.holders[hb.From]
	if state.voted && !w.faults.VotesDontBind {
		return wire.Heartbeat{}, false
	}
	state.renewed = now
	w.holders[hb.From] = state
	seq := hb.Seq &^ markBit
	if !supported {
		seq |= markBit
	}
	return wire.Heartbeat{Answer: true, From: w.self, To: hb.From, Seq: seq}, true
}

// Vote returns the verdict on a holder's lease. A vote that it has expired binds this
// witness permanently: it never answers that generation again.
func (w *Witness) Vote(now time.Time, v wire.Vote) wire.Verdict {
	w.detectPause(now)
	state, ok := w.holders[v.Holder]
	if !ok {
		// The holder's row may already list this witness, so the holder gets one TTL.
		state.renewed = now
	}
	if remaining := w.remaining(now, state); remaining > 0 && !state.voted {
		w.holders[v.Holder] = state
		return wire.Verdict{Holder: v.Holder, Wait: remaining}
	}
	state.voted = true
	w.holders[v.Holder] = state
	return wire.Verdict{Holder: v.Holder, Expired: true}
}

// Renewing returns, in ascending order, the holders that this witness watches or has answered
// lately, and that it has not voted against.
func (w *Witness) Renewing() []wire.Generation {
	var out []wire.Generation
	for holder, state := range w.holders {
		if !state.voted {
			out = append(out, holder)
		}
	}
	slices.Sort(out)
	return out
}

// Overdue returns, in ascending order, the watched holders whose leases this witness
// would vote to be expired. The slice is valid until the next call.
func (w *Witness) Overdue(now time.Time) []wire.Generation {
	w.detectPause(now)
	w.overdue = w.overdue[:0]
	for holder, state := range w.holders {
		if state.watched && (state.voted || w.remaining(now, state) <= 0) {
			w.overdue = append(w.overdue, holder)
		}
	}
	slices.Sort(w.overdue)
	return w.overdue
}

// remaining returns for how long the witness must not vote on the holder; zero or less
// if it may vote now.
func (w *Witness) remaining(now time.Time, state holderState) time.Duration {
	return max(state.renewed.Add(w.ttl).Sub(now), w.noVotesBefore.Sub(now))
}

// detectPause prohibits votes for one TTL after a pause, because heartbeats that arrived
// during the pause may still be queued.
func (w *Witness) detectPause(now time.Time) {
	if !w.lastCall.IsZero() && now.Sub(w.lastCall) > pauseThresholdBeats*w.beat {
		w.noVotesBefore = now.Add(w.ttl)
	}
	w.lastCall = later(w.lastCall, now)
}
