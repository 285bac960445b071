package outcome

import (
	"cmp"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"fulmarrun/wire"
)

// limits are the bounds of a ledger's memory and of clock skew.
type limits struct {
	// retention is how long a record is kept if there is room for it.
	retention time.Duration
	// skew bounds the difference between any two clocks.
	skew time.Duration
	// margin is the time from a take-over to the takeoverFloor that it sets.
	margin  time.Duration
	records int64
	// maxAnswerSize and maxAnswerMemory are in bytes: the maximum size of one stored
	// answer and of all together.
	maxAnswerSize   int
	maxAnswerMemory int64
	timedOnly       bool
	// keepFloor is set only by tests: evicting a record does not raise the unit's
	// dropFloor.
	keepFloor bool
}

// usage counts the records and answers of all shards.
type usage struct {
	records atomic.Int64
	untimed atomic.Int64
	bytes   atomic.Int64
}

// shard holds some of the units and their records. It reads no clock and never
// blocks.
type shard struct {
	limits limits
	usage  *usage
	// reserved is the number of records that this shard may always hold.
	reserved int
	units    map[Unit]*unit
	number   uint32
	// unitsByNumber maps the number of an open unit to the unit.
	unitsByNumber map[uint32]*unit
	index         map[key]index
	slab          slab
	// scratch is the buffer in which answers are encoded.
	scratch []byte
	// timed and untimed list the records of IDs with and without a time.
	timed, untimed list
}

func newShard(l limits, u *usage, reserved int) *shard {
	return &shard{
		limits:        l,
		usage:         u,
		reserved:      reserved,
		units:         make(map[Unit]*unit),
		unitsByNumber: make(map[uint32]*unit),
		index:         make(map[key]index),
	}
}

func (s *shard) list(timed bool) *list {
	if timed {
		return &s.timed
	}
	return &s.untimed
}

// add returns the open unit name, which it creates if it does not exist.
func (s *shard) add(name Unit) *unit {
	u, ok := s.units[name]
	if !ok {
		s.number++
		u = &unit{number: s.number}
		s.units[name], s.unitsByNumber[u.number] = u, u
	}
	return u
}

// open opens a unit without records. A zero since means that the unit never had an
// owner.
func (s *shard) open(name Unit, since time.Time) {
	s.drop(name)
	u := s.add(name)
	if since.IsZero() {
		return
	}
	u.takeoverFloor = since.Add(s.limits.margin).UnixMilli() + 1
	u.untimedUntil = u.takeoverFloor + s.limits.retention.Milliseconds()
}

// begin decides what to do with a request and records it as running if the action is
// Run.
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
	if mayHaveRun(now, u, d, fresh) {
		return unknown(ReasonRecordLost)
	}
	if refusal, ok := s.admit(now, d); !ok {
		return refusal
	}
	r := s.insert(k, now.UnixMilli())
	if !d.timed {
		r.setID(id)
	}
	u.running++
	return Decision{Action: Run}
}

// mayHaveRun reports whether an ID without a record may have run. A fresh ID cannot
// have run at a previous owner, but its record may have been evicted here.
func mayHaveRun(now time.Time, u *unit, d ident, fresh bool) bool {
	switch {
	case !d.timed:
		return !fresh && now.UnixMilli() < u.untimedUntil
	case fresh:
		return d.millis() < u.dropFloor
	default:
		return d.millis() < u.floor()
	}
}

// admit checks whether a record may be created and makes room for it.
func (s *shard) admit(now time.Time, d ident) (Decision, bool) {
	if d.timed {
		ahead := time.UnixMilli(d.millis()).Sub(now) - s.limits.skew
		if ahead > 0 {
			return reject(http.StatusTooEarly, ReasonFuture, ahead), false
		}
	} else if s.limits.timedOnly {
		return reject(http.StatusBadRequest, ReasonNoTime, 0), false
	}
	if !s.makeRoom(d.timed) {
		return reject(http.StatusServiceUnavailable, ReasonFull, retryFull), false
	}
	return Decision{}, true
}

// makeRoom makes room for one record by evicting the oldest finished record of this
// shard. Only an ID with a time can be evicted before the retention ends, since its
// time raises the unit's dropFloor; IDs without a time may take up at most half of the
// records.
func (s *shard) makeRoom(timed bool) bool {
	if !timed && s.usage.untimed.Load() >= s.limits.records/2 {
		return false
	}
	if s.usage.records.Load() < s.limits.records || len(s.index) < s.reserved {
		return true
	}
	for i := s.timed.first; i != 0; i = s.slab.at(i).next {
		if s.slab.at(i).state != stateRunning {
			s.evict(i)
			return true
		}
	}
	return false
}

// insert creates a running record.
func (s *shard) insert(k key, at int64) *record {
	i := s.slab.alloc()
	r := s.slab.at(i)
	r.key, r.at = k, at
	s.index[k] = i
	s.list(k.timed).push(&s.slab, i)
	s.usage.records.Add(1)
	if !k.timed {
		s.usage.untimed.Add(1)
	}
	return r
}

