package control_test

import (
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"fulmarrun/control"
	"fulmarrun/operator"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	configApplies = 12
	configRead    = 2 * time.Second // between two readings of the row by one daemon of all
)

// configMistakes break rules of the shell around the cores.
type configMistakes struct {
	olderRow  bool // a row that is older than the one known is taken for a newer
	olderLoad bool // a configuration that comes late is put in force
	noBase    bool // a file is taken whatever it was made from
	anyText   bool // a section is not compared with its digest
	readOnce  bool // whoever accepts a file reads the row once, and nobody does later
}

// configWorld is a run in which operators apply files and daemons load them.
type configWorld struct {
	*world
	mistakes configMistakes
	nodes    []*configNode
	objects  map[string][]byte
	old      []wire.Row // the rows of the configuration that have been
	accepted []wire.CurrentConfig
	last     time.Duration // when the last was accepted
	files    map[string]configFile
}

// configFile is what an operator applies, and the number it was made from.
type configFile struct {
	text string
	base uint64
}

// configNode is a generation that has no target, only its configuration.
type configNode struct {
	*process
	c       *configWorld
	current wire.CurrentConfig
}

func newConfigWorld(seed int64, mistakes configMistakes) *configWorld {
	c := &configWorld{mistakes: mistakes, objects: make(map[string][]byte), files: make(map[string]configFile)}
	c.world = &world{
		setup: setup{seed: seed, daemons: promiseDaemons, domains: 3}, rng: rand.New(rand.NewPCG(uint64(seed), 4)),
		rows: make(map[string]storage.Row), cut: make(map[[2]int]bool), cutOff: make(map[int]bool),
		procs: make([]*process, promiseDaemons), lossy: 0.1, storeLossy: 0.1,
	}
	c.nodes = make([]*configNode, promiseDaemons)
	for i := range c.nodes {
		c.after(c.between(0, time.Second), func() { c.start(i) })
	}
	return c
}

func (c *configWorld) start(i int) {
	c.number++
	p := &process{w: c.world, index: i, rate: 1, self: wire.Member{
		Instance: fmt.Sprint(i), Generation: c.number, Service: serviceName, Region: "r", Domain: c.domain(i), Peer: addrOf(i),
	}}
	p.core = control.NewCore(p.self, control.WithSeed(uint64(c.number)), control.WithIDs(func() string {
		c.names++
		return fmt.Sprint(c.names)
	}))
	n := &configNode{process: p, c: c}
	c.procs[i], c.nodes[i] = p, n
	n.load(func(rows []wire.Row) control.Message { return control.RowsLoaded{Rows: rows, Wall: n.wall()} })
	n.tick()
	c.after(c.between(0, configRead), n.watch)
}

func (c *configWorld) restart(i int) {
	if p := c.procs[i]; p != nil {
		p.dead = true
	}
	c.start(i)
}

func (n *configNode) tick() {
	n.run(func() {
		n.step(control.Tick{StoreAnswered: n.answered, Wall: n.wall()})
		n.w.after(control.TickInterval, n.tick)
	})
}

func (n *configNode) step(m control.Message) {
	for _, e := range slices.Clone(n.core.Step(n.now(), m)) {
		n.carryOut(e)
	}
}

func (n *configNode) carryOut(e control.Effect) {
	switch e := e.(type) {
	case control.Write:
		n.write(e)
	case control.SendRows:
		for _, to := range e.To {
			n.send(e.Update, indexOf(to))
		}
	case control.Compare:
		if e.Summary.ConfigNumber != n.current.Number {
			n.w.fail("%d counts %d in force, not %d", n.self.Generation, e.Summary.ConfigNumber, n.current.Number)
		}
		n.compare(e)
	case control.LoadConfig:
		n.fetch(e.CurrentConfig)
	case control.Reload:
		n.load(func(rows []wire.Row) control.Message { return control.RowsArrived{Rows: rows} })
	case control.Closed, control.LeaveCompleted:
		n.c.restart(n.index)
	}
}

// persist repeats a call to the platform until its answer has come.
func (n *configNode) persist(request func() (reply func())) {
	done := false
	n.w.call(n.process, func() func() {
		reply := request()
		return func() {
			if !done {
				done = true
				reply()
			}
		}
	})
	n.w.after(2*callTimeout, func() {
		n.run(func() {
			if !done {
				done = true
				n.persist(request)
			}
		})
	})
}

