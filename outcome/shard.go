package outcome

import (
	"cmp"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"fulmarrun/wire"
)

// limits bounds what a ledger holds and how it reads clocks.
type limits struct {
	// retain is how long a record is kept if there is room.
	retain time.Duration
	// skew bounds the difference between any two clocks.
	skew time.Duration
	// margin is what the floor lies after a take-over.
	margin  time.Duration
	records int64
	// answer and memory are in bytes: of one answer that is kept and of all.
	answer int
	memory int64
	strict bool
	// traceless is set by tests alone: a dropped record leaves the floor as it is.
	traceless bool
}

// usage counts what all shards hold.
type usage struct {
	records  atomic.Int64
	timeless atomic.Int64
	bytes    atomic.Int64
}

// shard holds some units and their records. It reads no clock and never waits.
type shard struct {
	limits limits
	usage  *usage
	// share is the number of records that this shard may always hold.
	share  int
	units  map[Unit]*unit
	number uint32
	// numbers finds an open unit by its number.
	numbers map[uint32]*unit
	index   map[key]index
	slab    slab
	// scratch is where answers are encoded.
	scratch []byte
	// timed and timeless hold the records by the kind of their ID.
	timed, timeless list
}

func newShard(l limits, u *usage, share int) *shard {
	return &shard{
		limits:  l,
		usage:   u,
		share:   share,
		units:   make(map[Unit]*unit),
		numbers: make(map[uint32]*unit),
		index:   make(map[key]index),
	}
}

func (s *shard) list(timed bool) *list {
	if timed {
		return &s.timed
	}
	return &s.timeless
}

// add returns the open unit, which it makes if there is none.
func (s *shard) add(name Unit) *unit {
	u, ok := s.units[name]
	if !ok {
		s.number++
		u = &unit{number: s.number}
		s.units[name], s.numbers[u.number] = u, u
	}
	return u
}

// open starts a unit without memory. A zero since means that nobody owned it.
func (s *shard) open(name Unit, since time.Time) {
	s.drop(name)
	u := s.add(name)
	if since.IsZero() {
		return
	}
	u.taken = since.Add(s.limits.margin).UnixMilli() + 1
	u.blind = u.taken + s.limits.retain.Milliseconds()
}

// begin decides on a request and notes that it runs if the verdict is Run.
func (s *shard) begin(now time.Time, name Unit, id string, fresh bool) Decision {
	u, ok := s.units[name]
	if !ok {
		return reject(http.StatusMisdirectedRequest, ReasonNotOwned, 0)
	}
	if u.frozen {
		return Decision{Action: Frozen}
	}
	d, err := parseID(id)
	if err != nil {
		return reject(http.StatusBadRequest, ReasonMalformed, 0)
	}
	k := key{sum: d.sum, unit: u.number, timed: d.timed}
	if i, ok := s.index[k]; ok {
		r := s.slab.at(i)
		if r.state == stateRunning {
			return Decision{Action: Join}
		}
		return r.replay()
	}
	if doubtful(now, u, d, fresh) {
		return unknown(ReasonRecordLost)
	}
	if refusal, ok := s.admit(now, d); !ok {
		return refusal
	}
	r := s.insert(k, now.UnixMilli())
	if !d.timed {
		r.name(id)
	}
	u.running++
	return Decision{Action: Run}
}

// doubtful tells whether an ID without a record may have run. A fresh one can't
// have run at a previous owner, but its record can have been dropped here.
func doubtful(now time.Time, u *unit, d ident, fresh bool) bool {
	switch {
	case !d.timed:
		return !fresh && now.UnixMilli() < u.blind
	case fresh:
		return d.millis() < u.dropped
	default:
		return d.millis() < u.floor()
	}
}

// admit checks that a record can be made, and makes room for it.
func (s *shard) admit(now time.Time, d ident) (Decision, bool) {
	if d.timed {
		ahead := time.UnixMilli(d.millis()).Sub(now) - s.limits.skew
		if ahead > 0 {
			return reject(http.StatusTooEarly, ReasonFuture, ahead), false
		}
	} else if s.limits.strict {
		return reject(http.StatusBadRequest, ReasonNoTime, 0), false
	}
	if !s.room(d.timed) {
		return reject(http.StatusServiceUnavailable, ReasonFull, retryFull), false
	}
	return Decision{}, true
}