// remove removes a record without raising the unit's dropFloor.
func (s *shard) remove(i index) {
	r := s.slab.at(i)
	s.usage.records.Add(-1)
	if !r.key.timed {
		s.usage.untimed.Add(-1)
	}
	s.freeAnswer(r)
	delete(s.index, r.key)
	s.list(r.key.timed).remove(&s.slab, i)
	s.slab.release(i)
}

// evict removes a record and raises the unit's dropFloor above the time of its ID.
func (s *shard) evict(i index) {
	k := s.slab.at(i).key
	if k.timed && !s.limits.keepFloor {
		s.unitsByNumber[k.unit].raiseFloor(ident{sum: k.sum}.millis() + 1)
	}
	s.remove(i)
}

// freeAnswer frees the stored answer of a record.
func (s *shard) freeAnswer(r *record) {
	s.usage.bytes.Add(-int64(len(r.data)))
	r.data = ""
}

// lookup returns the open unit and the index of the record of an ID; zero if none.
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

// finish records the outcome of a run.
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
		s.storeAnswer(r, resp)
	}
	r.resolve(resp)
}

// storeAnswer stores an answer within the size limit and frees older answers if
// needed.
func (s *shard) storeAnswer(r *record, resp *wire.Response) {
	if len(resp.Body) > s.limits.maxAnswerSize {
		return
	}
	var err error
	s.scratch, err = encodeAnswer(s.scratch[:0], resp)
	if err != nil || len(s.scratch) > s.limits.maxAnswerSize {
		return
	}
	s.usage.bytes.Add(int64(len(s.scratch)))
	r.data = string(s.scratch)
	s.freeOldAnswers(&s.timed)
	s.freeOldAnswers(&s.untimed)
}

// freeOldAnswers frees the oldest answers of a list until the total size of all
// answers is within the limit.
func (s *shard) freeOldAnswers(l *list) {
	for l.oldestHeld != 0 && s.usage.bytes.Load() > s.limits.maxAnswerMemory {
		r := s.slab.at(l.oldestHeld)
		if r.state == stateRunning {
			return
		}
		s.freeAnswer(r)
		l.oldestHeld = r.next
	}
}

// abandon removes the record of a run that did not take place.
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

// join returns the waiter of a running request, or the answer if it does not run.
func (s *shard) join(name Unit, id string) (*waiter, *wire.Response) {
	u, i := s.lookup(name, id)
	if i == 0 {
		return nil, s.missingResponse(u, id)
	}
	r := s.slab.at(i)
	if r.state != stateRunning {
		return nil, r.replay().Response
	}
	return r.join(), nil
}

// missingResponse returns the answer to a request that joined a run whose record has
// been removed since.
func (s *shard) missingResponse(u *unit, id string) *wire.Response {
	d, err := parseID(id)
	if u == nil || err != nil || !d.timed || d.millis() < u.floor() {
		return unknown(ReasonRecordLost).Response
	}
	return abandoned()
}

// drop removes a unit and answers all callers that wait for its runs.
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
	delete(s.unitsByNumber, u.number)
}

// each calls f with each record of a unit; f may remove it.
func (s *shard) each(u *unit, f func(index)) {
	for _, l := range []list{s.timed, s.untimed} {
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

// export freezes a unit and returns its records.
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

// importRecords opens the unit of a hand-over if needed, adds the records and
// unfreezes the unit.
func (s *shard) importRecords(m wire.RecordHandover) {
	u := s.add(Unit{Service: m.Service, Slot: m.Slot, HotKey: m.HotKey})
	u.frozen = false
	if !m.CompleteSince.IsZero() {
		floor := m.CompleteSince.UnixMilli()
		u.raiseFloor(floor)
		u.untimedUntil = max(u.untimedUntil, floor+s.limits.retention.Milliseconds())
	}
	for i := range m.Records {
		s.importRecord(u, &m.Records[i])
	}
}

// importRecord adds one record of a hand-over.
func (s *shard) importRecord(u *unit, m *wire.Record) {
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
		s.makeRoom(d.timed)
		s.insert(k, m.CreatedAt.UnixMilli())
		i = s.index[k]
	}
	r := s.slab.at(i)
	r.state = stateUnknown
	if !d.timed {
		r.setID(m.ID)
	}
	if m.Outcome != wire.OutcomeAnswered {
		return
	}
	r.state = stateAnswered
	if m.Status != 0 {
		s.storeAnswer(r, &wire.Response{Status: m.Status, Headers: m.Headers, Body: m.Body})
	}
}

// expire evicts the records that are older than the retention plus twice the skew.
// The skew is added so that the resulting dropFloor of each unit is at least the
// retention in the past by any clock.
func (s *shard) expire(now time.Time) {
	before := now.Add(-s.limits.retention - 2*s.limits.skew).UnixMilli()
	for _, l := range []*list{&s.timed, &s.untimed} {
		for i := l.first; i != 0; {
			r := s.slab.at(i)
			next := r.next
			if r.at >= before {
				break
			}
			if r.state != stateRunning {
				s.evict(i)
			}
			i = next
		}
	}
}
