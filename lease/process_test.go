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

// process simulates one generation of a daemon that uses the types under test.
type process struct {
	w           *world
	index       int
	dead        bool
	pausedUntil time.Duration
	clockRate   float64 // speed of its clock relative to true time
	inbox       []func(p *process)

	self     wire.Member // the latest known version of this process's member row
	version  uint64
	holder   *lease.Holder
	witness  *lease.Witness
	attempts map[wire.Generation]*attempt
	options  []lease.Option

	members         map[wire.Generation]knownMember
	slot            wire.Slot
	slotVersion     uint64
	pendingVersion  uint64 // version of this process's member row on which a pending change is based
	releasedVersion uint64 // version of the slot row that is being moved away
	// slotReadAt is when the latest read that returned this slot row was sent.
	slotReadAt time.Time

	storeAnswered                time.Time // when the table last answered
	lastStep                     time.Time // end of the latest step
	nextTableRead, nextExchange  time.Time
	nextSelfWrite, nextSlotWrite time.Time
	started                      time.Time
	changeNumber                 int
	cachedValid, closedKnown     bool
}

// knownMember is a member row as known to a process.
type knownMember struct {
	row       wire.Member
	version   uint64
	learnedAt time.Time // when the process learned of this version
}

// attempt is a takeover of a holder at one version of its row.
type attempt struct {
	*lease.Takeover
	version uint64
	expires time.Time
	written bool
}

func newProcess(w *world, index int, g wire.Generation) *process {
	p := &process{
		w: w, index: index, clockRate: 1 - w.drift + 2*w.drift*w.rng.Float64(),
		self: wire.Member{
			Instance: fmt.Sprint(index), Generation: g,
			Region: "r", Domain: string("abcab"[index]),
			Peer: netip.AddrPortFrom(netip.IPv6Loopback(), uint16(index+1)),
		},
		members:  make(map[wire.Generation]knownMember),
		attempts: make(map[wire.Generation]*attempt),
		options:  []lease.Option{lease.WithFaults(w.lease), lease.WithMargin(w.margin)},
	}
	if w.script != nil {
		p.clockRate = 1 + w.drift
		if index == 0 {
			p.clockRate = 1 - w.drift
		}
	}
	p.holder = lease.NewHolder(g, p.options...)
	p.witness = lease.NewWitness(g, p.options...)
	p.started = p.now()
	return p
}

// now returns the current time of the process's own, drifting clock.
func (p *process) now() time.Time {
	return time.Unix(int64(1000*(p.index+1)), 0).Add(time.Duration(float64(p.w.now) * p.clockRate))
}

func (p *process) enqueue(receive func(p *process)) {
	if !p.dead {
		p.inbox = append(p.inbox, receive)
	}
}

// step runs one iteration of the control goroutine.
func (p *process) step() {
	if p.dead {
		return
	}
	if p.w.now < p.pausedUntil {
		p.w.schedule(p.pausedUntil-p.w.now, p.step)
		return
	}
	p.w.check() // it may serve requests before it reads its queue
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
	p.syncRows()
	if p.joined() {
		p.updateSelf()
		p.updateSlot()
	}
	p.sendHeartbeats()
	p.takeOver()
	p.lastStep = p.now()
	p.cachedValid = p.holder.Valid(p.lastStep)
	p.w.check()
	p.w.schedule(p.w.between(stepInterval/2, stepInterval), p.step)
}

// owns reports whether the process would dispatch a request to its target now.
func (p *process) owns() bool {
	if p.dead || p.closedKnown || p.releasedVersion == p.slotVersion {
		return false
	}
	valid := p.holder.Valid(p.now())
	if p.w.daemonFaults.cacheLeaseCheck {
		valid = p.cachedValid
	}
	owner, ok := p.resolveOwner()
	return valid && ok && owner == p.self.Generation
}

