package grants

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// defaultMaxHold is the default of the longest validity of a grant.
	defaultMaxHold = 10 * time.Second
	// maxClockStretch bounds how slow a target's clock may run: while it counts a time, up to
	// maxClockStretch times that time may really pass.
	maxClockStretch = 1.02
	// leaseMargin is the time between the end of a grant and the end of the lease.
	leaseMargin = 50 * time.Millisecond
	// defaultInterval is the default time between two beats of a target.
	defaultInterval = time.Second
	// minHold is the shortest validity for which grants are sent: a shorter one is not worth
	// the answer.
	minHold = 100 * time.Millisecond
	// defaultAnswerSpace is the default of the maximum size of an answer in bytes.
	defaultAnswerSpace = 4 << 10
	// grantBytes is the msgpack size of a grant in an answer, with a fence below 65,536, and
	// longFenceBytes and longestFenceBytes are what higher fences add up to 32 bits and beyond;
	// tokenBytes is the size of its token, and answerBytes that of the rest of the answer.
	grantBytes        = 11
	longFenceBytes    = 2
	longestFenceBytes = 6
	tokenBytes        = 18
	answerBytes       = 64
	// maxOvertaken is by how much the sequence of a delayed beat can lie behind the latest one.
	maxOvertaken = 1000
	// maxAnswerDelay is how long after its beat was received an answer can still take effect:
	// targets discard an answer that takes a second.
	maxAnswerDelay = 1200 * time.Millisecond
)

// Slot is a range that the daemon owns and may grant.
type Slot struct {
	Range
	Epoch uint64
	Token string
}

// Option configures a Table.
type Option func(*Table)

// WithMaxHold is a functional option that sets the longest validity of a grant.
func WithMaxHold(d time.Duration) Option {
	return func(t *Table) { t.maxHold = d }
}

// WithMaxAnswerSize is a functional option that sets the maximum size of an answer in
// bytes.
func WithMaxAnswerSize(bytes int) Option {
	return func(t *Table) { t.answerSpace = bytes }
}

// WithInterval is a functional option that sets the time between two beats of a target.
func WithInterval(d time.Duration) Option {
	return func(t *Table) { t.interval = d }
}

// slotState is what a Table records about one slot.
type slotState struct {
	Slot
	// withheld is true while answers omit the slot.
	withheld bool
	// revoked is true once an answer has omitted the withheld slot.
	revoked bool
	// granted is when an answer last granted the slot; zero if none did. until is when all its
	// grants have expired, including those made before this Table; zero if there were
	// none.
	granted time.Time
	until   time.Time
	// reported is true if the latest beat lists the slot as held.
	reported bool
	// rejectedAt is when the target last rejected a request because it did not hold the slot.
	rejectedAt time.Time
	// released is true once the target has reported that it released the slot, with token.
	released bool
	token    string
}

// Table records what the daemon has granted to its target.
type Table struct {
	maxHold  time.Duration
	interval time.Duration
	// requestTime is how long the target takes for a request.
	requestTime  time.Duration
	answerSpace  int
	process      Process
	lastSequence uint64
	// lastBeat is when the latest beat of the process was received.
	lastBeat time.Time
	// inheritedUntil is when all grants made before this Table have expired.
	inheritedUntil time.Time
	granted        bool
	slots          map[uint32]*slotState
}

