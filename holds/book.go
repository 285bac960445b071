package holds

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// defaultLongest is the longest time that a target may be told to hold.
	defaultLongest = 10 * time.Second
	// slowClock is how many times longer a target's clock may take for a time than
	// it should.
	slowClock = 1.02
	// leaseMargin is kept between the end of a grant and that of the lease.
	leaseMargin = 50 * time.Millisecond
	// defaultInterval is the time between two beats of a target.
	defaultInterval = time.Second
	// shortest is the least time for which a grant is worth its answer.
	shortest = 100 * time.Millisecond
	// defaultRoom is the greatest size of an answer in bytes.
	defaultRoom = 4 << 10
	// grantBytes is the size of a grant in an answer as msgpack, with a fence below
	// 65,536, and tokenBytes that of its token; answerBytes is that of all else.
	grantBytes  = 11
	tokenBytes  = 18
	answerBytes = 64
	// answerLife is how long after its beat was received an answer can still take
	// effect: targets drop one that takes a second.
	answerLife = 1200 * time.Millisecond
)

// Slot is a range that the daemon owns and may grant.
type Slot struct {
	Range
	Epoch uint64
	Token string
}

// Option configures a Book.
type Option func(*GrantTable)

// WithMaxHold is a functional option that sets the longest time that a target may
// be told to hold.
func WithMaxHold(d time.Duration) Option {
	return func(b *GrantTable) { b.longest = d }
}

// WithMaxAnswerSize is a functional option that sets the greatest size of an answer, in
// bytes.
func WithMaxAnswerSize(bytes int) Option {
	return func(b *GrantTable) { b.room = bytes }
}

// WithInterval is a functional option that sets the time between two beats of a target.
func WithInterval(d time.Duration) Option {
	return func(b *GrantTable) { b.interval = d }
}

// entry is what a Book knows of one slot.
type entry struct {
	Slot
	// withheld is true while the slot is to be left out of answers.
	withheld bool
	// told is true once an answer has left it out.
	told bool
	// granted is when an answer last granted it, and until is when all that was
	// granted of it has run out; zero if nothing was.
	granted time.Time
	until   time.Time
	// reported is true if the latest beat names it as held.
	reported bool
	// refuted is when the target last rejected a request for the slot as not held.
	refuted time.Time
	// released is true once the target has said that it gave it up, with token.
	released bool
	token    string
}

// GrantTable is what the daemon has granted to the target beside it.
type GrantTable struct {
	longest  time.Duration
	interval time.Duration
	// work is how long the target takes for a request.
	work time.Duration
	room int
	life Process
	last uint64
	// heard is when the latest beat of the life was received.
	heard time.Time
	// inherited is when all that was granted before this Book has run out.
	inherited time.Time
	granted   bool
	slots     map[uint32]*entry
}