// resolveOwner follows the heirs of closed rows from the slot's recorded owner to the
// current owner. Zero is a free slot: all rows on the way are closed and final.
func (p *process) resolveOwner() (owner wire.Generation, ok bool) {
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
		case p.slotReadAt.Before(m.learnedAt) && !p.w.daemonFaults.useStaleSlot:
			// The generation may have moved the slot before it was closed.
			return 0, false
		case len(m.row.Heirs) == 0:
			return 0, true
		}
		g = m.row.Heirs[int(g)%len(m.row.Heirs)]
	}
	return 0, true // a cycle of closed rows
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
		if row.Version > p.slotVersion || p.w.daemonFaults.acceptOlderRows {
			var s wire.Slots
			_ = wire.Decode(row.Value, &s)
			p.slot, p.slotVersion = s.Slots[0], row.Version
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
	p.members[m.Generation] = knownMember{row: m, version: version, learnedAt: p.now()}
	if m.Generation != p.self.Generation {
		return
	}
	p.self, p.version = m, version
	p.holder.SetWitnesses(m.Witnesses)
	if m.State == wire.StateClosed {
		p.closedKnown = true
		p.holder.End()
		p.w.schedule(p.w.between(0, 300*time.Millisecond), func() {
			if !p.dead {
				p.w.start(p.index)
			}
		})
	}
}

// sortedMembers returns member rows in ascending order of their generations, so that a
// run is determined by its seed. It leaves out the slot row, which is only read from the
// table, so that stale slot rows have an effect.
func (w *world) sortedMembers(members map[wire.Generation]knownMember) []knownMember {
	rows := make([]knownMember, 0, len(members))
	for g := range w.lastGeneration {
		if m, ok := members[g+1]; ok {
			rows = append(rows, m)
		}
	}
	return rows
}

// syncRows periodically reads the table and sends member rows to a random peer.
func (p *process) syncRows() {
	now := p.now()
	if !now.Before(p.nextTableRead) && !p.w.readsLost[p.index] {
		p.nextTableRead = now.Add(150 * time.Millisecond)
		p.w.callStore(p, func() func(*process) {
			rows := p.w.list()
			return func(p *process) {
				p.learnAll(rows)
				if rows[len(rows)-1].Version == p.slotVersion && now.After(p.slotReadAt) {
					p.slotReadAt = now
				}
			}
		})
	}
	if !now.Before(p.nextExchange) && p.w.script == nil {
		p.nextExchange = now.Add(50 * time.Millisecond)
		members := p.w.sortedMembers(p.members)
		p.w.send(p.index, p.w.rng.IntN(daemons), func(p *process) {
			for _, m := range members {
				p.learnMember(m.row, m.version)
			}
		})
	}
}

func (p *process) write(tx storage.Transaction, applied *int) {
	p.w.callStore(p, func() func(*process) {
		res := p.w.transact(tx)
		if res.Applied {
			*applied++
		}
		return func(p *process) { p.learnAll(res.Rows) }
	})
}

func (p *process) nextChange() string {
	p.changeNumber++
	return fmt.Sprintf("%d-%d", p.self.Generation, p.changeNumber)
}

// joined writes the first version of this process's member row, and reports whether it
// exists and is open.
func (p *process) joined() bool {
	if p.closedKnown {
		return false
	}
	if p.version > 0 {
		return true
	}
	if !p.storeAnswered.IsZero() && !p.now().Before(p.nextSelfWrite) {
		p.writeSelf(p.firstWitnesses())
	}
	return false
}

func (p *process) firstWitnesses() []wire.Generation {
	if p.w.script != nil {
		return nil
	}
	return lease.Choose(p.self, p.openMembers(nil), nil)
}

// openMembers returns the rows of open members, without the excluded ones.
func (p *process) openMembers(except []wire.Generation) []wire.Member {
	var members []wire.Member
	for g := range p.w.lastGeneration {
		if m, ok := p.members[g+1]; ok && m.row.State != wire.StateClosed && !slices.Contains(except, g+1) {
			members = append(members, m.row)
		}
	}
	return members
}

func (p *process) writeSelf(witnesses []wire.Generation) {
	p.nextSelfWrite = p.now().Add(400 * time.Millisecond)
	row := p.self
	row.Witnesses = witnesses
	row.Change = p.nextChange()
	value, _ := wire.Encode(&row)
	key := routes.MemberKey(row.Generation)
	p.holder.BeginChange(witnesses)
	p.pendingVersion = p.version
	p.write(storage.Transaction{
		ID:         row.Change,
		Conditions: []storage.Condition{{Key: key, Version: p.version}},
		Writes:     []storage.Write{{Key: key, Value: value}},
	}, &p.w.stats.changes)
}

