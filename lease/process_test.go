package lease_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"fulmarrun/lease"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// process is one generation of a daemon around the decisions under test.
type process struct {
	w           *world
	index       int
	dead        bool
	pausedUntil time.Duration
	rate        float64 // of the clock
	inbox       []func(p *process)

	self     wire.Member // the own row as last known
	version  uint64
	holder   *lease.Holder
	witness  *lease.Witness
	attempts map[wire.Generation]*attempt
	options  []lease.Option

	members map[wire.Generation]known
	slot    wire.Slot
	slotAt  uint64
	begunAt uint64 // version of the own row that a change is based on
	givenAt uint64 // version of the slot row that is being given away
	// slotAsked is when the read was sent that last gave this slot row.
	slotAsked time.Time

	answered                 time.Time // by the table
	stepped                  time.Time // end of the latest step
	nextRead, nextRows       time.Time
	nextSelf, nextSlot       time.Time
	born                     time.Time
	serial                   int
	cachedValid, closedKnown bool
}

// known is a member row with what a process knows about it.
type known struct {
	row     wire.Member
	version uint64
	at      time.Time // when this version was learned
}

// attempt is a takeover with the version that it is about.
type attempt struct {
	*lease.Takeover
	version uint64
	expires time.Time
	written bool
}

func newProcess(w *world, index int, g wire.Generation) *process {
	p := &process{
		w: w, index: index, rate: 1 - w.drift + 2*w.drift*w.rng.Float64(),
		self: wire.Member{
			Instance: fmt.Sprint(index), Generation: g,
			Region: "r", Domain: string("abcab"[index]),
			Peer: netip.AddrPortFrom(netip.IPv6Loopback(), uint16(index+1)),
		},
		members:  make(map[wire.Generation]known),
		attempts: make(map[wire.Generation]*attempt),
		options:  []lease.Option{lease.WithFaults(w.lease), lease.WithMargin(w.margin)},
	}
	if w.script != nil {
		p.rate = 1 + w.drift
		if index == 0 {
			p.rate = 1 - w.drift
		}
	}
	p.holder = lease.NewHolder(g, p.options...)
	p.witness = lease.NewWitness(g, p.options...)
	p.born = p.now()
	return p
}

// now is the true time on the process's own clock.
func (p *process) now() time.Time {
	return time.Unix(int64(1000*(p.index+1)), 0).Add(time.Duration(float64(p.w.now) * p.rate))
}

func (p *process) post(receive func(p *process)) {
	if !p.dead {
		p.inbox = append(p.inbox, receive)
	}
}

// step is one turn of the control goroutine.
func (p *process) step() {
	if p.dead {
		return
	}
	if p.w.now < p.pausedUntil {
		p.w.after(p.pausedUntil-p.w.now, p.step)
		return
	}
	p.w.check() // it serves before it looks at its queue
	p.w.stats.steps++
	for len(p.inbox) > 0 && !p.dead {
		receive := p.inbox[0]
		p.inbox = p.inbox[1:]
		receive(p)
		p.w.check()
	}
	if p.dead {
		return
	}
	p.keepRows()
	if p.joins() {
		p.keepSelf()
		p.keepSlot()
	}
	p.beat()
	p.takeOver()
	p.stepped = p.now()
	p.cachedValid = p.holder.Valid(p.stepped)
	p.w.check()
	p.w.after(p.w.between(stepTime/2, stepTime), p.step)
}

// owns reports whether the process would hand a request to its target now.
func (p *process) owns() bool {
	if p.dead || p.closedKnown || p.givenAt == p.slotAt {
		return false
	}
	valid := p.holder.Valid(p.now())
	if p.w.mistakes.cachedCheck {
		valid = p.cachedValid
	}
	owner, ok := p.chain()
	return valid && ok && owner == p.self.Generation
}

// chain follows the slot's owner through closed rows. Zero is a free slot: all
// rows that lead there are closed and final.
func (p *process) chain() (owner wire.Generation, ok bool) {
	g := p.slot.Owner
	for range len(p.members) + 1 {
		if g == 0 {
			return 0, true
		}
		m, found := p.members[g]
		switch {
		case !found:
			return 0, false
		case m.row.State != wire.StateClosed:
			return g, true
		case p.slotAsked.Before(m.at) && !p.w.mistakes.staleSlot:
			// The generation may have moved the slot before it was closed.
			return 0, false
		case len(m.row.Heirs) == 0:
			return 0, true
		}
		g = m.row.Heirs[int(g)%len(m.row.Heirs)]
	}
	return 0, true // a circle of closed rows
}

