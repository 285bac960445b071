package lease_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarrun/lease"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	daemons            = 5
	faultPhase         = 8 * time.Second       // how long a run has faults
	recoveryPhase      = 6 * time.Second       // how long it continues without faults
	shortRecoveryPhase = time.Second           // the same in runs that search for a violation
	inFlightTime       = 30 * time.Millisecond // how long messages to the table may remain in transit
	maxRecovery        = 2 * time.Second       // after which the key must have an owner again
	stepInterval       = 20 * time.Millisecond
	slotKey            = "slots/x"
)

// daemonFaults are deliberate violations of the rules that a daemon must follow around
// the lease, as lease.Faults are of those of package lease.
type daemonFaults struct {
	acceptOlderRows    bool // accept a row older than the known one
	readClockEarly     bool // use a time that was read before the heartbeat was received
	cacheLeaseCheck    bool // don't check the lease again before dispatch
	unconditionalMoves bool // don't make a move conditional on the mover's member row
	noMargin           bool
	requireValidLease  bool // mark answers unless the witness has a valid lease itself
	useStaleSlot       bool // heirs don't read the slot row again after the closing
}

// world simulates one run: five daemons, a network, a table and one key, with faults
// determined by a seed.
type world struct {
	rng            *rand.Rand
	now            time.Duration
	queue          []event // latest first
	rows           map[string]storage.Row
	lastVersion    uint64
	procs          [daemons]*process
	lastGeneration wire.Generation

	lease        lease.Faults
	daemonFaults daemonFaults
	// The fault probabilities of this run.
	lossRate, storeLossRate float64
	randomFaults            bool                   // random faults are active
	storeDown               bool                   // the table does not answer
	cut                     [daemons][daemons]bool // messages from the first to the second daemon are lost
	storeCutOff             [daemons]bool          // the daemon cannot reach the table
	drift                   float64
	margin                  time.Duration
	successorsClose         bool // restarted daemons close their predecessors

	script     *script       // nil for random faults
	storeDelay time.Duration // additional delay of messages to the table
	readsLost  [daemons]bool // the daemon's reads of the table are lost

	violation string
	ownedAt   time.Duration // first time after the fault phase at which the key has an owner
	stats     stats
}

// stats counts events over one or more runs.
type stats struct {
	runs, steps, takeovers, marked, changes, moves, crashes, pauses, outages int
	unrecoverable, stuck                                                     int
	slowest                                                                  time.Duration
}

type event struct {
	at time.Duration
	do func()
}

// newWorld returns a run whose faults are determined by the seed. With a script, the
// faults are those of the script, at times determined by the seed.
func newWorld(seed int64, faults lease.Faults, injected daemonFaults, s *script) *world {
	w := &world{
		rng:  rand.New(rand.NewPCG(uint64(seed), 1)),
		rows: make(map[string]storage.Row), lease: faults, daemonFaults: injected, randomFaults: s == nil, script: s,
	}
	w.lossRate = []float64{0, 0.02, 0.1, 0.3}[w.rng.IntN(4)]
	w.storeLossRate = []float64{0, 0.05, 0.3}[w.rng.IntN(3)]
	w.successorsClose = w.chance(0.5)
	w.drift, w.margin = 0.02, lease.DefaultMargin
	if w.chance(0.5) {
		w.drift, w.margin = 0.06, 3*lease.DefaultMargin
	}
	if s != nil {
		w.drift, w.margin = 0.1, 4*lease.DefaultMargin
	}
	if injected.noMargin {
		w.margin = 0
	}
	for i := range w.procs {
		w.start(i)
	}
	return w
}