// updateSelf replaces closed and unresponsive witnesses, and sometimes random ones.
func (p *process) updateSelf() {
	now := p.now()
	if now.Before(p.nextSelfWrite) {
		return
	}
	if p.w.script != nil {
		if set := p.w.script.witnesses(p.index); len(p.openMembers(nil)) >= daemons && !slices.Equal(set, p.self.Witnesses) {
			p.writeSelf(set)
		}
		return
	}
	p.nextSelfWrite = now.Add(100 * time.Millisecond)
	openMembers := p.openMembers(p.holder.Unresponsive(now))
	chosen := lease.Choose(p.self, openMembers, p.self.Witnesses)
	gone := slices.ContainsFunc(p.self.Witnesses, func(g wire.Generation) bool {
		return !slices.ContainsFunc(openMembers, func(m wire.Member) bool { return m.Generation == g })
	})
	switch {
	case p.pendingVersion == p.version:
		// The last write may be lost; only a later version of the row confirms it.
		p.writeSelf(chosen)
	case gone && !slices.Equal(chosen, p.self.Witnesses), len(chosen) > len(p.self.Witnesses):
		p.writeSelf(chosen)
	case p.w.randomFaults && p.w.chance(0.06):
		p.w.rng.Shuffle(len(openMembers), func(i, j int) { openMembers[i], openMembers[j] = openMembers[j], openMembers[i] })
		var set []wire.Generation
		for _, m := range openMembers {
			if m.Generation != p.self.Generation && len(set) < lease.MaxWitnesses {
				set = append(set, m.Generation)
			}
		}
		p.writeSelf(set)
	}
}

// updateSlot claims a free key, replaces a closed owner in the slot row by its heir, and
// occasionally moves the key to another daemon.
func (p *process) updateSlot() {
	now := p.now()
	owner, ok := p.resolveOwner()
	if !ok || now.Before(p.nextSlotWrite) {
		return
	}
	mine := owner == p.self.Generation
	switch {
	case owner == 0 && p.holder.Valid(now) && (p.index == 0 || p.w.script == nil):
		p.writeSlot(p.self.Generation, true)
	case p.releasedVersion == p.slotVersion && p.slotVersion > 0:
		p.moveSlot()
	case mine && p.w.randomFaults && p.w.chance(0.01):
		p.moveSlot()
	case owner != 0 && owner != p.slot.Owner && p.w.script == nil && p.w.chance(0.05):
		p.writeSlot(owner, false)
	}
}

// moveSlot moves the key to a random daemon; the process stops serving it first.
func (p *process) moveSlot() {
	openMembers := p.openMembers(nil)
	p.moveSlotTo(openMembers[p.w.rng.IntN(len(openMembers))].Generation)
}

func (p *process) moveSlotTo(g wire.Generation) {
	p.releasedVersion = p.slotVersion
	p.writeSlot(g, !p.w.daemonFaults.unconditionalMoves)
}

func (p *process) writeSlot(owner wire.Generation, requireOpen bool) {
	p.nextSlotWrite = p.now().Add(200 * time.Millisecond)
	row := wire.Slots{Slots: []wire.Slot{{Owner: owner, Epoch: p.slot.Epoch + 1}}, Change: p.nextChange()}
	value, _ := wire.Encode(&row)
	tx := storage.Transaction{
		ID:         row.Change,
		Conditions: []storage.Condition{{Key: slotKey, Version: p.slotVersion}},
		Writes:     []storage.Write{{Key: slotKey, Value: value}},
	}
	if requireOpen {
		own := storage.Condition{Key: routes.MemberKey(p.self.Generation), Version: p.version}
		tx.Conditions = append(tx.Conditions, own)
	}
	p.write(tx, &p.w.stats.moves)
}