func (n *configNode) write(e control.Write) {
	n.persist(func() func() {
		res := n.w.transact(e.Transaction)
		return func() {
			if applied, known := judge(e.Transaction, res); known {
				n.step(control.WriteDone{Write: e, Applied: applied, Rows: res.Rows})
			} else {
				n.write(e)
			}
		}
	})
}

func (n *configNode) load(message func([]wire.Row) control.Message) {
	n.persist(func() func() {
		rows := append(n.w.list(routes.MemberPrefix), n.w.list(routes.ConfigKey)...)
		return func() { n.step(message(rows)) }
	})
}

// refresh brings the row of the configuration as it is in the table.
func (n *configNode) refresh() {
	read := n.persist
	if n.c.mistakes.readOnce {
		read = func(request func() func()) { n.w.call(n.process, request) }
	}
	read(func() func() {
		rows := n.w.list(routes.ConfigKey)
		return func() { n.step(control.RowsArrived{Rows: rows}) }
	})
}

// watch has the member with the lowest generation read the row now and then:
// whoever accepted a file may have ended before it spread the row.
func (n *configNode) watch() {
	n.run(func() {
		if all := n.core.Snapshot().AllMembers(); len(all) > 0 && all[0].Generation == n.self.Generation && !n.c.mistakes.readOnce {
			n.refresh()
		}
		n.w.after(configRead, n.watch)
	})
}

func (n *configNode) send(news wire.Rows, to int) {
	n.w.send(n.process, addrOf(to), func(q *process) {
		n.c.nodes[q.index].step(control.RowsArrived{
			From: n.self.Generation, Rows: news.Rows, Deltas: news.Deltas,
			Reply: func(wanted wire.ResendRequest) { n.w.reply(q, n.process, func() { n.sendWanted(wanted, to) }) },
		})
	})
}

func (n *configNode) sendWanted(wanted wire.ResendRequest, to int) {
	if len(wanted.Have) > 0 {
		n.step(control.RowsRequested{ResendRequest: wanted, Reply: func(rows wire.Rows) { n.send(rows, to) }})
	}
}

func (n *configNode) compare(e control.Compare) {
	n.w.send(n.process, e.To, func(q *process) {
		n.c.nodes[q.index].step(control.SummaryArrived{Summary: e.Summary, Reply: func(theirs wire.Digests) {
			n.w.reply(q, n.process, func() { n.compared(e, theirs) })
		}})
	})
}

func (n *configNode) compared(e control.Compare, theirs wire.Digests) {
	n.step(control.DigestsArrived{Digests: theirs, Reply: func(ours wire.Versions) {
		n.w.send(n.process, e.To, func(q *process) {
			n.c.nodes[q.index].step(control.VersionsArrived{Versions: ours, Reply: func(rows wire.Rows) {
				n.c.nodes[q.index].send(rows, n.index)
				n.w.reply(q, n.process, func() { n.sendWanted(wire.ResendRequest{Have: rows.ResendRequest}, q.index) })
			}})
		})
	}})
}

// fetch loads a configuration as package daemon does, until it is whole. Part of
// it may be missing where it is fetched.
func (n *configNode) fetch(current wire.CurrentConfig) {
	n.persist(func() func() {
		text := ""
		for _, digest := range current.SectionDigests {
			text += string(n.c.objects[digest])
		}
		if n.c.chaos && n.c.chance(0.1) {
			text = text[:len(text)/2]
		}
		return func() { n.loaded(current, text) }
	})
}

func (n *configNode) loaded(current wire.CurrentConfig, text string) {
	if operator.Digest([]byte(text)) != current.Digest && !n.c.mistakes.anyText {
		n.w.after(callTimeout, func() { n.run(func() { n.fetch(current) }) })
		return
	}
	if current.Number > n.current.Number || n.c.mistakes.olderLoad {
		n.enforce(current, text)
	}
	n.step(control.ConfigLoaded{Number: current.Number})
}

// enforce is where the oracle looks on: numbers never fall, and the text is that
// of the file that was accepted under the number.
func (n *configNode) enforce(current wire.CurrentConfig, text string) {
	if current.Number < n.current.Number {
		n.w.fail("%d went from %d back to %d", n.self.Generation, n.current.Number, current.Number)
	}
	if int(current.Number) > len(n.c.accepted) || n.c.files[n.c.accepted[current.Number-1].Change].text != text {
		n.w.fail("%d: the text in force as %d is not the one accepted", n.self.Generation, current.Number)
	}
	n.current = current
}

