package lease

import (
	"slices"
	"time"

	"fulmarrun/wire"
)

// markBit is the lowest bit of Heartbeat.Seq. A holder sends it clear; a witness that
// lacks support from its own witnesses sets it in the answer.
const markBit uint32 = 1

// Holder is the holder's side of the lease of one generation.
type Holder struct {
	config
	self wire.Generation
	// possibleSets are the witness sets that the row may contain: the last confirmed set
	// and those of writes whose outcome is unknown.
	possibleSets [][]wire.Generation
	witnesses    []witnessState
	sentBeats    []sentBeat
	seq          uint32
	// nextBeat is when the next heartbeats are due.
	nextBeat time.Time
	ended    bool
	// leased is true once the lease has been valid.
	leased bool

	validUntil     time.Time
	supportedUntil time.Time

	beats        []wire.Heartbeat
	unresponsive []wire.Generation
}

// witnessState is the holder's state about one witness.
type witnessState struct {
	witness wire.Generation
	// added is when the first heartbeat to the witness was sent.
	added time.Time
	// renewed is when the latest heartbeat that got an unmarked answer was sent.
	renewed time.Time
	// answered is when the latest heartbeat that got any answer was sent.
	answered time.Time
}

// sentBeat records when the heartbeats with sequence number seq were sent.
type sentBeat struct {
	seq uint32
	at  time.Time
}

// NewHolder returns a Holder without witnesses, whose lease is not valid.
func NewHolder(self wire.Generation, opts ...Option) *Holder {
	c := newConfig(opts)
	// Twice the heartbeats of a TTL leaves room for the extra ones that BeginChange causes.
	size := 2*int(c.ttl/max(c.beat, 1)) + 2
	return &Holder{config: c, self: self, sentBeats: make([]sentBeat, size)}
}

// TTL returns how long an answer binds a witness.
func (h *Holder) TTL() time.Duration { return h.ttl }

// BeginChange records that a write of a new witness set is in progress. Until
// SetWitnesses is called, the lease needs enough renewals in each possible set.
func (h *Holder) BeginChange(set []wire.Generation) {
	if h.faults.OnlyNewSet {
		h.possibleSets = h.possibleSets[:0]
	}
	h.possibleSets = append(h.possibleSets, slices.Clone(set))
	h.rebuildWitnesses()
}

// SetWitnesses records that the row contains exactly set and that no earlier write to
// it can still be applied: the row was read at a later version than the one that
// those writes were conditional on.
func (h *Holder) SetWitnesses(set []wire.Generation) {
	h.possibleSets = append(h.possibleSets[:0], slices.Clone(set))
	h.rebuildWitnesses()
}

// End gives up the lease permanently. It is called when the row is known to be
// closed, and before the holder itself closes its row.
func (h *Holder) End() {
	h.ended = true
	h.recomputeExpiry()
}

// Beat returns one heartbeat for each witness if heartbeats are due, and nil
// otherwise. The slice is valid until the next call; the caller may set Digest.
func (h *Holder) Beat(now time.Time) []wire.Heartbeat {
	if h.ended || len(h.witnesses) == 0 || now.Before(h.nextBeat) {
		return nil
	}
	h.nextBeat = now.Add(h.beat)
	h.seq += 2 * markBit
	h.sentBeats[int(h.seq/2)%len(h.sentBeats)] = sentBeat{seq: h.seq, at: now}
	h.beats = h.beats[:0]
	for i := range h.witnesses {
		p := &h.witnesses[i]
		if p.added.IsZero() {
			p.added = now
		}
		h.beats = append(h.beats, wire.Heartbeat{From: h.self, To: p.witness, Seq: h.seq})
	}
	return h.beats
}

// Renew processes the answer of a witness and reports whether it extends a renewal.
// Late and duplicate answers and those for other holders are harmless.
func (h *Holder) Renew(now time.Time, hb wire.Heartbeat) bool {
	if !hb.Answer || hb.To != h.self {
		return false
	}
	at, ok := h.beatSentAt(hb.Seq &^ markBit)
	if !ok {
		return false
	}
	if h.faults.CountFromAnswer {
		at = now
	}
	i := slices.IndexFunc(h.witnesses, func(p witnessState) bool { return p.witness == hb.From })
	if i < 0 {
		return false
	}
	p := &h.witnesses[i]
	p.answered = later(p.answered, at)
	marked := hb.Seq&markBit != 0 && !h.faults.CountMarked
	renews := !marked && at.After(p.renewed)
	if renews {
		p.renewed = at
	}
	h.recomputeExpiry()
	return renews
}