// NewTable returns a Table without slots. All grants made earlier, by another Table for the
// same target, expire by inheritedUntil.
func NewTable(inheritedUntil time.Time, opts ...Option) *Table {
	t := &Table{maxHold: defaultMaxHold, interval: defaultInterval, answerSpace: defaultAnswerSpace, inheritedUntil: inheritedUntil, slots: make(map[uint32]*slotState)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// SetSlots replaces the slots that the daemon owns.
func (t *Table) SetSlots(owned map[uint32]Slot) {
	for number, slot := range owned {
		e := t.slots[number]
		if e == nil {
			e = &slotState{until: t.inheritedUntil}
			t.slots[number] = e
		}
		if e.Epoch != slot.Epoch {
			e.released, e.token, e.withheld, e.revoked = false, "", false, false
		}
		e.Slot = slot
	}
	maps.DeleteFunc(t.slots, func(number uint32, _ *slotState) bool {
		_, owns := owned[number]
		return !owns
	})
}

// Freshness classifies a beat by its process and sequence number.
type Freshness uint8

const (
	// Current is a new beat of the process that the Table serves.
	Current Freshness = iota
	// Stale is a beat that arrived after a later one, or is of an earlier process.
	Stale
	// Restarted is a beat of a later process than the one that has received grants.
	Restarted
)

// Classify returns the freshness of a beat. The first beat sets the process to serve; a
// later process replaces it as long as nothing was granted.
func (t *Table) Classify(beat *Beat) Freshness {
	switch {
	case beat.Process == t.process:
		// A sequence that lies far behind shows that the latest one was not the target's own.
		if beat.Sequence <= t.lastSequence && t.lastSequence-beat.Sequence <= maxOvertaken {
			return Stale
		}
	case beat.Started.Before(t.process.Started):
		return Stale
	case t.granted:
		return Restarted
	default:
		t.process = beat.Process
	}
	t.lastSequence = beat.Sequence
	return Current
}

// Beat processes a current beat that was received at now, and returns the answer to it.
// The lease of the daemon ends at until. If the lease has ended, or ends too soon for a
// grant, the answer has no list of grants.
func (t *Table) Beat(now time.Time, beat *Beat, until time.Time) Answer {
	t.lastBeat = now
	for _, e := range t.slots {
		e.reported = slices.ContainsFunc(beat.Held, e.overlaps)
		for _, r := range beat.Released {
			if e.withheld && r.contains(e.Range) {
				e.released, e.token = true, r.Token
			}
		}
	}
	// Subtracting the zero time, which stands for no lease, would overflow.
	if !until.After(now) {
		return Answer{}
	}
	hold := min(time.Duration(float64(until.Sub(now)-leaseMargin)/maxClockStretch), t.maxHold)
	if hold < minHold {
		return Answer{}
	}
	for _, e := range t.slots {
		e.revoked = e.withheld
	}
	grants, omitted := t.grant(now, hold)
	return Answer{ListsGrants: true, Grants: grants, For: hold.Truncate(time.Millisecond), Omitted: omitted}
}

// grant selects and records the grants of an answer, valid for hold. If there is not enough
// space, ranges that the target already holds come first, and omitted counts the rest.
func (t *Table) grant(now time.Time, hold time.Duration) (out []Grant, omitted int) {
	slots := slices.SortedFunc(maps.Values(t.slots), func(x, y *slotState) int {
		return cmp.Compare(x.First, y.First)
	})
	answerSpace := t.answerSpace - answerBytes
	for _, held := range []bool{true, false} {
		var lastGrant *Grant
		for _, e := range slots {
			if e.withheld || e.reported != held {
				continue
			}
			g := Grant{Range: e.Range, Fence: e.Epoch}
			if !held {
				g.Token = e.Token
			}
			if lastGrant == nil || !lastGrant.extends(g) {
				if g.encodedSize() > answerSpace {
					omitted++
					continue
				}
				answerSpace -= g.encodedSize()
				out = append(out, g)
				lastGrant = &out[len(out)-1]
			} else {
				lastGrant.Last = g.Last
			}
			t.granted = true
			e.granted, e.until = now, now.Add(time.Duration(float64(hold)*maxClockStretch))
		}
	}
	return out, omitted
}

// extends reports whether next continues the range of g with the same fence and token.
func (g *Grant) extends(next Grant) bool {
	return g.Last+1 == next.First && g.Fence == next.Fence && g.Token == next.Token
}

func (g *Grant) encodedSize() int {
	size := grantBytes
	switch {
	case g.Fence > math.MaxUint32:
		size += longestFenceBytes
	case g.Fence > math.MaxUint16:
		size += longFenceBytes
	}
	if g.Token != "" {
		size += tokenBytes
	}
	return size
}

// Withhold omits a slot from all further answers.
func (t *Table) Withhold(number uint32) {
	if e := t.slots[number]; e != nil && !e.withheld {
		e.withheld, e.revoked, e.released, e.token = true, false, false, ""
	}
}

// CancelWithhold lets answers grant a withheld slot again.
func (t *Table) CancelWithhold(number uint32) {
	if e := t.slots[number]; e != nil {
		e.withheld, e.revoked = false, false
	}
}

// SetRequestTime sets how long the target takes for a request.
func (t *Table) SetRequestTime(d time.Duration) { t.requestTime = d }

// TargetExited records that the target's process has ended, so that it holds nothing.
func (t *Table) TargetExited() {
	for _, e := range t.slots {
		e.reported, e.until = false, time.Time{}
	}
	t.inheritedUntil = time.Time{}
}

// Free reports whether the target certainly neither holds a withheld slot nor processes
// requests of it, and returns the token that it issued.
func (t *Table) Free(now time.Time, number uint32) (token string, free bool) {
	e := t.slots[number]
	switch {
	case e == nil || !e.withheld:
		return "", false
	case e.released && !e.reported:
		return e.token, true
	case !now.Before(e.until):
		return "", true
	case !e.reported && t.lastBeat.After(e.granted.Add(maxAnswerDelay)) && t.lastBeat.After(t.inheritedUntil):
		return "", true
	default:
		return "", false
	}
}

// MarkRejected records that the target has rejected a request because it does not hold the
// slot: the grant has not reached it, or has expired there.
func (t *Table) MarkRejected(now time.Time, number uint32) {
	if e := t.slots[number]; e != nil {
		e.rejectedAt = now
	}
}

// Granted reports whether the target was granted a slot and has not rejected it since. A
// withheld slot remains held until the answer that omits it, but gets no further requests
// once these would not end before the next beat.
func (t *Table) Granted(now time.Time, number uint32) bool {
	e := t.slots[number]
	if e == nil || !now.Before(e.until) || !e.granted.After(e.rejectedAt) {
		return false
	}
	return !e.withheld || !e.revoked && now.Add(t.requestTime).Before(t.lastBeat.Add(t.interval))
}
