package owner_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fulmarrun/admission"
	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/outcome"
	"fulmarrun/platformstub"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	leaveSlots   = 2 * routes.SlotsPerRow
	leaveDaemons = 4
	leaveDrain   = 30 * time.Second
	leaveLimit   = 6 // concurrent requests of a target
	hop          = time.Millisecond
)

// leaveMutation selects rules of the daemon around the control core to break.
type leaveMutation struct {
	noWait        bool // hand over a unit while requests run in it
	noRecall      bool // do not recall queued requests from a unit that is handed over
	endsEarly     bool // end a daemon as soon as its row says that it is leaving
	noPause       bool // send more requests to a target that is leaving
	dropWitnesses bool // the last daemon drops its witnesses while requests run
}

// fleet is a set of daemons in one synctest bubble of virtual time.
type fleet struct {
	mutation leaveMutation
	ctx      context.Context
	stub     *platformstub.Stub
	wg       sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	members   []*member
	violation string
	requests  []*leaveRequest
}

// leaveRequest is one request and its result.
type leaveRequest struct {
	slot      uint32
	length    time.Duration
	began     int
	completed int
	// broken is true if a daemon crashed while it ran the request.
	broken bool
	// noWitness is true if a daemon whose witnesses have all left rejected the request.
	noWitness bool
	answer    wire.Outcome
	ended     bool
}

// member is a daemon around a control core, as in package daemon.
type member struct {
	f     *fleet
	self  wire.Member
	core  *control.Core
	inbox chan control.Message
	store *storage.Store
	units *handover.Units
	gate  *admission.Gate

	ctx      context.Context
	cancel   context.CancelFunc
	snapshot atomic.Pointer[routes.Snapshot]
	until    atomic.Pointer[time.Time]
	running  atomic.Int64
	// noWitness is true while no new request may start. inServe is the number of calls
	// of serve in progress; a request is counted before it checks noWitness.
	noWitness atomic.Bool
	inServe   atomic.Int64
	crashed   atomic.Bool
	// left is true once the leave is complete.
	left         bool
	paused       bool
	leaveAskedAt time.Time
	// lastBegan is when a request last started at this member.
	lastBegan time.Time
}

func (f *fleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.violation == "" {
		f.violation = fmt.Sprintf(format, args...)
	}
}

func (f *fleet) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func newFleet(ctx context.Context, seed uint64, mutation leaveMutation) *fleet {
	f := &fleet{
		mutation: mutation, ctx: ctx, random: rand.New(rand.NewPCG(seed, 3)),
		stub: platformstub.New(platformstub.WithSeed(seed), platformstub.WithClock(time.Now), platformstub.WithFaults(platformstub.Faults{Latency: 2 * hop})),
	}
	for i := range leaveDaemons {
		f.members = append(f.members, newMember(f, i))
	}
	for _, m := range f.members {
		f.wg.Go(m.run)
	}
	return f
}

func newMember(f *fleet, i int) *member {
	m := &member{
		f: f, store: f.stub.Store(), units: handover.NewUnits(), inbox: make(chan control.Message, 4096),
		gate: admission.NewGate(admission.WithFixedLimit(leaveLimit)),
		self: wire.Member{
			Instance: fmt.Sprint("agenda-", i), Generation: wire.Generation(i + 1), Service: "agenda", Region: "valle-central",
			Domain: string(rune('a' + i%3)), Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		},
	}
	names := 0
	m.core = control.NewCore(m.self, control.WithSeed(uint64(i)), control.WithIDs(func() string {
		names++
		return fmt.Sprintf("%d-%d", i, names)
	}))
	m.ctx, m.cancel = context.WithCancel(f.ctx)
	m.publish()
	return m
}