// Until returns the end of the lease, or the zero time if there is none. It can move
// back when BeginChange, SetWitnesses or End is called.
func (h *Holder) Until() time.Time {
	return h.validUntil
}

// Valid reports whether the lease is valid, so that the holder may act as an owner.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.validUntil)
}

// Leased reports whether the lease has ever been valid.
func (h *Holder) Leased() bool { return h.leased }

// Supported reports whether enough witnesses answer, including marked answers. The
// witness of the same daemon passes it to Answer; it does not permit the daemon to
// act as an owner.
func (h *Holder) Supported(now time.Time) bool {
	return now.Before(h.supportedUntil)
}

// Unresponsive returns the witnesses to be replaced because they have not renewed the
// lease for one TTL if the lease is lost, or two otherwise; see also WithFirstWitnessTimeout. The
// slice is valid until the next call.
func (h *Holder) Unresponsive(now time.Time) []wire.Generation {
	valid := h.Valid(now)
	h.unresponsive = h.unresponsive[:0]
	for i := range h.witnesses {
		p := &h.witnesses[i]
		if !p.added.IsZero() && now.Sub(later(p.added, p.renewed)) >= h.witnessTimeout(p, valid) {
			h.unresponsive = append(h.unresponsive, p.witness)
		}
	}
	return h.unresponsive
}

// witnessTimeout returns after what time without a renewal a witness is replaced.
func (h *Holder) witnessTimeout(p *witnessState, valid bool) time.Duration {
	switch {
	case valid:
		return 2 * h.ttl
	case !h.leased && p.answered.IsZero() && h.firstTimeout > 0:
		return min(h.firstTimeout, h.ttl)
	default:
		return h.ttl
	}
}

// rebuildWitnesses updates witnesses to the union of possibleSets.
func (h *Holder) rebuildWitnesses() {
	var witnesses []witnessState
	for _, set := range h.possibleSets {
		for _, witness := range set {
			if slices.ContainsFunc(witnesses, func(p witnessState) bool { return p.witness == witness }) {
				continue
			}
			witnesses = append(witnesses, h.witnessState(witness))
		}
	}
	h.witnesses = witnesses
	h.recomputeExpiry()
}

// witnessState returns the state of a witness. For a new witness it makes the next
// heartbeats due immediately.
func (h *Holder) witnessState(witness wire.Generation) witnessState {
	for _, p := range h.witnesses {
		if p.witness == witness {
			return p
		}
	}
	h.nextBeat = time.Time{}
	return witnessState{witness: witness}
}

func (h *Holder) beatSentAt(seq uint32) (time.Time, bool) {
	s := h.sentBeats[int(seq/2)%len(h.sentBeats)]
	return s.at, s.seq == seq && !s.at.IsZero()
}

// recomputeExpiry computes until when every possible set has enough renewals and answers.
func (h *Holder) recomputeExpiry() {
	h.validUntil, h.supportedUntil = time.Time{}, time.Time{}
	if h.ended || len(h.possibleSets) == 0 {
		return
	}
	for i, set := range h.possibleSets {
		renewed, answered := h.quorumTimes(set)
		if i == 0 || renewed.Before(h.validUntil) {
			h.validUntil = renewed
		}
		if i == 0 || answered.Before(h.supportedUntil) {
			h.supportedUntil = answered
		}
	}
	h.validUntil = h.expiry(h.validUntil)
	h.leased = h.leased || !h.validUntil.IsZero()
	h.supportedUntil = h.expiry(h.supportedUntil)
}

// quorumTimes returns the latest sending times for which a quorum of set has renewed
// and answered.
func (h *Holder) quorumTimes(set []wire.Generation) (renewed, answered time.Time) {
	needed, _ := Quorum(len(set))
	if needed == 0 {
		return time.Time{}, time.Time{}
	}
	var renewals, answers [MaxWitnesses]time.Time
	for i, witness := range set {
		for _, p := range h.witnesses {
			if p.witness == witness {
				renewals[i], answers[i] = p.renewed, p.answered
			}
		}
	}
	return nthLatest(renewals, needed), nthLatest(answers, needed)
}

// expiry returns when a lease that counts from the given time ends.
func (h *Holder) expiry(from time.Time) time.Time {
	if from.IsZero() {
		return from
	}
	return from.Add(h.ttl - h.margin)
}

// nthLatest returns the nth latest of times, counted from one.
func nthLatest(times [MaxWitnesses]time.Time, n int) time.Time {
	slices.SortFunc(times[:], func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