// room makes room for one record, by dropping the oldest of this shard that is
// done. Only an ID with a time can be dropped early, since its time raises the
// floor; the others may take up half of the records.
func (s *shard) room(timed bool) bool {
	if !timed && s.usage.timeless.Load() >= s.limits.records/2 {
		return false
	}
	if s.usage.records.Load() < s.limits.records || len(s.index) < s.share {
		return true
	}
	for i := s.timed.first; i != 0; i = s.slab.at(i).next {
		if s.slab.at(i).state != stateRunning {
			s.forget(i)
			return true
		}
	}
	return false
}

// insert makes a running record.
func (s *shard) insert(k key, at int64) *record {
	i := s.slab.take()
	r := s.slab.at(i)
	r.key, r.at = k, at
	s.index[k] = i
	s.list(k.timed).push(&s.slab, i)
	s.usage.records.Add(1)
	if !k.timed {
		s.usage.timeless.Add(1)
	}
	return r
}

// remove takes a record away without a trace.
func (s *shard) remove(i index) {
	r := s.slab.at(i)
	s.usage.records.Add(-1)
	if !r.key.timed {
		s.usage.timeless.Add(-1)
	}
	s.release(r)
	delete(s.index, r.key)
	s.list(r.key.timed).remove(&s.slab, i)
	s.slab.give(i)
}

// forget takes a record away and raises the floor above it.
func (s *shard) forget(i index) {
	k := s.slab.at(i).key
	if k.timed && !s.limits.traceless {
		s.numbers[k.unit].raise(ident{sum: k.sum}.millis() + 1)
	}
	s.remove(i)
}

// release frees the answer of a record.
func (s *shard) release(r *record) {
	s.usage.bytes.Add(-int64(len(r.data)))
	r.data = ""
}

// lookup finds the record of an ID in an open unit.
func (s *shard) lookup(name Unit, id string) (*unit, index) {
	u, ok := s.units[name]
	if !ok {
		return nil, 0
	}
	d, err := parseID(id)
	if err != nil {
		return u, 0
	}
	return u, s.index[key{sum: d.sum, unit: u.number, timed: d.timed}]
}

// finish notes the outcome of a run.
func (s *shard) finish(name Unit, id string, resp *wire.Response) {
	if resp.Outcome == wire.OutcomeNotRun {
		s.abandon(name, id)
		return
	}
	u, i := s.lookup(name, id)
	if i == 0 || s.slab.at(i).state != stateRunning {
		return
	}
	r := s.slab.at(i)
	u.running--
	r.state = stateUnknown
	if resp.Outcome == wire.OutcomeAnswered {
		r.state = stateAnswered
		s.hold(r, resp)
	}
	r.resolve(resp)
}

// hold keeps an answer if it is within the limits, in place of older ones.
func (s *shard) hold(r *record, resp *wire.Response) {
	if len(resp.Body) > s.limits.answer {
		return
	}
	var err error
	s.scratch, err = pack(s.scratch[:0], resp)
	if err != nil || len(s.scratch) > s.limits.answer {
		return
	}
	s.usage.bytes.Add(int64(len(s.scratch)))
	r.data = string(s.scratch)
	s.strip(&s.timed)
	s.strip(&s.timeless)
}

// strip frees the oldest answers of a list until all are within the limit.
func (s *shard) strip(l *list) {
	for l.held != 0 && s.usage.bytes.Load() > s.limits.memory {
		r := s.slab.at(l.held)
		if r.state == stateRunning {
			return
		}
		s.release(r)
		l.held = r.next
	}
}

// abandon forgets a run that did not take place.
func (s *shard) abandon(name Unit, id string) {
	u, i := s.lookup(name, id)
	if i == 0 || s.slab.at(i).state != stateRunning {
		return
	}
	u.running--
	s.slab.at(i).resolve(abandoned())
	s.remove(i)
}

func abandoned() *wire.Response {
	return reject(http.StatusServiceUnavailable, ReasonAbandoned, retryAbandoned).Response
}