// run simulates the fault phase and then a recovery phase without faults, and returns
// the first violation that the oracle detected.
func (w *world) run(recoveryPhase time.Duration) string {
	if w.script != nil {
		w.schedule(w.between(2500*time.Millisecond, 3500*time.Millisecond), func() { w.script.faults(w) })
		w.runUntil(faultPhase)
		return w.violation
	}
	for _, fault := range []func(){w.pauses, w.crashes, w.outages, w.partitions, w.linkFailures, w.storeCutOffs} {
		if w.chance(0.5) {
			w.schedule(w.between(0, 2*time.Second), fault)
		}
	}
	w.runUntil(faultPhase)
	if w.violation != "" {
		return w.violation
	}
	w.randomFaults, w.storeDown = false, false
	w.cut, w.storeCutOff = [daemons][daemons]bool{}, [daemons]bool{}
	// Messages to the table that are in transit at the end of the faults arrive first.
	w.runUntil(faultPhase + inFlightTime)
	recoverable := w.recoverable()
	w.runUntil(faultPhase + recoveryPhase)
	w.checkRecovery(recoverable, recoveryPhase)
	return w.violation
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.violation == "" {
		e := w.queue[len(w.queue)-1]
		if e.at > end {
			break
		}
		w.queue = w.queue[:len(w.queue)-1]
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) schedule(d time.Duration, do func()) {
	e := event{at: w.now + d, do: do}
	i, _ := slices.BinarySearchFunc(w.queue, e, func(a, b event) int { return cmp.Compare(b.at, a.at) })
	w.queue = slices.Insert(w.queue, i, e)
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

// pauses pauses one daemon for a while; its messages are queued.
func (w *world) pauses() {
	if !w.randomFaults {
		return
	}
	p := w.procs[w.rng.IntN(daemons)]
	p.pausedUntil = min(w.now+w.between(100*time.Millisecond, 3*time.Second), faultPhase)
	w.stats.pauses++
	w.schedule(w.between(100*time.Millisecond, 2*time.Second), w.pauses)
}

// crashes crashes one daemon; it restarts as a new generation.
func (w *world) crashes() {
	if !w.randomFaults {
		return
	}
	i := w.rng.IntN(daemons)
	if w.procs[i].dead {
		return
	}
	w.procs[i].dead = true
	w.stats.crashes++
	w.schedule(w.between(50*time.Millisecond, 3*time.Second), func() { w.start(i) })
	w.schedule(w.between(500*time.Millisecond, 4*time.Second), w.crashes)
}

func (w *world) outages() {
	if !w.randomFaults {
		return
	}
	w.storeDown = true
	w.stats.outages++
	w.schedule(w.between(100*time.Millisecond, 3*time.Second), func() { w.storeDown = false })
	w.schedule(w.between(3*time.Second, 6*time.Second), w.outages)
}

// partitions isolates one daemon from the others for a while.
func (w *world) partitions() {
	if !w.randomFaults {
		return
	}
	i := w.rng.IntN(daemons)
	w.setIsolated(i, true)
	w.schedule(w.between(200*time.Millisecond, 3*time.Second), func() { w.setIsolated(i, false) })
	w.schedule(w.between(500*time.Millisecond, 4*time.Second), w.partitions)
}

func (w *world) setIsolated(i int, cut bool) {
	for j := range w.procs {
		w.cut[i][j], w.cut[j][i] = cut, cut
	}
}

// linkFailures cuts some one-way connections between daemons for a while.
func (w *world) linkFailures() {
	if !w.randomFaults {
		return
	}
	for range 1 + w.rng.IntN(4) {
		i, j := w.rng.IntN(daemons), w.rng.IntN(daemons)
		w.cut[i][j] = true
		w.schedule(w.between(500*time.Millisecond, 6*time.Second), func() { w.cut[i][j] = false })
	}
	w.schedule(w.between(500*time.Millisecond, 3*time.Second), w.linkFailures)
}

// storeCutOffs makes the table unreachable from one daemon for a while.
func (w *world) storeCutOffs() {
	if !w.randomFaults {
		return
	}
	i := w.rng.IntN(daemons)
	w.storeCutOff[i] = true
	w.schedule(w.between(500*time.Millisecond, 5*time.Second), func() { w.storeCutOff[i] = false })
	w.schedule(w.between(500*time.Millisecond, 2*time.Second), w.storeCutOffs)
}

func (w *world) start(i int) {
	w.lastGeneration++
	p := newProcess(w, i, w.lastGeneration)
	if old := w.procs[i]; old != nil {
		old.dead = true
	}
	w.procs[i] = p
	w.schedule(w.between(0, stepInterval), p.step)
}

// send delivers a message to the daemon at an address. The message may be delayed,
// duplicated or lost; receive is called when that daemon processes it.
func (w *world) send(from, to int, receive func(p *process)) {
	if from != to && (w.cut[from][to] || w.randomFaults && w.chance(w.lossRate)) {
		return
	}
	copies := 1
	if w.randomFaults && w.chance(w.lossRate/2) {
		copies = 2
	}
	for range copies {
		delay := w.between(500*time.Microsecond, 5*time.Millisecond)
		if w.randomFaults && w.chance(w.lossRate) {
			delay = min(w.between(0, 1500*time.Millisecond), max(faultPhase-w.now, delay))
		}
		w.schedule(delay, func() { w.procs[to].enqueue(receive) })
	}
}

// callStore sends a request to the table and its reply back to the generation that sent
// it. Either may be lost or delayed.
func (w *world) callStore(p *process, request func() func(p *process)) {
	w.deliverToStore(p.index, func() {
		if w.storeDown {
			return
		}
		reply := request()
		w.deliverToStore(p.index, func() {
			p.enqueue(func(p *process) {
				p.storeAnswered = p.now()
				reply(p)
			})
		})
	})
}

func (w *world) deliverToStore(index int, do func()) {
	delay := w.storeDelay + w.between(time.Millisecond, 10*time.Millisecond)
	switch storeDown := w.storeDown || w.storeCutOff[index]; {
	case w.randomFaults && (w.chance(w.storeLossRate/2) || storeDown && w.chance(0.7)), w.script != nil && storeDown:
		return
	case w.randomFaults && (storeDown || w.chance(w.storeLossRate)):
		delay = min(w.between(100*time.Millisecond, 4*time.Second), max(faultPhase-w.now, delay))
	}
	w.schedule(delay, do)
}

// transact applies a conditional transaction to the table.
func (w *world) transact(tx storage.Transaction) storage.Result {
	res := storage.Result{Applied: true}
	for _, c := range tx.Conditions {
		if w.rows[c.Key].Version != c.Version {
			res.Applied = false
		}
		res.Rows = append(res.Rows, w.rows[c.Key])
	}
	if !res.Applied {
		return res
	}
	res.Rows = res.Rows[:0]
	for _, write := range tx.Writes {
		w.lastVersion++
		w.rows[write.Key] = storage.Row{Key: write.Key, Version: w.lastVersion, Value: write.Value}
		res.Rows = append(res.Rows, w.rows[write.Key])
	}
	return res
}

// list returns all rows of the table.
func (w *world) list() []storage.Row {
	rows := make([]storage.Row, 0, len(w.rows))
	for g := range w.lastGeneration {
		if row, ok := w.rows[routes.MemberKey(g+1)]; ok {
			rows = append(rows, row)
		}
	}
	return append(rows, w.rows[slotKey])
}

// check is the oracle: at most one daemon, paused ones included, would act as the owner
// if it ran now.
func (w *world) check() {
	var owners []wire.Generation
	for _, p := range w.procs {
		if p.owns() {
			owners = append(owners, p.self.Generation)
		}
	}
	if len(owners) > 1 && w.violation == "" {
		w.violation = fmt.Sprintf("at %v more than one owner: %v", w.now, owners)
	}
	if len(owners) == 1 && w.now >= faultPhase && w.ownedAt == 0 {
		w.ownedAt = w.now
	}
}

// table returns the state of a process that has just read the whole table.
func (w *world) table() *process {
	p := newProcess(w, 0, 0)
	p.learnAll(w.list())
	p.slotReadAt = p.now()
	return p
}

// recoverable reports whether the key is free, its owner runs, or enough of the owner's
// witnesses for a quorum can vote. A witness counts if it runs and is not closed, or if
// its closed row lists witnesses: it was then not closed on the basis of closed
// witnesses.
func (w *world) recoverable() bool {
	running := make(map[wire.Generation]bool)
	for _, p := range w.procs {
		running[p.self.Generation] = !p.dead
	}
	table := w.table()
	owner, _ := table.resolveOwner()
	if owner == 0 || running[owner] {
		return true
	}
	votes := 0
	witnesses := table.members[owner].row.Witnesses
	for _, g := range witnesses {
		row := table.members[g].row
		if running[g] && row.State != wire.StateClosed || row.State == wire.StateClosed && len(row.Witnesses) > 0 {
			votes++
		}
	}
	_, needed := lease.Quorum(len(witnesses))
	return votes >= needed
}

// checkRecovery checks that the table determines an owner or a free slot, and that the
// key got an owner again in time. If too many daemons were lost at once, only their
// successors can free the key.
func (w *world) checkRecovery(recoverable bool, recoveryPhase time.Duration) {
	if w.violation != "" || recoveryPhase < maxRecovery {
		return
	}
	if _, known := w.table().resolveOwner(); !known {
		w.violation = "the table determines no owner of the slot"
	}
	owned := w.ownedAt > 0
	switch {
	case recoverable && (!owned || w.ownedAt > faultPhase+maxRecovery):
		w.violation = fmt.Sprintf("next owner only at %v", w.ownedAt)
	case w.successorsClose && !owned:
		w.violation = "no next owner although successors close their predecessors"
	case !recoverable:
		w.stats.unrecoverable++
	}
}