// apply has an operator apply a file through a daemon, with each call to the
// platform on its own in time.
func (c *configWorld) apply(i int, base uint64) {
	name := fmt.Sprintf("change-%03d", i)
	file := configFile{text: fmt.Sprintf("shared;file %d;end %d;", i, i%3), base: base}
	c.files[name] = file
	sections := [][]byte{[]byte("shared;"), fmt.Appendf(nil, "file %d;", i), fmt.Appendf(nil, "end %d;", i%3)}
	at := c.nodes[c.rng.IntN(len(c.nodes))]
	var reply operator.ApplyReply
	var err error
	next, stop := iter.Pull(func(yield func(time.Duration) bool) {
		rest := func(d time.Duration) { yield(d) }
		req := operator.ApplyRequest{Text: []byte(file.text), Base: base, Author: name, Change: name}
		if c.mistakes.noBase {
			rest(c.between(0, time.Second))
			req.Base = uint64(len(c.accepted))
		}
		reply, err = operator.NewApplier(c.platform(rest),
			operator.WithClock(func() time.Time { return time.Unix(0, 0).Add(c.now) }),
			operator.WithBackoff(storage.WithRandom(c.rng.Float64), storage.WithSleep(func(_ context.Context, d time.Duration) error {
				rest(d)
				return nil
			}))).Apply(context.Background(), req, sections)
	})
	var resume func()
	resume = func() {
		if d, more := next(); more {
			c.after(d, resume)
			return
		}
		stop()
		c.told(name, reply, err)
		if at != nil && !at.dead {
			at.run(at.refresh)
		}
	}
	resume()
}

// told compares what an operator is told with what was accepted.
func (c *configWorld) told(name string, reply operator.ApplyReply, err error) {
	won := slices.ContainsFunc(c.accepted, func(a wire.CurrentConfig) bool { return a.Change == name })
	var conflict *operator.ConflictError
	switch {
	case err == nil && won && c.accepted[reply.Number-1].Change == name:
	case errors.As(err, &conflict) && !won && c.accepted[conflict.Number-1].Author == conflict.Author:
	default:
		c.fail("%s: told %+v, %v; accepted %t", name, reply, err, won)
	}
}

// platform returns a store on which each call takes time and may be lost or late.
func (c *configWorld) platform(rest func(time.Duration)) *storage.Store {
	call := func(do func()) error {
		rest(c.between(time.Millisecond, 6*time.Millisecond))
		if c.down || c.chaos && c.chance(0.1) {
			rest(callTimeout)
			return storage.ErrUnavailable
		}
		if c.chaos && c.chance(0.1) {
			c.after(c.between(50*time.Millisecond, 3*time.Second), do)
			rest(callTimeout)
			return storage.ErrUnavailable
		}
		do()
		if c.chaos && c.chance(0.15) {
			rest(callTimeout)
			return storage.ErrUnavailable
		}
		return nil
	}
	return &storage.Store{
		Get: func(_ context.Context, key string) (row storage.Row, err error) {
			err = call(func() { row = c.rows[key] })
			if err == nil && row.Version == 0 {
				err = storage.ErrMissing
			}
			return row, err
		},
		Transact: func(_ context.Context, tx storage.Transaction) (res storage.Result, err error) {
			err = call(func() { res = c.accept(tx) })
			return res, err
		},
		PutObject: func(_ context.Context, name string, data []byte) error {
			return call(func() { c.objects[operator.Digest(data)] = data })
		},
	}
}

// accept applies a transaction on the row of the configuration. The oracle: a
// file is accepted only in the place of the one it was made from.
func (c *configWorld) accept(tx storage.Transaction) storage.Result {
	res := c.transact(tx)
	if !res.Applied {
		return res
	}
	row := c.rows[routes.ConfigKey]
	var current wire.CurrentConfig
	if err := wire.Decode(row.Value, &current); err != nil {
		c.fail("row: %v", err)
	}
	if base := c.files[current.Change].base; base != uint64(len(c.accepted)) || current.Number != base+1 {
		c.fail("%s made from %d accepted as %d after %d", current.Change, base, current.Number, len(c.accepted))
	}
	c.accepted, c.last = append(c.accepted, current), c.now
	c.old = append(c.old, wire.Row{Key: routes.ConfigKey, Version: row.Version, Value: row.Value})
	return res
}