// run is the control goroutine.
func (m *member) run() {
	defer m.cancel()
	m.spawn(func() {
		m.load(func(r []wire.Row) control.Message { return control.RowsLoaded{Rows: r, Wall: time.Now()} })
	})
	m.post(control.ConfigLoaded{Number: wire.ConfigNumber{File: 1}, Services: []control.ServiceLayout{{Name: "agenda", Slots: leaveSlots}}})
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for !m.left {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
			m.step(control.Tick{StoreAnswered: m.store.LastAnswer(), Wall: time.Now()})
		case message := <-m.inbox:
			m.step(message)
		}
	}
	if n := m.running.Load(); n > 0 {
		m.f.fail("%s left while %d requests were running", m.self.Instance, n)
	}
	var took time.Duration
	m.withLock(func() { took = time.Since(m.leaveAskedAt) })
	if took > leaveDrain {
		m.f.fail("%s took %v to leave", m.self.Instance, took)
	}
}

func (m *member) spawn(do func()) { m.f.wg.Go(do) }

func (m *member) post(message control.Message) {
	select {
	case m.inbox <- message:
	case <-m.ctx.Done():
	}
}

func (m *member) step(message control.Message) {
	effects := slices.Clone(m.core.Step(time.Now(), message))
	for _, e := range effects {
		m.execute(e)
	}
	m.publish()
	for _, e := range effects {
		switch e := e.(type) {
		case control.FinishMove:
			m.unfreeze(e.Move)
		case control.DrainKeyed:
			m.spawn(func() { m.drainKeyed(e) })
		}
	}
	m.left = m.left || m.f.mutation.endsEarly && m.core.Self().State == wire.StateLeaving
}

func (m *member) publish() {
	until := m.core.LeaseUntil()
	m.until.Store(&until)
	m.noWitness.Store(m.core.NoWitness())
	next := m.core.Snapshot()
	if old := m.snapshot.Swap(next); old != nil && old != next {
		old.Retire()
	}
}

func (m *member) leased() bool { return m.ctx.Err() == nil && time.Now().Before(*m.until.Load()) }

// callPeer runs do with the member at an address after one network hop. It returns
// false if no running member has the address.
func (m *member) callPeer(to netip.AddrPort, do func(*member)) bool {
	time.Sleep(hop)
	for _, p := range m.f.members {
		if p.self.Peer == to && p.ctx.Err() == nil {
			do(p)
			return true
		}
	}
	return false
}

func (m *member) sendRows(to netip.AddrPort, update wire.Rows) {
	m.callPeer(to, func(p *member) {
		p.post(control.RowsArrived{From: update.From, Rows: update.Rows, Deltas: update.Deltas, Reply: func(wanted wire.ResendRequest) {
			if len(wanted.Have) == 0 {
				return
			}
			m.spawn(func() {
				m.post(control.RowsRequested{ResendRequest: wanted, Reply: func(rows wire.Rows) {
					m.spawn(func() { m.sendRows(to, rows) })
				}})
			})
		}})
	})
}

func (m *member) execute(e control.Effect) {
	switch e := e.(type) {
	case control.SendHeartbeat:
		m.spawn(func() { m.callPeer(e.To, func(p *member) { p.post(control.Heartbeat{Heartbeat: e.Heartbeat}) }) })
	case control.RequestVote:
		m.spawn(func() {
			m.callPeer(e.To, func(p *member) {
				p.post(control.VoteRequested{Vote: e.Vote, Reply: func(v wire.Verdict) {
					m.spawn(func() { m.post(control.VerdictArrived{Witness: e.Witness, Verdict: v}) })
				}})
			})
		})
	case control.Write:
		m.spawn(func() { m.write(e) })
	case control.SendRows:
		for _, to := range e.To {
			m.spawn(func() { m.sendRows(to, e.Update) })
		}
	case control.Move:
		m.spawn(func() { m.prepare(e) })
	case control.Probe:
		m.spawn(func() {
			_, _ = m.store.Get(m.ctx, "config/current")
			m.post(control.Tick{StoreAnswered: m.store.LastAnswer(), Wall: time.Now()})
		})
	case control.Reload:
		m.spawn(func() { m.load(func(r []wire.Row) control.Message { return control.RowsArrived{Rows: r} }) })
	case control.Drain:
		m.spawn(m.drain)
	case control.Closed:
		m.f.fail("%s was closed: %s", m.self.Instance, e.Reason)
	case control.LeaveCompleted:
		m.left = true
	}
}

