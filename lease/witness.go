package lease

import (
	"slices"
	"time"

	"fulmarrun/wire"
)

// pauseBeats is the time between two calls, in beats, from which on a witness
// takes itself to have been paused.
const pauseBeats = 2

// keepTTLs is how long, in TTLs, a witness remembers a holder that it neither
// watches nor voted on.
const keepTTLs = 4

// Witness is the part of a daemon that renews the leases of others and
// testifies when they have expired.
type Witness struct {
	config
	self    wire.Generation
	holders map[wire.Generation]holding
	// seen is the time of the latest call.
	seen time.Time
	// barred is the time before which the witness gives no vote, after a pause.
	barred  time.Time
	overdue []wire.Generation
}

// holding is what a witness knows about one holder.
type holding struct {
	// renewed is when the witness last answered the holder or, before the first
	// answer, learned of it.
	renewed time.Time
	// watched is true while the holder's row names the witness.
	watched bool
	// voted is true once the witness has testified that the lease expired.
	voted bool
}

// NewWitness returns a Witness that watches nobody.
func NewWitness(self wire.Generation, opts ...Option) *Witness {
	return &Witness{
		config:  newConfig(opts),
		self:    self,
		holders: make(map[wire.Generation]holding),
	}
}

// Watch states that the holder's row names this witness.
func (w *Witness) Watch(holder wire.Generation, now time.Time) {
	held, ok := w.holders[holder]
	if ok && held.watched {
		return
	}
	if !held.watched {
		held.renewed = later(held.renewed, now)
	}
	held.watched = true
	w.holders[holder] = held
}

// Unwatch states that the holder's row no longer names this witness or is
// closed. A vote and the time of the last answer are kept.
func (w *Witness) Unwatch(holder wire.Generation) {
	held, ok := w.holders[holder]
	if !ok {
		return
	}
	held.watched = false
	w.holders[holder] = held
}

// Tick notices pauses and drops what no longer matters. It is to be called at
// least once a beat.
func (w *Witness) Tick(now time.Time) {
	w.notice(now)
	for holder, held := range w.holders {
		if !held.watched && !held.voted && now.Sub(held.renewed) > keepTTLs*w.ttl {
			delete(w.holders, holder)
		}
	}
}

// Answer returns the answer to a holder's heartbeat, and false if there is to
// be none. It answers holders that it isn't known to watch, too, since a row
// can be slower than a heartbeat. supported is what [Holder.Supported] says of
// this daemon; without it the answer is marked.
func (w *Witness) Answer(now time.Time, hb wire.Heartbeat, supported bool) (wire.Heartbeat, bool) {
	w.notice(now)
	if hb.Answer || hb.To != w.self {
		return wire.Heartbeat{}, false
	}
	held := w.holders[hb.From]
	if held.voted && !w.faults.VotesDontBind {
		return wire.Heartbeat{}, false
	}
	held.renewed = now
	w.holders[hb.From] = held
	seq := hb.Seq &^ markBit
	if !supported {
		seq |= markBit
	}
	return wire.Heartbeat{Answer: true, From: w.self, To: hb.From, Seq: seq}, true
}

// Vote returns the testimony on a holder's lease. A vote that it has expired
// binds this witness for ever: it never answers that generation again.
func (w *Witness) Vote(now time.Time, v wire.Vote) wire.Verdict {
	w.notice(now)
	held, ok := w.holders[v.Holder]
	if !ok {
		// The row may name this witness already; its holder gets one TTL.
		held.renewed = now
	}
	if wait := w.wait(now, held); wait > 0 && !held.voted {
		w.holders[v.Holder] = held
		return wire.Verdict{Holder: v.Holder, Wait: wait}
	}
	held.voted = true
	w.holders[v.Holder] = held
	return wire.Verdict{Holder: v.Holder, Expired: true}
}

// Overdue returns the watched holders whose leases this witness would vote to
// be expired, in order. The slice is valid until the next call.
func (w *Witness) Overdue(now time.Time) []wire.Generation {
	w.notice(now)
	w.overdue = w.overdue[:0]
	for holder, held := range w.holders {
		if held.watched && (held.voted || w.wait(now, held) <= 0) {
			w.overdue = append(w.overdue, holder)
		}
	}
	slices.Sort(w.overdue)
	return w.overdue
}

// wait returns how long no vote on the holder may be given.
func (w *Witness) wait(now time.Time, held holding) time.Duration {
	return max(held.renewed.Add(w.ttl).Sub(now), w.barred.Sub(now))
}

// notice bars votes for one TTL after a pause, because the heartbeats that came
// meanwhile may still be queued.
func (w *Witness) notice(now time.Time) {
	if !w.seen.IsZero() && now.Sub(w.seen) > pauseBeats*w.beat {
		w.barred = now.Add(w.ttl)
	}
	w.seen = later(w.seen, now)
}