// play applies files, one or two from the same number at a time, under faults,
// and returns what the oracle found and how long the last file took.
func (c *configWorld) play(faults []fault) (violation string, took time.Duration) {
	c.until(3 * time.Second)
	c.chaos = true
	for _, f := range faults {
		c.after(f.at, func() { c.inject(f) })
	}
	for i := range configApplies {
		c.after(c.between(0, faulty-time.Second), func() {
			c.apply(2*i, uint64(len(c.accepted)))
			if c.chance(0.5) {
				c.apply(2*i+1, uint64(len(c.accepted)))
			}
		})
		c.after(c.between(0, faulty), func() {
			if len(c.old) > 0 {
				c.nodes[c.rng.IntN(len(c.nodes))].send(wire.Rows{Rows: []wire.Row{c.stale()}}, c.rng.IntN(len(c.nodes)))
			}
		})
	}
	c.until(c.now + faulty)
	c.chaos, c.down = false, false
	clear(c.cut)
	clear(c.cutOff)
	healed := c.now
	for c.violation == "" && c.now < max(healed, c.last)+calm {
		c.until(c.now + 50*time.Millisecond)
		if c.lagging() == "" && took == 0 {
			took = c.now - max(healed, c.last)
		}
	}
	if c.violation == "" {
		c.violation = c.lagging()
	}
	return c.violation, took
}

// stale returns a row of the configuration as it has been.
func (c *configWorld) stale() wire.Row {
	row := c.old[c.rng.IntN(len(c.old))]
	if c.mistakes.olderRow {
		c.revision++
		row.Version = c.revision
	}
	return row
}

// inject lets a fault of the common kinds happen; a daemon that is lost comes
// back as a generation that knows nothing.
func (c *configWorld) inject(f fault) {
	if f.kind == 2 {
		if p := c.procs[f.index]; p != nil {
			p.dead = true
			c.after(f.long, func() { c.restart(f.index) })
		}
		return
	}
	f.at = 0
	c.world.inject(f)
}

// lagging names a daemon without the file that was accepted last.
func (c *configWorld) lagging() string {
	for i, n := range c.nodes {
		if n == nil || n.dead || n.current.Number != uint64(len(c.accepted)) {
			return fmt.Sprintf("daemon %d is not at %d", i, len(c.accepted))
		}
	}
	return ""
}

func TestConfiguration(t *testing.T) {
	var longest time.Duration
	files := 0
	properties := gopter.NewProperties(promises(2 * *promiseRuns))
	properties.Property("an accepted file gets in force everywhere and stays", prop.ForAll(
		func(seed int64, numbers []uint32) (bool, error) {
			c := newConfigWorld(seed, configMistakes{})
			violation, took := c.play(faultsOf(numbers))
			longest, files = max(longest, took), files+len(c.accepted)
			if violation != "" {
				return false, fmt.Errorf("seed %d: %s", seed, violation)
			}
			return true, nil
		}, gen.Int64Range(1, 1<<40), gen.SliceOfN(6, gen.UInt32())))
	properties.TestingRun(t)
	t.Logf("%d files accepted; the last in force everywhere at most %v after faults had ended", files, longest)
}

// TestConfigurationCatches breaks one rule at a time. The search begins at from,
// where one that began at one ended.
func TestConfigurationCatches(t *testing.T) {
	for _, c := range []struct {
		name     string
		from     int64
		mistakes configMistakes
	}{
		{"an older row is taken for a newer", 16, configMistakes{olderRow: true}},
		{"a configuration that comes late is put in force", 1, configMistakes{olderLoad: true}},
		{"a file is accepted whatever it was made from", 1, configMistakes{noBase: true}},
		{"sections are not compared with their digest", 1, configMistakes{anyText: true}},
		{"the row is read once, by whoever accepts a file", 78, configMistakes{readOnce: true}},
	} {
		found := false
		for seed := c.from; seed < c.from+200 && !found; seed++ {
			numbers := rand.New(rand.NewPCG(uint64(seed), 5))
			faults := faultsOf([]uint32{numbers.Uint32(), numbers.Uint32(), numbers.Uint32(), numbers.Uint32(), numbers.Uint32(), 2 + 6*numbers.Uint32N(1<<28)})
			if violation, _ := newConfigWorld(seed, c.mistakes).play(faults); violation != "" {
				t.Logf("%s: found with seed %d: %s", c.name, seed, violation)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not found", c.name)
		}
	}
}