func (m *member) write(w control.Write) {
	out := storage.Settle(m.ctx, m.store, w.Transaction, func(row storage.Row) bool {
		return slices.ContainsFunc(w.Transaction.Writes, func(w storage.Write) bool {
			return w.Key == row.Key && (w.Delete && row.Version == 0 || !w.Delete && bytes.Equal(w.Value, row.Value))
		})
	})
	if out.Verdict != storage.Unknown {
		m.post(control.WriteDone{Write: w, Applied: out.Verdict == storage.Applied, Rows: out.Rows})
	}
}

func (m *member) load(message func([]wire.Row) control.Message) {
	var rows []wire.Row
	for _, prefix := range []string{routes.MemberPrefix, routes.SlotsPrefix} {
		_ = storage.Retry(m.ctx, func() error {
			page, err := m.store.List(m.ctx, prefix, "", 100)
			for _, r := range page {
				rows = append(rows, wire.Row{Key: r.Key, Version: r.Version, Value: r.Value})
			}
			return err
		})
	}
	m.post(message(rows))
}

// prepare freezes the slots of a move. This test does not transfer their records.
func (m *member) prepare(move control.Move) {
	ctx, cancel := context.WithTimeout(m.ctx, move.DrainTimeout)
	defer cancel()
	for _, one := range move.Moves {
		if m.f.mutation.noWait {
			cancel()
		}
		err := m.units.Freeze(ctx, outcome.Unit{Service: "agenda", Slot: one.Slot})
		to := m.snapshot.Load().Owner(one.To)
		if err != nil && !m.f.mutation.noWait || to == nil || !m.callPeer(to.Peer, func(*member) {}) {
			m.unfreeze(move)
			m.post(control.MoveFailed{Move: move})
			return
		}
	}
	m.post(control.MoveReady{Move: move})
}

func (m *member) unfreeze(move control.Move) {
	for _, one := range move.Moves {
		m.units.Unfreeze(outcome.Unit{Service: "agenda", Slot: one.Slot})
	}
}

func (m *member) drain() {
	m.gate.Close()
	for m.gate.Stats().InFlight > 0 {
		if storage.Sleep(m.ctx, 5*time.Millisecond) != nil {
			return
		}
	}
	m.post(control.Drained{})
}

func (m *member) drainKeyed(e control.DrainKeyed) {
	for m.inServe.Load() > 0 && !m.f.mutation.dropWitnesses {
		if storage.Sleep(m.ctx, 5*time.Millisecond) != nil {
			return
		}
	}
	m.post(control.KeyedDrained(e))
}

// leave starts a planned leave, requested by the target or by the operator.
func (m *member) leave(target bool) {
	m.withLock(func() { m.leaveAskedAt, m.paused = time.Now(), target })
	if target && !m.f.mutation.noPause {
		m.gate.Pause()
	}
	m.post(control.LeaveRequested{Reason: "planned"})
}

// crash stops a member without notice to the others.
func (m *member) crash() {
	m.crashed.Store(true)
	m.cancel()
}