func (p *process) learnAll(rows []storage.Row) {
	for _, row := range rows {
		p.learn(row)
	}
}

func (p *process) learn(row storage.Row) {
	if row.Version == 0 {
		return
	}
	if row.Key == slotKey {
		if row.Version > p.slotAt || p.w.mistakes.olderRows {
			var s wire.Slots
			_ = wire.Decode(row.Value, &s)
			p.slot, p.slotAt = s.Slots[0], row.Version
		}
		return
	}
	var m wire.Member
	_ = wire.Decode(row.Value, &m)
	p.learnMember(m, row.Version)
}

func (p *process) learnMember(m wire.Member, version uint64) {
	if version <= p.members[m.Generation].version {
		return
	}
	p.members[m.Generation] = known{row: m, version: version, at: p.now()}
	if m.Generation != p.self.Generation {
		return
	}
	p.self, p.version = m, version
	p.holder.SetWitnesses(m.Witnesses)
	if m.State == wire.StateClosed {
		p.closedKnown = true
		p.holder.End()
		p.w.after(p.w.between(0, 300*time.Millisecond), func() {
			if !p.dead {
				p.w.start(p.index)
			}
		})
	}
}

// ordered returns member rows in the order of their generations, so that a run
// depends on its seed alone. The slot row is read from the table only, so that
// stale ones matter.
func (w *world) ordered(members map[wire.Generation]known) []known {
	rows := make([]known, 0, len(members))
	for g := range w.number {
		if m, ok := members[g+1]; ok {
			rows = append(rows, m)
		}
	}
	return rows
}

// keepRows reads the table and exchanges rows with a peer from time to time.
func (p *process) keepRows() {
	now := p.now()
	if !now.Before(p.nextRead) && !p.w.noRead[p.index] {
		p.nextRead = now.Add(150 * time.Millisecond)
		p.w.call(p, func() func(*process) {
			rows := p.w.list()
			return func(p *process) {
				p.learnAll(rows)
				if rows[len(rows)-1].Version == p.slotAt && now.After(p.slotAsked) {
					p.slotAsked = now
				}
			}
		})
	}
	if !now.Before(p.nextRows) && p.w.script == nil {
		p.nextRows = now.Add(50 * time.Millisecond)
		members := p.w.ordered(p.members)
		p.w.send(p.index, p.w.rng.IntN(daemons), func(p *process) {
			for _, m := range members {
				p.learnMember(m.row, m.version)
			}
		})
	}
}

func (p *process) write(tx storage.Transaction, applied *int) {
	p.w.call(p, func() func(*process) {
		res := p.w.transact(tx)
		if res.Applied {
			*applied++
		}
		return func(p *process) { p.learnAll(res.Rows) }
	})
}

func (p *process) change() string {
	p.serial++
	return fmt.Sprintf("%d-%d", p.self.Generation, p.serial)
}

// joins writes the first version of the own row, and reports whether it is
// there and open.
func (p *process) joins() bool {
	if p.closedKnown {
		return false
	}
	if p.version > 0 {
		return true
	}
	if !p.answered.IsZero() && !p.now().Before(p.nextSelf) {
		p.writeSelf(p.firstWitnesses())
	}
	return false
}

func (p *process) firstWitnesses() []wire.Generation {
	if p.w.script != nil {
		return nil
	}
	return lease.Choose(p.self, p.open(nil), nil)
}

// open returns the open members, without the excluded ones.
func (p *process) open(except []wire.Generation) []wire.Member {
	var members []wire.Member
	for g := range p.w.number {
		if m, ok := p.members[g+1]; ok && m.row.State != wire.StateClosed && !slices.Contains(except, g+1) {
			members = append(members, m.row)
		}
	}
	return members
}

func (p *process) writeSelf(witnesses []wire.Generation) {
	p.nextSelf = p.now().Add(400 * time.Millisecond)
	row := p.self
	row.Witnesses = witnesses
	row.Change = p.change()
	value, _ := wire.Encode(&row)
	key := routes.MemberKey(row.Generation)
	p.holder.BeginChange(witnesses)
	p.begunAt = p.version
	p.write(storage.Transaction{
		ID:         row.Change,
		Conditions: []storage.Condition{{Key: key, Version: p.version}},
		Writes:     []storage.Write{{Key: key, Value: value}},
	}, &p.w.stats.changes)
}