// sendHeartbeats sends the due heartbeats and updates the watched holders.
func (p *process) sendHeartbeats() {
	for _, hb := range p.holder.Beat(p.now()) {
		p.w.sendTo(p, hb.To, func(q *process) { q.handleHeartbeat(hb) })
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

// sendTo sends to the address of a generation; a later generation may use it by now.
func (w *world) sendTo(p *process, g wire.Generation, receive func(p *process)) {
	var to int
	if _, err := fmt.Sscan(p.members[g].row.Instance, &to); err == nil {
		w.send(p.index, to, receive)
	}
}

func (p *process) handleHeartbeat(hb wire.Heartbeat) {
	now := p.now()
	if p.w.daemonFaults.readClockEarly {
		now = p.lastStep
	}
	if hb.Answer {
		p.holder.Renew(now, hb)
		return
	}
	supported := p.holder.Supported(now)
	if p.w.daemonFaults.requireValidLease {
		supported = p.holder.Valid(now)
	}
	if answer, ok := p.witness.Answer(now, hb, supported); ok {
		if !supported {
			p.w.stats.marked++
		}
		p.w.sendTo(p, answer.To, func(q *process) { q.handleHeartbeat(answer) })
	}
}

// handleVote answers a vote request that was addressed to generation to.
func (p *process) handleVote(to wire.Generation, v wire.Vote) {
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

// takeOver starts and advances the takeovers of overdue and orphaned holders.
func (p *process) takeOver() {
	now := p.now()
	if p.version == 0 || p.closedKnown {
		return
	}
	for _, g := range p.witness.Overdue(now) {
		p.attempt(g)
	}
	for g := range p.w.lastGeneration {
		if m := p.members[g+1]; m.version > 0 && p.orphaned(m) {
			p.attempt(g + 1)
		}
	}
	for g := range p.w.lastGeneration {
		if a := p.attempts[g+1]; a != nil {
			p.driveAttempt(g+1, a)
		}
	}
	if !p.w.successorsClose || now.Sub(p.started) < 1500*time.Millisecond {
		return
	}
	for _, m := range p.openMembers([]wire.Generation{p.self.Generation}) {
		if m.Instance == p.self.Instance {
			p.closePredecessor(p.members[m.Generation])
		}
	}
}

// orphaned reports whether too few witnesses remain open to detect the loss of a holder
// whose row has not changed for a while.
func (p *process) orphaned(m knownMember) bool {
	if m.row.State == wire.StateClosed || p.now().Sub(m.learnedAt) < 1500*time.Millisecond {
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

func (p *process) driveAttempt(g wire.Generation, a *attempt) {
	now := p.now()
	m := p.members[g]
	if m.version != a.version && !p.w.lease.AnyVersion || m.row.State == wire.StateClosed || !now.Before(a.expires) {
		delete(p.attempts, g)
		return
	}
	for _, witness := range m.row.Witnesses {
		if closed := p.members[witness]; closed.row.State == wire.StateClosed {
			a.AddClosedWitness(closed.row, closed.learnedAt)
		}
	}
	for _, ballot := range a.VoteRequests(now, p.storeAnswered) {
		if ballot.To == p.self.Generation {
			a.AddVerdict(now, ballot.To, p.witness.Vote(now, ballot.Vote))
			continue
		}
		p.w.sendTo(p, ballot.To, func(q *process) { q.handleVote(ballot.To, ballot.Vote) })
	}
	if a.written || !a.Decided(now) {
		return
	}
	a.written = true
	a.expires = now.Add(400 * time.Millisecond)
	tx, err := a.Transaction(p.self, p.version, p.heirs(), p.nextChange(), "expired")
	if err == nil {
		p.write(tx, &p.w.stats.takeovers)
	}
}

func (p *process) closePredecessor(old knownMember) {
	g := old.row.Generation
	if a := p.attempts[g]; a != nil && a.written {
		return
	}
	a := &attempt{Takeover: lease.NewTakeover(old.row, old.version, p.now(), p.options...), version: old.version, written: true}
	a.expires = p.now().Add(400 * time.Millisecond)
	p.attempts[g] = a
	tx, err := a.SuccessorTransaction(p.self, p.version, p.heirs(), p.nextChange(), "succeeded")
	if err == nil {
		p.write(tx, &p.w.stats.takeovers)
	}
}

// heirs returns usually the process itself, sometimes with another, sometimes none.
func (p *process) heirs() []wire.Generation {
	openMembers := p.openMembers(nil)
	switch other := openMembers[p.w.rng.IntN(len(openMembers))].Generation; {
	case p.w.script != nil:
		return []wire.Generation{p.self.Generation}
	case p.w.chance(0.05):
		return nil
	case p.w.randomFaults && p.w.chance(0.2):
		return []wire.Generation{p.self.Generation, other}
	default:
		return []wire.Generation{p.self.Generation}
	}
}
