package control_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/lease"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	serviceName = "agenda"
	slotCount   = 64
	faulty      = 8 * time.Second // how long a run has faults
	calm        = 9 * time.Second // how long it goes on without
	mostSteps   = 100_000         // a run takes a few thousand
	callTimeout = 400 * time.Millisecond
)

// mistakes break rules of the shell around the core.
type mistakes struct {
	anyTransfer  bool // records are taken whatever hand-over they belong to
	publishFirst bool // a slot is served before its records are opened
	serveFrozen  bool // a slot is served while it changes hands
	sameUnit     bool // a slot that went and came back keeps its old records
}

// setup is what one run is made of.
type setup struct {
	seed     int64
	daemons  int
	domains  int
	far      bool // the last domain is in another region
	quiet    bool // no random faults
	core     control.Faults
	lease    lease.Faults
	mistakes mistakes
	retain   time.Duration
	plan     handover.PlanFunc // the default if nil
}

// world is one run: daemons, a network, a table, and faults drawn from a seed.
type world struct {
	setup
	rng      *rand.Rand
	now      time.Duration
	queue    events
	count    int
	rows     map[string]storage.Row
	written  []storage.Row // all values that rows ever had
	revision uint64
	procs    []*process // by address
	ghosts   []*process // run on although another holds their address
	number   wire.Generation
	names    int

	lossy, storeLossy float64
	chaos, down       bool
	ends              bool            // a daemon that ends does not come back
	onMove            func()          // is called when a move is written
	cut               map[[2]int]bool // datagrams and messages that way are lost
	cutOff            map[int]bool    // the table can't be reached from there
	config            control.ConfigLoaded

	epochs map[uint32]claim // the highest epoch served under, by slot
	ran    map[uint32][]ran // the requests that ran, by slot

	violation string
	trace     func(format string, args ...any)
	stats     stats
}

// claim is who served a slot under an epoch.
type claim struct {
	epoch uint64
	owner wire.Generation
}

// ran is a request that was run at an owner.
type ran struct {
	id string
	at time.Duration
}

// stats counts what happened in runs.
type stats struct {
	Runs, Steps, Takeovers, Moves, Crashes, Pauses, Outages, Leaves, Outs, Ghosts, Requests, Writes, Reads, Staged int
	Settled                                                                                                        []time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newWorld(s setup) *world {
	w := &world{
		setup: s, rng: rand.New(rand.NewPCG(uint64(s.seed), 1)), chaos: !s.quiet,
		rows: make(map[string]storage.Row), cut: make(map[[2]int]bool), cutOff: make(map[int]bool),
		epochs: make(map[uint32]claim), ran: make(map[uint32][]ran),
	}
	if !s.quiet {
		w.lossy = []float64{0, 0.02, 0.1, 0.25}[w.rng.IntN(4)]
		w.storeLossy = []float64{0, 0.05, 0.2}[w.rng.IntN(3)]
	}
	w.config = control.ConfigLoaded{Number: 1, Services: []control.ServiceLayout{{Name: serviceName, Slots: slotCount}}}
	w.procs = make([]*process, s.daemons)
	for i := range w.procs {
		w.after(w.between(0, time.Second), func() { w.start(i) })
	}
	return w
}

// run plays the faulty time, then the calm one, and returns what the oracle has
// to say against it.
func (w *world) run() string {
	w.until(3 * time.Second)
	for _, fault := range []func(){
		w.pauses, w.crashes, w.outages, w.partitions, w.links, w.cutOffs, w.outs, w.leaves, w.replacements, w.blackouts,
	} {
		if w.chance(0.4) {
			w.after(w.between(0, 2*time.Second), fault)
		}
	}
	w.until(3*time.Second + faulty)
	w.heal()
	w.until(w.now + 20*time.Millisecond)
	healed := w.now
	for w.violation == "" && w.now < healed+calm {
		if w.settled() && w.lost() == "" {
			w.stats.Settled = append(w.stats.Settled, w.now-healed)
			break
		}
		w.until(w.now + 50*time.Millisecond)
	}
	if w.violation == "" && w.now >= healed+calm {
		w.violation = "not settled: " + w.unsettled() + w.lost()
	}
	w.until(w.now + time.Second)
	return w.violation
}

// heal ends all faults: ghosts end, the dead come back.
func (w *world) heal() {
	w.chaos, w.down, w.config.Out = false, false, nil
	w.config.Number++
	clear(w.cut)
	clear(w.cutOff)
	for _, g := range w.ghosts {
		g.dead = true
	}
	for i, p := range w.procs {
		if p == nil || p.dead {
			w.start(i)
			continue
		}
		p.pausedUntil = w.now
		p.wake()
		p.configure()
	}
}

func (w *world) until(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end && w.violation == "" {
		e, _ := heap.Pop(&w.queue).(event)
		w.now = e.at
		if w.stats.Steps > mostSteps {
			w.fail("too many steps")
		}
		e.do()
	}
	w.now = end
}

func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.count, do: do})
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// again repeats a fault while there are any.
func (w *world) again(a, b time.Duration, fault func()) { w.after(w.between(a, b), fault) }