// join returns what to wait for, or the answer if there is nothing to wait for.
func (s *shard) join(name Unit, id string) (*waiter, *wire.Response) {
	u, i := s.lookup(name, id)
	if i == 0 {
		return nil, s.absent(u, id)
	}
	r := s.slab.at(i)
	if r.state != stateRunning {
		return nil, r.replay().Response
	}
	return r.join(), nil
}

// absent answers a request that joined a run whose record has gone since.
func (s *shard) absent(u *unit, id string) *wire.Response {
	d, err := parseID(id)
	if u == nil || err != nil || !d.timed || d.millis() < u.floor() {
		return unknown(ReasonRecordLost).Response
	}
	return abandoned()
}

// drop forgets a unit and answers all who wait for it.
func (s *shard) drop(name Unit) {
	u, ok := s.units[name]
	if !ok {
		return
	}
	s.each(u, func(i index) {
		s.slab.at(i).resolve(unknown(ReasonRecordLost).Response)
		s.remove(i)
	})
	delete(s.units, name)
	delete(s.numbers, u.number)
}

// each calls f with each record of a unit; f may remove it.
func (s *shard) each(u *unit, f func(index)) {
	for _, l := range []list{s.timed, s.timeless} {
		for i := l.first; i != 0; {
			r := s.slab.at(i)
			next := r.next
			if r.key.unit == u.number {
				f(i)
			}
			i = next
		}
	}
}

// export freezes a unit and returns its memory.
func (s *shard) export(name Unit) (wire.RecordHandover, bool) {
	u, ok := s.units[name]
	if !ok {
		return wire.RecordHandover{}, false
	}
	u.frozen = true
	out := wire.RecordHandover{Service: name.Service, Slot: name.Slot, HotKey: name.HotKey}
	if floor := u.floor(); floor != 0 {
		out.CompleteSince = time.UnixMilli(floor)
	}
	s.each(u, func(i index) { out.Records = append(out.Records, s.slab.at(i).export()) })
	slices.SortStableFunc(out.Records, func(a, b wire.Record) int {
		return cmp.Or(a.CreatedAt.Compare(b.CreatedAt), cmp.Compare(a.ID, b.ID))
	})
	return out, true
}

// take opens the unit of a memory, or adds the memory to it, and thaws it.
func (s *shard) take(m wire.RecordHandover) {
	u := s.add(Unit{Service: m.Service, Slot: m.Slot, HotKey: m.HotKey})
	u.frozen = false
	if !m.CompleteSince.IsZero() {
		floor := m.CompleteSince.UnixMilli()
		u.raise(floor)
		u.blind = max(u.blind, floor+s.limits.retain.Milliseconds())
	}
	for i := range m.Records {
		s.adopt(u, &m.Records[i])
	}
}

// adopt adds one record of a memory.
func (s *shard) adopt(u *unit, m *wire.Record) {
	d, err := parseID(m.ID)
	if err != nil {
		return
	}
	k := key{sum: d.sum, unit: u.number, timed: d.timed}
	i, known := s.index[k]
	if known && (s.slab.at(i).state != stateUnknown || m.Outcome != wire.OutcomeAnswered) {
		return
	}
	if !known {
		s.room(d.timed)
		s.insert(k, m.CreatedAt.UnixMilli())
		i = s.index[k]
	}
	r := s.slab.at(i)
	r.state = stateUnknown
	if !d.timed {
		r.name(m.ID)
	}
	if m.Outcome != wire.OutcomeAnswered {
		return
	}
	r.state = stateAnswered
	if m.Status != 0 {
		s.hold(r, &wire.Response{Status: m.Status, Headers: m.Headers, Body: m.Body})
	}
}

// expire drops the records that are older than the retention. Twice the skew is
// added so that the floors that it leaves lie a retention back on any clock.
func (s *shard) expire(now time.Time) {
	before := now.Add(-s.limits.retain - 2*s.limits.skew).UnixMilli()
	for _, l := range []*list{&s.timed, &s.timeless} {
		for i := l.first; i != 0; {
			r := s.slab.at(i)
			next := r.next
			if r.at >= before {
				break
			}
			if r.state != stateRunning {
				s.forget(i)
			}
			i = next
		}
	}
}