// keepSelf replaces witnesses that are closed or silent, or some at random.
func (p *process) keepSelf() {
	now := p.now()
	if now.Before(p.nextSelf) {
		return
	}
	if p.w.script != nil {
		if set := p.w.script.witnesses(p.index); len(p.open(nil)) >= daemons && !slices.Equal(set, p.self.Witnesses) {
			p.writeSelf(set)
		}
		return
	}
	p.nextSelf = now.Add(100 * time.Millisecond)
	open := p.open(p.holder.Unresponsive(now))
	chosen := lease.Choose(p.self, open, p.self.Witnesses)
	gone := slices.ContainsFunc(p.self.Witnesses, func(g wire.Generation) bool {
		return !slices.ContainsFunc(open, func(m wire.Member) bool { return m.Generation == g })
	})
	switch {
	case p.begunAt == p.version:
		// The last write may be lost; only a later version settles it.
		p.writeSelf(chosen)
	case gone && !slices.Equal(chosen, p.self.Witnesses), len(chosen) > len(p.self.Witnesses):
		p.writeSelf(chosen)
	case p.w.chaos && p.w.chance(0.06):
		p.w.rng.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
		var set []wire.Generation
		for _, m := range open {
			if m.Generation != p.self.Generation && len(set) < lease.MaxWitnesses {
				set = append(set, m.Generation)
			}
		}
		p.writeSelf(set)
	}
}

// keepSlot claims a free key, folds closed rows into the slot row, and gives
// the key away now and then.
func (p *process) keepSlot() {
	now := p.now()
	owner, ok := p.chain()
	if !ok || now.Before(p.nextSlot) {
		return
	}
	mine := owner == p.self.Generation
	switch {
	case owner == 0 && p.holder.Valid(now) && (p.index == 0 || p.w.script == nil):
		p.writeSlot(p.self.Generation, true)
	case p.givenAt == p.slotAt && p.slotAt > 0:
		p.give()
	case mine && p.w.chaos && p.w.chance(0.01):
		p.give()
	case owner != 0 && owner != p.slot.Owner && p.w.script == nil && p.w.chance(0.05):
		p.writeSlot(owner, false)
	}
}

// give moves the key to another daemon; the process stops serving first.
func (p *process) give() {
	open := p.open(nil)
	p.giveTo(open[p.w.rng.IntN(len(open))].Generation)
}

func (p *process) giveTo(g wire.Generation) {
	p.givenAt = p.slotAt
	p.writeSlot(g, !p.w.mistakes.freeMoves)
}

func (p *process) writeSlot(owner wire.Generation, openSelf bool) {
	p.nextSlot = p.now().Add(200 * time.Millisecond)
	row := wire.Slots{Slots: []wire.Slot{{Owner: owner, Epoch: p.slot.Epoch + 1}}, Change: p.change()}
	value, _ := wire.Encode(&row)
	tx := storage.Transaction{
		ID:         row.Change,
		Conditions: []storage.Condition{{Key: slotKey, Version: p.slotAt}},
		Writes:     []storage.Write{{Key: slotKey, Value: value}},
	}
	if openSelf {
		own := storage.Condition{Key: routes.MemberKey(p.self.Generation), Version: p.version}
		tx.Conditions = append(tx.Conditions, own)
	}
	p.write(tx, &p.w.stats.moves)
}

// beat sends the heartbeats and keeps the witness side up to date.
func (p *process) beat() {
	for _, hb := range p.holder.Beat(p.now()) {
		p.w.sendTo(p, hb.To, func(q *process) { q.heartbeat(hb) })
	}
	for g, m := range p.members {
		if m.row.State != wire.StateClosed && slices.Contains(m.row.Witnesses, p.self.Generation) {
			p.witness.Watch(g, p.now())
		} else {
			p.witness.Unwatch(g)
		}
	}
	p.witness.Tick(p.now())
}

// sendTo sends to the address of a generation, where another may live by now.
func (w *world) sendTo(p *process, g wire.Generation, receive func(p *process)) {
	var to int
	if _, err := fmt.Sscan(p.members[g].row.Instance, &to); err == nil {
		w.send(p.index, to, receive)
	}
}

func (p *process) heartbeat(hb wire.Heartbeat) {
	now := p.now()
	if p.w.mistakes.earlyNow {
		now = p.stepped
	}
	if hb.Answer {
		p.holder.Renew(now, hb)
		return
	}
	supported := p.holder.Supported(now)
	if p.w.mistakes.validOnly {
		supported = p.holder.Valid(now)
	}
	if answer, ok := p.witness.Answer(now, hb, supported); ok {
		if !supported {
			p.w.stats.marked++
		}
		p.w.sendTo(p, answer.To, func(q *process) { q.heartbeat(answer) })
	}
}

