package control_test

import (
	"bytes"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/lease"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// process is one generation: a shell around a core as package daemon has it.
type process struct {
	w     *world
	index int
	self  wire.Member
	core  *control.Core
	rate  float64 // of the clock

	dead        bool
	pausedUntil time.Duration
	waiting     []func()
	resume      func() // goes on with the step that a pause broke off

	answered time.Time // by the table

	// What traffic acts on.
	snapshot *routes.Snapshot
	until    time.Time
	held     map[uint32]held
	frozen   map[uint32]bool
	memories map[uint32]*memory
	staged   map[stagedKey]*memory
}

// held is a slot that is owned here, as last published.
type held struct{ epoch, transfer uint64 }

// memory is what is remembered of the requests of one slot.
type memory struct {
	since time.Duration
	ids   map[string]bool
}

type stagedKey struct {
	slot     uint32
	transfer uint64
}

func newProcess(w *world, index int, g wire.Generation) *process {
	p := &process{
		w: w, index: index,
		self: wire.Member{
			Instance: fmt.Sprint(index), Generation: g, Service: serviceName,
			Region: w.region(index), Domain: w.domain(index), Peer: addrOf(index),
		},
		rate: 0.98 + 0.04*w.rng.Float64(),
		held: make(map[uint32]held), frozen: make(map[uint32]bool),
		memories: make(map[uint32]*memory), staged: make(map[stagedKey]*memory),
	}
	options := []control.Option{
		control.WithSeed(uint64(g)), control.WithFaults(w.core), control.WithLease(lease.WithFaults(w.lease)),
		control.WithIDs(func() string { w.names++; return fmt.Sprint(w.names) }),
	}
	if w.retain > 0 {
		options = append(options, control.WithRetention(w.retain))
	}
	if w.plan != nil {
		options = append(options, control.WithPlan(w.plan))
	}
	p.core = control.NewCore(p.self, options...)
	p.publish()
	p.load(func(rows []wire.Row) control.Message { return control.RowsLoaded{Rows: rows, Wall: p.wall()} })
	w.after(w.between(0, 300*time.Millisecond), p.configure)
	w.after(w.between(0, control.TickInterval), p.tick)
	return p
}

// now is the true time on the process's own clock.
func (p *process) now() time.Time {
	return time.Unix(int64(1000*(p.index+1)), 0).Add(time.Duration(float64(p.w.now) * p.rate))
}

func (p *process) wall() time.Time { return time.Unix(0, 0).Add(p.w.now) }

func (p *process) leased() bool { return !p.dead && p.now().Before(p.until) }

// serving returns the slots that requests are admitted to, by epoch.
func (p *process) serving() map[uint32]uint64 {
	out := make(map[uint32]uint64, len(p.held))
	for slot, h := range p.held {
		if !p.frozen[slot] || p.w.mistakes.serveFrozen {
			out[slot] = h.epoch
		}
	}
	return out
}

func (p *process) configure() {
	p.post(p.w.config)
}

// pause stops the process for a while; what reaches it waits.
func (p *process) pause(long time.Duration) {
	p.w.stats.Pauses++
	p.pausedUntil = max(p.pausedUntil, p.w.now+long)
	p.w.after(long, p.wake)
}

func (p *process) wake() {
	if p.dead || p.w.now < p.pausedUntil {
		return
	}
	p.w.check()
	waiting, resume := p.waiting, p.resume
	p.waiting, p.resume = nil, nil
	if resume != nil {
		resume()
	}
	if p.w.chance(0.5) {
		p.w.rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	}
	for _, do := range waiting {
		p.run(do)
	}
}

// run does something in this process, once it isn't paused.
func (p *process) run(do func()) {
	switch {
	case p.dead:
	case p.w.now < p.pausedUntil:
		p.waiting = append(p.waiting, do)
	default:
		do()
	}
}

func (p *process) post(m control.Message) { p.run(func() { p.step(m) }) }

// tick is posted again only when the last one was taken, as with time.Ticker.
func (p *process) tick() {
	p.run(func() {
		p.step(control.Tick{StoreAnswered: p.answered, Wall: p.wall()})
		p.traffic()
		p.w.after(p.w.between(control.TickInterval*9/10, control.TickInterval*11/10), p.tick)
	})
}

// step feeds one message to the core and does what it asks for. A pause may come
// before the routes are published.
func (p *process) step(m control.Message) {
	p.w.stats.Steps++
	effects := slices.Clone(p.core.Step(p.now(), m))
	p.traced(m, effects)
	for _, e := range effects {
		p.carryOut(e)
	}
	if p.w.chaos && p.w.chance(0.002) {
		p.pause(p.w.between(time.Millisecond, 1500*time.Millisecond))
		p.resume = func() { p.finish(effects) }
		return
	}
	p.finish(effects)
}

func (p *process) finish(effects []control.Effect) {
	p.publish()
	for _, e := range effects {
		if end, ok := e.(control.FinishMove); ok {
			p.thaw(end.Move)
		}
	}
	p.w.check()
}

// publish makes the routes and the lease visible to traffic.
func (p *process) publish() {
	p.until = p.core.LeaseUntil()
	snapshot := p.core.Snapshot()
	if snapshot == p.snapshot {
		return
	}
	p.snapshot = snapshot
	present := make(map[uint32]held)
	for h := range snapshot.Assignments(serviceName) {
		if h.Owner != nil && h.Owner.Generation == p.self.Generation {
			present[h.Slot] = held{epoch: h.Epoch, transfer: h.TransferID}
		}
	}
	old := p.held
	if p.w.mistakes.publishFirst {
		p.held = present
		p.w.check()
		p.traffic()
	}
	for _, slot := range slices.Sorted(maps.Keys(present)) {
		before, was := old[slot]
		if !was || !p.w.mistakes.sameUnit && before.epoch != present[slot].epoch {
			p.open(slot, present[slot])
		}
	}
	p.held = present
	for slot := range old {
		if _, still := present[slot]; !still {
			delete(p.memories, slot)
		}
	}
}

// open starts the memory of a slot that is new here.
func (p *process) open(slot uint32, h held) {
	key := stagedKey{slot: slot, transfer: h.transfer}
	if p.w.mistakes.anyTransfer {
		for k := range p.staged {
			if k.slot == slot {
				key = k
			}
		}
	}
	if m := p.staged[key]; m != nil && (h.transfer != 0 || p.w.mistakes.anyTransfer) {
		delete(p.staged, key)
		p.memories[slot] = m
		p.w.stats.Staged++
		return
	}
	m := &memory{since: p.w.now, ids: make(map[string]bool)}
	if h.epoch <= 1 {
		m.since = -1
	}
	p.memories[slot] = m
}

// traffic runs a new request, and repeats one that ran before, in a slot that is
// served here.
func (p *process) traffic() {
	if !p.leased() {
		return
	}
	serving := p.serving()
	for _, slot := range slices.Sorted(maps.Keys(serving)) {
		m := p.memories[slot]
		if m == nil {
			p.w.fail("slot %d is served by %d without a memory", slot, p.self.Generation)
			return
		}
		for _, r := range p.w.ran[slot] {
			if !m.ids[r.id] && r.at > m.since {
				p.w.fail("slot %d: %s, made at %v, would run again at %d, which opened it at %v",
					slot, r.id, r.at, p.self.Generation, m.since)
			}
		}
		if p.w.chance(0.02) {
			p.w.stats.Requests++
			p.w.names++
			r := ran{id: fmt.Sprint(p.w.names), at: p.w.now}
			p.w.ran[slot] = append(p.w.ran[slot], r)
			m.ids[r.id] = true
		}
	}
}

func (p *process) thaw(m control.Move) {
	for _, move := range m.Moves {
		delete(p.frozen, move.Slot)
	}
}

func (p *process) carryOut(e control.Effect) {
	switch e := e.(type) {
	case control.SendHeartbeat:
		p.w.send(p, e.To, func(q *process) { q.step(control.Heartbeat{Heartbeat: e.Heartbeat}) })
	case control.RequestVote:
		p.askVote(e)
	case control.Write:
		p.write(e, 50*time.Millisecond)
	case control.SendRows:
		for _, to := range e.To {
			p.sendNews(to, e.Update, false)
		}
	case control.Compare:
		p.compare(e)
	case control.Move:
		p.prepare(e)
	case control.Probe:
		p.w.call(p, func() func() {
			p.w.stats.Reads++
			return func() { p.step(control.Tick{StoreAnswered: p.answered, Wall: p.wall()}) }
		})
	case control.Reload:
		p.load(func(rows []wire.Row) control.Message { return control.RowsArrived{Rows: rows} })
	case control.Drain:
		p.w.after(p.w.between(0, 100*time.Millisecond), func() { p.post(control.Drained{}) })
	case control.DrainKeyed:
		p.w.after(p.w.between(0, 100*time.Millisecond), func() { p.post(control.KeyedDrained(e)) })
	case control.Closed, control.LeaveCompleted:
		p.end()
	}
}

// end starts a new generation soon, unless another holds the address.
func (p *process) end() {
	p.dead = true
	if p.w.ends {
		return
	}
	p.w.after(p.w.between(0, 500*time.Millisecond), func() { p.w.restart(p) })
}

func (p *process) askVote(e control.RequestVote) {
	p.w.send(p, e.To, func(q *process) {
		q.step(control.VoteRequested{Vote: e.Vote, Reply: func(v wire.Verdict) {
			p.w.reply(q, p, func() { p.step(control.VerdictArrived{Witness: e.Witness, Verdict: v}) })
		}})
	})
}

// reply answers a call over the connection on which it came.
func (w *world) reply(from, to *process, do func()) {
	if !w.cut[[2]int{from.index, to.index}] {
		w.after(w.between(500*time.Microsecond, 3*time.Millisecond), func() { to.run(do) })
	}
}

// sendNews sends news, and once more what is wanted instead.
func (p *process) sendNews(to netip.AddrPort, news wire.Rows, again bool) {
	p.w.checkNews(news)
	p.w.send(p, to, func(q *process) {
		q.step(control.RowsArrived{From: news.From, Rows: news.Rows, Deltas: news.Deltas, Reply: func(wanted wire.ResendRequest) {
			if !again {
				p.w.reply(q, p, func() { p.sendWanted(to, wanted) })
			}
		}})
	})
}

func (p *process) sendWanted(to netip.AddrPort, wanted wire.ResendRequest) {
	if len(wanted.Have) > 0 {
		p.step(control.RowsRequested{ResendRequest: wanted, Reply: func(rows wire.Rows) { p.sendNews(to, rows, true) }})
	}
}

// checkRows sees that all rows that are known here were in the table as they are.
func (p *process) checkRows() {
	var all wire.ResendRequest
	for key := range p.w.rows {
		all.Have = append(all.Have, wire.Version{Key: key})
	}
	p.core.Step(p.now(), control.RowsRequested{ResendRequest: all, Reply: p.w.checkNews})
}

func (p *process) compare(e control.Compare) {
	p.checkRows()
	p.w.send(p, e.To, func(q *process) {
		q.step(control.SummaryArrived{Summary: e.Summary, Reply: func(theirs wire.Digests) {
			p.w.reply(q, p, func() { p.compared(e, theirs) })
		}})
	})
}

func (p *process) compared(e control.Compare, theirs wire.Digests) {
	if len(theirs.Groups) == 0 {
		return
	}
	p.step(control.DigestsArrived{Digests: theirs, Reply: func(ours wire.Versions) {
		p.w.send(p, e.To, func(q *process) {
			q.step(control.VersionsArrived{Versions: ours, Reply: func(rows wire.Rows) {
				p.w.checkNews(rows)
				p.w.reply(q, p, func() {
					p.step(control.RowsArrived{From: rows.From, Rows: rows.Rows, Deltas: rows.Deltas})
					p.run(func() { p.sendWanted(e.To, wire.ResendRequest{Have: rows.ResendRequest}) })
				})
			}})
		})
	}})
}

// load reads all rows, members first, until the table answers.
func (p *process) load(message func([]wire.Row) control.Message) {
	done := false
	p.w.call(p, func() func() {
		members := p.w.list(routes.MemberPrefix)
		return func() {
			p.w.call(p, func() func() {
				slots := p.w.list(routes.SlotsPrefix)
				return func() {
					if !done {
						done = true
						p.step(message(append(members, slots...)))
					}
				}
			})
		}
	})
	p.w.after(2*callTimeout, func() {
		if !done && !p.dead {
			done = true
			p.run(func() { p.load(message) })
		}
	})
}

// write repeats a transaction until its outcome is known.
func (p *process) write(e control.Write, backoff time.Duration) {
	done := false
	p.w.call(p, func() func() {
		res := p.w.transact(e.Transaction)
		p.w.applied(e, res)
		return func() {
			applied, known := judge(e.Transaction, res)
			if done || !known {
				return
			}
			done = true
			p.step(control.WriteDone{Write: e, Applied: applied, Rows: res.Rows})
		}
	})
	p.w.after(callTimeout+p.w.between(backoff/2, backoff), func() {
		if !done && !p.dead {
			done = true
			p.run(func() { p.write(e, min(2*backoff, time.Second)) })
		}
	})
}

func (w *world) applied(e control.Write, res storage.Result) {
	if !res.Applied {
		return
	}
	switch e.Purpose {
	case control.PurposeTakeover:
		w.stats.Takeovers++
	case control.PurposeMove:
		w.stats.Moves += len(e.Move.Moves)
		if w.onMove != nil {
			w.onMove()
		}
	}
}

// judge tells what one answer says of a transaction, as storage.Settle does.
func judge(tx storage.Transaction, res storage.Result) (applied, known bool) {
	if res.Applied {
		return true, true
	}
	for _, w := range tx.Writes {
		for _, row := range res.Rows {
			if row.Key == w.Key && (w.Delete && row.Version == 0 || !w.Delete && bytes.Equal(w.Value, row.Value)) {
				return true, true
			}
		}
	}
	for _, c := range tx.Conditions {
		for _, row := range res.Rows {
			if row.Key == c.Key && (row.Version > c.Version || row.Version == 0 && c.Version != 0) {
				return false, true
			}
		}
	}
	return false, false
}

// prepare freezes the slots of a move and hands their memories over, one by one.
func (p *process) prepare(m control.Move) {
	p.prepareNext(m, m.Moves)
}

func (p *process) prepareNext(m control.Move, rest []handover.Move) {
	if len(rest) == 0 {
		p.post(control.MoveReady{Move: m})
		return
	}
	move := rest[0]
	p.frozen[move.Slot] = true
	p.w.after(p.w.between(0, 4*time.Millisecond), func() { p.run(func() { p.export(m, rest) }) })
}

func (p *process) export(m control.Move, rest []handover.Move) {
	move := rest[0]
	var copied memory
	if own := p.memories[move.Slot]; own != nil {
		copied = memory{since: own.since, ids: maps.Clone(own.ids)}
	} else {
		copied = memory{since: p.w.now, ids: make(map[string]bool)}
	}
	done := false
	fail := func() {
		if !done && !p.dead {
			done = true
			p.run(func() {
				p.thaw(m)
				p.step(control.MoveFailed{Move: m})
			})
		}
	}
	to := p.snapshot.Owner(move.To)
	if to == nil {
		fail()
		return
	}
	p.w.send(p, to.Peer, func(q *process) {
		key := stagedKey{slot: move.Slot, transfer: m.Transfer}
		if q.staged[key] == nil {
			q.staged[key] = &memory{since: copied.since, ids: maps.Clone(copied.ids)}
		}
		p.w.reply(q, p, func() {
			if !done {
				done = true
				p.prepareNext(m, rest[1:])
			}
		})
	})
	p.w.after(time.Second, fail)
}