// any returns a random daemon that lives, or nil.
func (w *world) any() *process {
	p := w.procs[w.rng.IntN(len(w.procs))]
	if p == nil || p.dead || !w.chaos {
		return nil
	}
	return p
}

func (w *world) pauses() {
	if p := w.any(); p != nil {
		p.pause(w.between(50*time.Millisecond, 3*time.Second))
	}
	if w.chaos {
		w.again(100*time.Millisecond, time.Second, w.pauses)
	}
}

func (w *world) crashes() {
	if p := w.any(); p != nil {
		p.dead = true
		w.stats.Crashes++
		w.after(w.between(20*time.Millisecond, 4*time.Second), func() { w.restart(p) })
	}
	if w.chaos {
		w.again(300*time.Millisecond, 3*time.Second, w.crashes)
	}
}

// blackouts end all daemons of a failure domain, or all, at once.
func (w *world) blackouts() {
	if !w.chaos {
		return
	}
	all, domain := w.chance(0.3), w.domain(w.rng.IntN(w.domains))
	for _, p := range w.procs {
		if p != nil && !p.dead && (all || p.self.Domain == domain) {
			p.dead = true
			w.stats.Crashes++
			w.after(w.between(20*time.Millisecond, 3*time.Second), func() { w.restart(p) })
		}
	}
	w.again(3*time.Second, 6*time.Second, w.blackouts)
}

// replacements give an address to a new daemon while the old one runs on, reached
// by nobody but the table.
func (w *world) replacements() {
	if p := w.any(); p != nil {
		w.stats.Ghosts++
		w.ghosts = append(w.ghosts, p)
		w.start(p.index)
	}
	if w.chaos {
		w.again(time.Second, 4*time.Second, w.replacements)
	}
}

func (w *world) outages() {
	if !w.chaos {
		return
	}
	w.down = true
	w.stats.Outages++
	w.after(w.between(100*time.Millisecond, 3*time.Second), func() { w.down = false })
	w.again(3*time.Second, 6*time.Second, w.outages)
}

func (w *world) partitions() {
	if !w.chaos {
		return
	}
	side := func(i int) bool { return i == 0 }
	turn := w.rng.IntN(len(w.procs))
	if w.chance(0.3) {
		domain := w.rng.IntN(w.domains)
		side = func(i int) bool { return i%w.domains == domain }
	}
	oneWay := w.chance(0.4)
	var cuts [][2]int
	for i := range w.procs {
		for j := range w.procs {
			a, b := (i+turn)%len(w.procs), (j+turn)%len(w.procs)
			if side(i) && !side(j) {
				cuts = append(cuts, [2]int{a, b})
				if !oneWay {
					cuts = append(cuts, [2]int{b, a})
				}
			}
		}
	}
	w.cutAll(cuts, w.between(200*time.Millisecond, 4*time.Second))
	w.again(500*time.Millisecond, 4*time.Second, w.partitions)
}

func (w *world) cutAll(cuts [][2]int, long time.Duration) {
	for _, c := range cuts {
		w.cut[c] = true
	}
	w.after(long, func() {
		for _, c := range cuts {
			delete(w.cut, c)
		}
	})
}

func (w *world) links() {
	if !w.chaos {
		return
	}
	var cuts [][2]int
	for range 1 + w.rng.IntN(5) {
		cuts = append(cuts, [2]int{w.rng.IntN(len(w.procs)), w.rng.IntN(len(w.procs))})
	}
	w.cutAll(cuts, w.between(500*time.Millisecond, 5*time.Second))
	w.again(300*time.Millisecond, 3*time.Second, w.links)
}