// vote answers a request for a vote that was meant for generation to.
func (p *process) vote(to wire.Generation, v wire.Vote) {
	if to != p.self.Generation {
		return
	}
	verdict := p.witness.Vote(p.now(), v)
	p.w.sendTo(p, v.From, func(q *process) {
		if a := q.attempts[verdict.Holder]; a != nil && q.self.Generation == v.From {
			a.AddVerdict(q.now(), to, verdict)
		}
	})
}

// takeOver starts and drives the takeovers of overdue and orphaned holders.
func (p *process) takeOver() {
	now := p.now()
	if p.version == 0 || p.closedKnown {
		return
	}
	for _, g := range p.witness.Overdue(now) {
		p.attempt(g)
	}
	for g := range p.w.number {
		if m := p.members[g+1]; m.version > 0 && p.orphaned(m) {
			p.attempt(g + 1)
		}
	}
	for g := range p.w.number {
		if a := p.attempts[g+1]; a != nil {
			p.drive(g+1, a)
		}
	}
	if !p.w.succession || now.Sub(p.born) < 1500*time.Millisecond {
		return
	}
	for _, m := range p.open([]wire.Generation{p.self.Generation}) {
		if m.Instance == p.self.Instance {
			p.succeed(p.members[m.Generation])
		}
	}
}

// orphaned reports whether too few witnesses are left to notice the loss of a
// holder that has had no new row for a while.
func (p *process) orphaned(m known) bool {
	if m.row.State == wire.StateClosed || p.now().Sub(m.at) < 1500*time.Millisecond {
		return false
	}
	open := 0
	for _, g := range m.row.Witnesses {
		if p.members[g].row.State != wire.StateClosed {
			open++
		}
	}
	_, votes := lease.Quorum(len(m.row.Witnesses))
	return open < max(votes, 1)
}

func (p *process) attempt(g wire.Generation) {
	m := p.members[g]
	if g == p.self.Generation || m.row.State == wire.StateClosed {
		return
	}
	if a := p.attempts[g]; a != nil && a.version == m.version && p.now().Before(a.expires) {
		return
	}
	options := append(slices.Clone(p.options), lease.WithRequester(p.self.Generation))
	p.attempts[g] = &attempt{
		Takeover: lease.NewTakeover(m.row, m.version, p.now(), options...),
		version:  m.version, expires: p.now().Add(1500 * time.Millisecond),
	}
}

func (p *process) drive(g wire.Generation, a *attempt) {
	now := p.now()
	m := p.members[g]
	if m.version != a.version && !p.w.lease.AnyVersion || m.row.State == wire.StateClosed || !now.Before(a.expires) {
		delete(p.attempts, g)
		return
	}
	for _, witness := range m.row.Witnesses {
		if closed := p.members[witness]; closed.row.State == wire.StateClosed {
			a.AddClosedWitness(closed.row, closed.at)
		}
	}
	for _, ballot := range a.VoteRequests(now, p.answered) {
		if ballot.To == p.self.Generation {
			a.AddVerdict(now, ballot.To, p.witness.Vote(now, ballot.Vote))
			continue
		}
		p.w.sendTo(p, ballot.To, func(q *process) { q.vote(ballot.To, ballot.Vote) })
	}
	if a.written || !a.Decided(now) {
		return
	}
	a.written = true
	a.expires = now.Add(400 * time.Millisecond)
	tx, err := a.Transaction(p.self, p.version, p.heirs(), p.change(), "expired")
	if err == nil {
		p.write(tx, &p.w.stats.takeovers)
	}
}

func (p *process) succeed(old known) {
	g := old.row.Generation
	if a := p.attempts[g]; a != nil && a.written {
		return
	}
	a := &attempt{Takeover: lease.NewTakeover(old.row, old.version, p.now(), p.options...), version: old.version, written: true}
	a.expires = p.now().Add(400 * time.Millisecond)
	p.attempts[g] = a
	tx, err := a.SuccessorTransaction(p.self, p.version, p.heirs(), p.change(), "succeeded")
	if err == nil {
		p.write(tx, &p.w.stats.takeovers)
	}
}

// heirs returns the process itself, sometimes with another, sometimes nobody.
func (p *process) heirs() []wire.Generation {
	open := p.open(nil)
	switch other := open[p.w.rng.IntN(len(open))].Generation; {
	case p.w.script != nil:
		return []wire.Generation{p.self.Generation}
	case p.w.chance(0.05):
		return nil
	case p.w.chaos && p.w.chance(0.2):
		return []wire.Generation{p.self.Generation, other}
	default:
		return []wire.Generation{p.self.Generation}
	}
}