// serve runs a request in a slot that the member owns; moved is true if the request
// must be routed again.
func (m *member) serve(ctx context.Context, r *leaveRequest) (answer wire.Outcome, moved bool) {
	unit := outcome.Unit{Service: "agenda", Slot: r.slot}
	m.inServe.Add(1)
	defer m.inServe.Add(-1)
	for {
		if m.holds(r.slot) && m.noWitness.Load() {
			m.withLock(func() { r.noWitness = true })
			return wire.OutcomeNotRun, false
		}
		if !m.owns(r.slot) {
			return wire.OutcomeNotRun, true
		}
		wait := m.units.Enter(unit)
		if wait == nil {
			break
		}
		select {
		case <-wait:
		case <-m.ctx.Done():
			return wire.OutcomeNotRun, true
		case <-ctx.Done():
			return wire.OutcomeNotRun, false
		}
	}
	defer m.units.Leave(unit)
	if !m.owns(r.slot) {
		return wire.OutcomeNotRun, true
	}
	queue, cancel := context.WithCancel(ctx)
	defer cancel()
	if !m.f.mutation.noRecall {
		defer m.units.OnFreeze(unit, cancel)()
	}
	deadline, _ := ctx.Deadline()
	permit, err := m.gate.Enter(queue, admission.Ticket{Deadline: deadline})
	if err != nil {
		return wire.OutcomeNotRun, queue.Err() != nil && ctx.Err() == nil
	}
	answer = m.work(r)
	permit.Done(admission.Completion{Latency: r.length, Result: admission.OK})
	return answer, false
}

func (m *member) owns(slot uint32) bool { return m.leased() && m.holds(slot) }

// holds reports whether a slot is assigned to the member, with or without a lease.
func (m *member) holds(slot uint32) bool {
	for h := range m.snapshot.Load().Assignments("agenda") {
		if h.Slot == slot && h.Key == "" {
			return h.Owner != nil && h.Owner.Generation == m.self.Generation
		}
	}
	return false
}

// work simulates the target. The request is cut off if the daemon stops.
func (m *member) work(r *leaveRequest) wire.Outcome {
	late := false
	m.withLock(func() {
		r.began++
		m.lastBegan = time.Now()
		// A request that was admitted at the same instant as the pause is allowed.
		late = m.paused && m.lastBegan.After(m.leaveAskedAt)
	})
	if late {
		m.f.fail("a request started at the target of %s, which is leaving", m.self.Instance)
	}
	if !m.owns(r.slot) {
		m.f.fail("a request started in slot %d at %s, which does not own the slot", r.slot, m.self.Instance)
	}
	m.running.Add(1)
	defer m.running.Add(-1)
	end := time.Now().Add(r.length)
	for time.Now().Before(end) {
		select {
		case <-time.After(min(10*time.Millisecond, time.Until(end))):
		case <-m.ctx.Done():
		}
		switch {
		case m.crashed.Load() || m.f.ctx.Err() != nil:
			m.withLock(func() { r.broken = true })
			return wire.OutcomeUnknown
		case !m.owns(r.slot):
			m.f.fail("a request was cut off in slot %d at %s", r.slot, m.self.Instance)
			return wire.OutcomeUnknown
		}
	}
	m.withLock(func() { r.completed++ })
	return wire.OutcomeAnswered
}

// withLock runs change while it holds the lock of the oracle's state.
func (m *member) withLock(change func()) {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	change()
}

// route sends a request to the current owner of its slot until it is not moved.
func (f *fleet) route(r *leaveRequest, wait time.Duration) {
	ctx, cancel := context.WithTimeout(f.ctx, wait)
	defer cancel()
	answer, moved := wire.OutcomeNotRun, true
	for moved && ctx.Err() == nil {
		if m := f.ownerOf(r.slot); m != nil {
			answer, moved = m.serve(ctx, r)
		}
		if moved {
			_ = storage.Sleep(ctx, 10*hop)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.answer, r.ended = answer, true
}

// ownerOf returns the owner of a slot according to a randomly chosen daemon.
func (f *fleet) ownerOf(slot uint32) *member {
	from := f.members[f.intn(len(f.members))]
	if from.ctx.Err() != nil {
		return nil
	}
	for h := range from.snapshot.Load().Assignments("agenda") {
		if h.Slot == slot && h.Owner != nil {
			return f.members[h.Owner.Generation-1]
		}
	}
	return nil
}
