package lease

import (
	"slices"
	"time"

	"fulmarrun/wire"
)

// markBit is the lowest bit of Heartbeat.Seq. A holder sends it clear; a
// witness without support of its own sets it in the answer.
const markBit uint32 = 1

// Holder is the lease of one generation as its holder sees it.
type Holder struct {
	config
	self wire.Generation
	// sets are the witness sets that the row may hold: the one last known and
	// those of writes whose outcome is unknown.
	sets  [][]wire.Generation
	peers []peer
	sent  []sending
	seq   uint32
	// next is when the next heartbeats are due.
	next  time.Time
	ended bool

	until     time.Time
	supported time.Time

	beats  []wire.Heartbeat
	silent []wire.Generation
}

// peer is what a holder knows about one witness.
type peer struct {
	witness wire.Generation
	// added is when the first heartbeat to the witness was sent.
	added time.Time
	// renewed is when the latest heartbeat with an unmarked answer was sent.
	renewed time.Time
	// answered is when the latest heartbeat with any answer was sent.
	answered time.Time
}

// sending records when the heartbeats numbered seq were sent.
type sending struct {
	seq uint32
	at  time.Time
}

// NewHolder returns a Holder without witnesses, which is not valid.
func NewHolder(self wire.Generation, opts ...Option) *Holder {
	c := newConfig(opts)
	// Twice the heartbeats of a TTL leaves room for those that Begin adds.
	size := 2*int(c.ttl/max(c.beat, 1)) + 2
	return &Holder{config: c, self: self, sent: make([]sending, size)}
}

// TTL returns how long an answer binds a witness.
func (h *Holder) TTL() time.Duration { return h.ttl }

// BeginChange states that a write of a new witness set is under way. Until Settle the
// lease needs enough renewals in each set that the row may hold.
func (h *Holder) BeginChange(set []wire.Generation) {
	if h.faults.OnlyNewSet {
		h.sets = h.sets[:0]
	}
	h.sets = append(h.sets, slices.Clone(set))
	h.rebuild()
}

// SetWitnesses states that the row is known to hold exactly set and that no earlier
// write to it can still be applied: the row was seen at a later version than
// the one that those writes were conditional on.
func (h *Holder) SetWitnesses(set []wire.Generation) {
	h.sets = append(h.sets[:0], slices.Clone(set))
	h.rebuild()
}

// End gives the lease up for good. It is called when the row is known to be
// closed, and before the holder itself writes it so.
func (h *Holder) End() {
	h.ended = true
	h.recount()
}

// Beat returns one heartbeat for each witness if they are due and nil
// otherwise. The slice is valid until the next call; the caller may fill in
// Digest.
func (h *Holder) Beat(now time.Time) []wire.Heartbeat {
	if h.ended || len(h.peers) == 0 || now.Before(h.next) {
		return nil
	}
	h.next = now.Add(h.beat)
	h.seq += 2 * markBit
	h.sent[int(h.seq/2)%len(h.sent)] = sending{seq: h.seq, at: now}
	h.beats = h.beats[:0]
	for i := range h.peers {
		p := &h.peers[i]
		if p.added.IsZero() {
			p.added = now
		}
		h.beats = append(h.beats, wire.Heartbeat{From: h.self, To: p.witness, Seq: h.seq})
	}
	return h.beats
}

// Renew takes a witness's answer and reports whether it prolongs a renewal.
// Answers that are late, doubled or not for this holder are harmless.
func (h *Holder) Renew(now time.Time, hb wire.Heartbeat) bool {
	if !hb.Answer || hb.To != h.self {
		return false
	}
	at, ok := h.sentAt(hb.Seq &^ markBit)
	if !ok {
		return false
	}
	if h.faults.CountFromAnswer {
		at = now
	}
	i := slices.IndexFunc(h.peers, func(p peer) bool { return p.witness == hb.From })
	if i < 0 {
		return false
	}
	p := &h.peers[i]
	p.answered = later(p.answered, at)
	marked := hb.Seq&markBit != 0 && !h.faults.CountMarked
	renews := !marked && at.After(p.renewed)
	if renews {
		p.renewed = at
	}
	h.recount()
	return renews
}

// Until returns the time up to which the lease is valid, or the zero time. It
// can move back when Begin, Settle or End is called.
func (h *Holder) Until() time.Time {
	return h.until
}

// Valid reports whether the lease is valid: the holder may act as an owner.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.until)
}

// Supported reports whether enough witnesses answer, marked answers included.
// It is what the witness side of the same daemon passes to Answer, and is no
// licence to act as an owner.
func (h *Holder) Supported(now time.Time) bool {
	return now.Before(h.supported)
}

// Unresponsive returns the witnesses without a renewal for so long that they are to
// be replaced: one TTL if the lease is lost, two otherwise. The slice is valid
// until the next call.
func (h *Holder) Unresponsive(now time.Time) []wire.Generation {
	patience := 2 * h.ttl
	if !h.Valid(now) {
		patience = h.ttl
	}
	h.silent = h.silent[:0]
	for i := range h.peers {
		p := &h.peers[i]
		if !p.added.IsZero() && now.Sub(later(p.added, p.renewed)) >= patience {
			h.silent = append(h.silent, p.witness)
		}
	}
	return h.silent
}

// rebuild brings peers in line with sets.
func (h *Holder) rebuild() {
	var peers []peer
	for _, set := range h.sets {
		for _, witness := range set {
			if slices.ContainsFunc(peers, func(p peer) bool { return p.witness == witness }) {
				continue
			}
			peers = append(peers, h.peer(witness))
		}
	}
	h.peers = peers
	h.recount()
}

// peer returns what is known about a witness. A new one makes the next
// heartbeats due at once.
func (h *Holder) peer(witness wire.Generation) peer {
	for _, p := range h.peers {
		if p.witness == witness {
			return p
		}
	}
	h.next = time.Time{}
	return peer{witness: witness}
}

func (h *Holder) sentAt(seq uint32) (time.Time, bool) {
	s := h.sent[int(seq/2)%len(h.sent)]
	return s.at, s.seq == seq && !s.at.IsZero()
}

// recount computes how long enough renewals last in every set.
func (h *Holder) recount() {
	h.until, h.supported = time.Time{}, time.Time{}
	if h.ended || len(h.sets) == 0 {
		return
	}
	for i, set := range h.sets {
		renewed, answered := h.count(set)
		if i == 0 || renewed.Before(h.until) {
			h.until = renewed
		}
		if i == 0 || answered.Before(h.supported) {
			h.supported = answered
		}
	}
	h.until = h.end(h.until)
	h.supported = h.end(h.supported)
}

// count returns the sending times that enough witnesses of set have renewed
// and answered.
func (h *Holder) count(set []wire.Generation) (renewed, answered time.Time) {
	needed, _ := Quorum(len(set))
	if needed == 0 {
		return time.Time{}, time.Time{}
	}
	var renewals, answers [MaxWitnesses]time.Time
	for i, witness := range set {
		for _, p := range h.peers {
			if p.witness == witness {
				renewals[i], answers[i] = p.renewed, p.answered
			}
		}
	}
	return latest(renewals, needed), latest(answers, needed)
}

// end returns when a lease counted from the given time ends.
func (h *Holder) end(from time.Time) time.Time {
	if from.IsZero() {
		return from
	}
	return from.Add(h.ttl - h.margin)
}

// latest returns the nth latest of times, counted from one.
func latest(times [MaxWitnesses]time.Time, n int) time.Time {
	slices.SortFunc(times[:], func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