func (w *world) cutOffs() {
	if !w.chaos {
		return
	}
	i := w.rng.IntN(len(w.procs))
	w.cutOff[i] = true
	w.after(w.between(500*time.Millisecond, 5*time.Second), func() { delete(w.cutOff, i) })
	w.again(500*time.Millisecond, 2*time.Second, w.cutOffs)
}

// outs take a failure domain out or back.
func (w *world) outs() {
	if !w.chaos {
		return
	}
	w.setOut(w.chance(0.6), w.domain(w.rng.IntN(w.domains)))
	w.again(800*time.Millisecond, 3*time.Second, w.outs)
}

func (w *world) setOut(out bool, domain string) {
	w.stats.Outs++
	w.config.Number++
	w.config.Out = nil
	if out {
		w.config.Out = []string{domain}
	}
	for _, p := range w.procs {
		if p != nil {
			w.after(w.between(time.Millisecond, 700*time.Millisecond), p.configure)
		}
	}
}

func (w *world) leaves() {
	if p := w.any(); p != nil {
		w.stats.Leaves++
		p.post(control.LeaveRequested{Reason: "planned"})
	}
	if w.chaos {
		w.again(500*time.Millisecond, 3*time.Second, w.leaves)
	}
}

func (w *world) domain(i int) string { return string(rune('a' + i%w.domains)) }

func (w *world) region(i int) string {
	if w.far && i%w.domains == w.domains-1 {
		return "s"
	}
	return "r"
}

// start puts a new generation at an address.
func (w *world) start(i int) {
	w.number++
	w.procs[i] = newProcess(w, i, w.number)
}

// restart starts a new generation in place of p, if none has yet.
func (w *world) restart(p *process) {
	p.dead = true
	if w.procs[p.index] == p {
		w.start(p.index)
	}
}

// send delivers a message to whoever holds an address, perhaps late, doubled or
// never.
func (w *world) send(from *process, to netip.AddrPort, receive func(p *process)) {
	i := indexOf(to)
	if w.cut[[2]int{from.index, i}] || w.chaos && w.chance(w.lossy) {
		return
	}
	copies := 1
	if w.chaos && w.chance(w.lossy/2) {
		copies = 2
	}
	for range copies {
		delay := w.between(500*time.Microsecond, 3*time.Millisecond)
		if w.chaos && w.chance(w.lossy) {
			delay = w.between(0, 1500*time.Millisecond)
		}
		w.after(delay, func() {
			if p := w.procs[i]; p != nil && !p.dead {
				p.run(func() { receive(p) })
			}
		})
	}
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
}

func indexOf(a netip.AddrPort) int { return int(a.Port()) - 1000 }

// call takes a request to the table and its answer back to the generation that
// sent it. Either may be lost or late.
func (w *world) call(p *process, request func() (reply func())) {
	w.travel(p.index, func() {
		if w.down {
			return
		}
		reply := request()
		w.travel(p.index, func() {
			p.run(func() {
				p.answered = p.now()
				reply()
			})
		})
	})
}

func (w *world) travel(index int, do func()) {
	delay := w.between(time.Millisecond, 6*time.Millisecond)
	bad := w.down || w.cutOff[index]
	switch {
	case w.chaos && (w.chance(w.storeLossy/2) || bad && w.chance(0.7)):
		return
	case w.chaos && (bad || w.chance(w.storeLossy)):
		delay = w.between(50*time.Millisecond, 3*time.Second)
	}
	w.after(delay, do)
}

// transact applies a conditional transaction to the table.
func (w *world) transact(tx storage.Transaction) storage.Result {
	w.stats.Writes++
	res := storage.Result{Applied: true}
	var keys []string
	for _, c := range tx.Conditions {
		res.Applied = res.Applied && w.rows[c.Key].Version == c.Version
		keys = append(keys, c.Key)
	}
	if res.Applied {
		w.revision++
	}
	for _, write := range tx.Writes {
		if !slices.Contains(keys, write.Key) {
			keys = append(keys, write.Key)
		}
		switch {
		case !res.Applied:
		case write.Delete:
			delete(w.rows, write.Key)
		default:
			w.rows[write.Key] = storage.Row{Key: write.Key, Version: w.revision, Value: write.Value}
			w.written = append(w.written, w.rows[write.Key])
		}
	}
	for _, key := range keys {
		row := w.rows[key]
		row.Key = key
		res.Rows = append(res.Rows, row)
	}
	return res
}