// NewGrantTable returns a Book without slots. Whatever was granted before it, by another
// Book for the same target, runs out at inherited.
func NewGrantTable(inherited time.Time, opts ...Option) *GrantTable {
	b := &GrantTable{longest: defaultLongest, interval: defaultInterval, room: defaultRoom, inherited: inherited, slots: make(map[uint32]*entry)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetSlots replaces the slots that the daemon owns.
func (b *GrantTable) SetSlots(owned map[uint32]Slot) {
	for number, slot := range owned {
		e := b.slots[number]
		if e == nil {
			e = &entry{until: b.inherited}
			b.slots[number] = e
		}
		if e.Epoch != slot.Epoch {
			e.released, e.token, e.withheld, e.told = false, "", false, false
		}
		e.Slot = slot
	}
	maps.DeleteFunc(b.slots, func(number uint32, _ *entry) bool {
		_, still := owned[number]
		return !still
	})
}

// Freshness tells what a beat is worth.
type Freshness uint8

const (
	// Current is a beat of the life that the Book serves.
	Current Freshness = iota
	// Stale is one that was overtaken, or is of an earlier life.
	Stale
	// Restarted is one of a later life than the one that has been granted something.
	Restarted
)

// Classify tells what a beat is worth, and takes its life on if the Book serves none.
func (b *GrantTable) Classify(beat *Beat) Freshness {
	switch {
	case beat.Process == b.life:
		if beat.Sequence <= b.last {
			return Stale
		}
	case beat.Started.Before(b.life.Started):
		return Stale
	case b.granted:
		return Restarted
	default:
		b.life = beat.Process
	}
	b.last = beat.Sequence
	return Current
}

// Beat takes in a current beat that was received at now, and returns the answer
// while the lease lasts until the given time.
func (b *GrantTable) Beat(now time.Time, beat *Beat, until time.Time) Answer {
	b.heard = now
	for _, e := range b.slots {
		e.reported = slices.ContainsFunc(beat.Holds, e.meets)
		for _, r := range beat.Released {
			if e.withheld && r.covers(e.Range) {
				e.released, e.token = true, r.Token
			}
		}
	}
	// The difference to the zero time, which stands for no lease, would overflow.
	if !until.After(now) {
		return Answer{}
	}
	hold := min(time.Duration(float64(until.Sub(now)-leaseMargin)/slowClock), b.longest)
	if hold < shortest {
		return Answer{}
	}
	for _, e := range b.slots {
		e.told = e.withheld
	}
	grants, omitted := b.grant(now, hold)
	return Answer{ListsGrants: true, Grants: grants, For: hold.Truncate(time.Millisecond), Omitted: omitted}
}

// grant notes what an answer grants. If there is no room for all, what the target
// holds already goes first, and the number of those left out is returned.
func (b *GrantTable) grant(now time.Time, hold time.Duration) (out []Grant, omitted int) {
	slots := slices.SortedFunc(maps.Values(b.slots), func(x, y *entry) int {
		return cmp.Compare(x.First, y.First)
	})
	room := b.room - answerBytes
	for _, held := range []bool{true, false} {
		var last *Grant
		for _, e := range slots {
			if e.withheld || e.reported != held {
				continue
			}
			g := Grant{Range: e.Range, Fence: e.Epoch}
			if !held {
				g.Token = e.Token
			}
			if last == nil || !last.extends(g) {
				if g.size() > room {
					omitted++
					continue
				}
				room -= g.size()
				out = append(out, g)
				last = &out[len(out)-1]
			} else {
				last.Last = g.Last
			}
			b.granted = true
			e.granted, e.until = now, now.Add(time.Duration(float64(hold)*slowClock))
		}
	}
	return out, omitted
}

// extends tells whether next goes on where g ends, under the same terms.
func (g *Grant) extends(next Grant) bool {
	return g.Last+1 == next.First && g.Fence == next.Fence && g.Token == next.Token
}

func (g *Grant) size() int {
	if g.Token == "" {
		return grantBytes
	}
	return grantBytes + tokenBytes
}

// Withhold leaves a slot out of the answers from now on.
func (b *GrantTable) Withhold(number uint32) {
	if e := b.slots[number]; e != nil && !e.withheld {
		e.withheld, e.told, e.released, e.token = true, false, false, ""
	}
}

// CancelWithhold has a slot granted again.
func (b *GrantTable) CancelWithhold(number uint32) {
	if e := b.slots[number]; e != nil {
		e.withheld, e.told = false, false
	}
}

// SetRequestTime says how long the target takes for a request.
func (b *GrantTable) SetRequestTime(d time.Duration) { b.work = d }

// TargetExited says that the target's process has ended, so that it holds nothing.
func (b *GrantTable) TargetExited() {
	for _, e := range b.slots {
		e.reported, e.until = false, time.Time{}
	}
	b.inherited = time.Time{}
}

// Free tells whether the target is known not to hold a withheld slot, nor to work
// on it, and the token that it gave out.
func (b *GrantTable) Free(now time.Time, number uint32) (token string, free bool) {
	e := b.slots[number]
	switch {
	case e == nil || !e.withheld:
		return "", false
	case e.released && !e.reported:
		return e.token, true
	case !now.Before(e.until):
		return "", true
	case !e.reported && b.heard.After(e.granted.Add(answerLife)) && b.heard.After(b.inherited):
		return "", true
	default:
		return "", false
	}
}

// MarkRejected notes that the target has rejected a request for a slot as not held: what
// was granted has not reached it, or has run out there.
func (b *GrantTable) MarkRejected(now time.Time, number uint32) {
	if e := b.slots[number]; e != nil {
		e.refuted = now
	}
}

// Granted tells whether the target has been told to hold a slot, and has not denied
// it since. A slot that is withheld is still held until the answer that leaves it out;
// it is given no more work from when that would not end before the next beat.
func (b *GrantTable) Granted(now time.Time, number uint32) bool {
	e := b.slots[number]
	if e == nil || !now.Before(e.until) || !e.granted.After(e.refuted) {
		return false
	}
	return !e.withheld || !e.told && now.Add(b.work).Before(b.heard.Add(b.interval))
}