// checkNews sees that no row is passed on that was not in the table.
func (w *world) checkNews(news wire.Rows) {
	for _, r := range news.Rows {
		if !r.Deleted && !slices.ContainsFunc(w.written, func(t storage.Row) bool {
			return t.Version == r.Version && t.Key == r.Key && bytes.Equal(t.Value, r.Value)
		}) {
			w.fail("row %s at version %d was not in the table", r.Key, r.Version)
		}
	}
}

// list returns all rows of the table with a prefix, in order.
func (w *world) list(prefix string) []wire.Row {
	w.stats.Reads++
	var rows []wire.Row
	for key, r := range w.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, wire.Row{Key: key, Version: r.Version, Value: r.Value})
		}
	}
	slices.SortFunc(rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// living returns all processes that could serve.
func (w *world) living() []*process {
	var out []*process
	for _, p := range append(slices.Clone(w.procs), w.ghosts...) {
		if p != nil && !p.dead {
			out = append(out, p)
		}
	}
	return out
}

// check is the oracle: each slot would be served by one generation at most, and
// the epochs that it is served under never fall.
func (w *world) check() {
	owners := make(map[uint32]claim)
	for _, p := range w.living() {
		if !p.leased() {
			continue
		}
		for slot, epoch := range p.serving() {
			if other, taken := owners[slot]; taken {
				w.fail("slot %d served by %d at epoch %d and %d at epoch %d",
					slot, other.owner, other.epoch, p.self.Generation, epoch)
			}
			owners[slot] = claim{epoch: epoch, owner: p.self.Generation}
		}
	}
	for slot, now := range owners {
		last := w.epochs[slot]
		if now.epoch < last.epoch || now.epoch == last.epoch && now.owner != last.owner {
			w.fail("slot %d: epoch %d of %d after %d of %d", slot, now.epoch, now.owner, last.epoch, last.owner)
		}
		w.epochs[slot] = now
	}
}

// settled tells whether all slots are served by living members that may.
func (w *world) settled() bool { return w.unsettled() == "" }

func (w *world) unsettled() string {
	served := make(map[uint32]*process)
	for _, p := range w.living() {
		if p.leased() {
			for slot := range p.serving() {
				served[slot] = p
			}
		}
	}
	for slot := range uint32(slotCount) {
		if p := served[slot]; p == nil || slices.Contains(w.config.Out, p.self.Domain) {
			return fmt.Sprintf("slot %d not served (%d of %d are); %s", slot, len(served), slotCount, w.describe(slot))
		}
	}
	return ""
}

// describe tells where the table leads a slot and what is known of the owner.
func (w *world) describe(slot uint32) string {
	v := w.view()
	first := slot - slot%routes.SlotsPerRow
	row := v.SlotsRow(serviceName, first)
	if row == nil {
		return "no row"
	}
	r := v.Resolve(row, row.Slots.Slots[slot-first], slot, "")
	out := fmt.Sprintf("row %d, entry %+v, resolved %+v", row.Revision, row.Slots.Slots[slot-first], r)
	if m := v.Member(r.Owner); m != nil {
		out += fmt.Sprintf(", witnesses %v, state %d, address %d;", m.Witnesses, m.State, indexOf(m.Peer))
		for _, g := range m.Witnesses {
			if x := v.Member(g); x != nil {
				out += fmt.Sprintf(" %d is in state %d with witnesses %v at %d;", g, x.State, x.Witnesses, indexOf(x.Peer))
			}
		}
	}
	for _, p := range w.living() {
		out += fmt.Sprintf(" living %d at %d leased %t;", p.self.Generation, p.index, p.leased())
	}
	return out
}

// view returns the table as one who reads it all knows it.
func (w *world) view() *routes.View {
	v := routes.NewView()
	for _, row := range append(w.list(routes.MemberPrefix), w.list(routes.SlotsPrefix)...) {
		_, _ = v.Put(row)
	}
	return v
}

// lost reads the table with a view of its own and sees that each slot leads to a
// living generation or is free.
func (w *world) lost() string {
	v := w.view()
	for first := uint32(0); first < slotCount; first += routes.SlotsPerRow {
		row := v.SlotsRow(serviceName, first)
		if row == nil {
			return "a row of slots is missing"
		}
		for i, s := range row.Slots.Slots {
			r := v.Resolve(row, s, first+uint32(i), "")
			living := slices.ContainsFunc(w.living(), func(p *process) bool { return p.self.Generation == r.Owner })
			if !r.Free() && !living {
				return "lost: " + w.describe(first+uint32(i))
			}
		}
	}
	return ""
}
