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
	applyAttempts      = 12
	configReadInterval = 2 * time.Second // interval at which a single daemon reads the configuration row
)

// configFaults are deliberate faults in the shell around the cores, for mutation
// tests.
type configFaults struct {
	acceptOlderRow bool // an old row is delivered under a newer version
	activateOlder  bool // a configuration that arrives late is put in force
	ignoreBase     bool // a file is accepted regardless of the number it was made from
	skipDigest     bool // a configuration is not compared with its digest
	readOnce       bool // the daemon that accepts a file reads the row once, without retries, and no daemon reads it later
}

// configSimulation is a run in which operators apply files and daemons load them.
type configSimulation struct {
	*simulation
	shellFaults  configFaults
	nodes        []*configNode
	objects      map[string][]byte
	pastRows     []wire.Row // all versions of the configuration row
	accepted     []wire.CurrentConfig
	lastAccepted time.Duration // when the last file was accepted
	files        map[string]configFile
}

// configFile is a file that an operator applies, and the number it was made from.
type configFile struct {
	text string
	base uint64
}

// configNode is a generation without a target; it only loads configurations.
type configNode struct {
	*process
	c       *configSimulation
	current wire.CurrentConfig
}

func newConfigSimulation(seed int64, shellFaults configFaults) *configSimulation {
	c := &configSimulation{shellFaults: shellFaults, objects: make(map[string][]byte), files: make(map[string]configFile)}
	c.simulation = &simulation{
		setup: setup{seed: seed, daemons: propertyDaemons, domains: 3}, rng: rand.New(rand.NewPCG(uint64(seed), 4)),
		rows: make(map[storedKey]storage.Row), cut: make(map[[2]int]bool), storeCut: make(map[int]bool),
		procs: make([]*process, propertyDaemons), messageLoss: 0.1, storeLoss: 0.1,
	}
	c.nodes = make([]*configNode, propertyDaemons)
	for i := range c.nodes {
		c.schedule(c.between(0, time.Second), func() { c.start(i) })
	}
	return c
}

func (c *configSimulation) start(i int) {
	c.lastGeneration++
	p := &process{w: c.simulation, index: i, rate: 1, self: wire.Member{
		Instance: fmt.Sprint(i), Generation: c.lastGeneration, Service: serviceName, Region: "r", Domain: c.domain(i), Peer: addrOf(i),
	}}
	p.core = control.NewCore(p.self, control.WithSeed(uint64(c.lastGeneration)), control.WithIDs(func() string {
		c.lastID++
		return fmt.Sprint(c.lastID)
	}))
	n := &configNode{process: p, c: c}
	c.procs[i], c.nodes[i] = p, n
	n.load(func(rows []wire.Row) control.Message { return control.RowsLoaded{Rows: rows, Wall: n.wall()} })
	n.tick()
	c.schedule(c.between(0, configReadInterval), n.pollConfigRow)
}

func (c *configSimulation) restart(i int) {
	if p := c.procs[i]; p != nil {
		p.dead = true
	}
	c.start(i)
}

func (n *configNode) tick() {
	n.run(func() {
		n.step(control.Tick{StoreAnswered: n.storeAnswered, Wall: n.wall()})
		n.w.schedule(control.TickInterval, n.tick)
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
		if e.Summary.ConfigNumber.File != n.current.Number {
			n.w.fail("generation %d reports configuration %d in force instead of %d", n.self.Generation, e.Summary.ConfigNumber, n.current.Number)
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

// retryCall retries a call to the platform until an answer arrives.
func (n *configNode) retryCall(request func() (reply func())) {
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
	n.w.schedule(2*callTimeout, func() {
		n.run(func() {
			if !done {
				done = true
				n.retryCall(request)
			}
		})
	})
}

func (n *configNode) write(e control.Write) {
	n.retryCall(func() func() {
		res := n.w.transact(e.Transaction)
		return func() {
			if applied, known := transactionOutcome(e.Transaction, res); known {
				n.step(control.WriteDone{Write: e, Applied: applied, Rows: res.Rows})
			} else {
				n.write(e)
			}
		}
	})
}

func (n *configNode) load(message func([]wire.Row) control.Message) {
	n.retryCall(func() func() {
		rows := append(n.w.list(routes.MemberPrefix), n.w.list(routes.ConfigKey)...)
		return func() { n.step(message(rows)) }
	})
}

// readConfigRow reads the configuration row from the table and passes it to the
// core.
func (n *configNode) readConfigRow() {
	read := n.retryCall
	if n.c.shellFaults.readOnce {
		read = func(request func() func()) { n.w.call(n.process, request) }
	}
	read(func() func() {
		rows := n.w.list(routes.ConfigKey)
		return func() { n.step(control.RowsArrived{Rows: rows}) }
	})
}

// pollConfigRow makes the member with the lowest generation read the row
// periodically: the daemon that accepted a file may have ended before it has sent
// the row to others.
func (n *configNode) pollConfigRow() {
	n.run(func() {
		if all := n.core.Snapshot().AllMembers(); len(all) > 0 && all[0].Generation == n.self.Generation && !n.c.shellFaults.readOnce {
			n.readConfigRow()
		}
		n.w.schedule(configReadInterval, n.pollConfigRow)
	})
}

func (n *configNode) send(update wire.Rows, to int) {
	n.w.send(n.process, addrOf(to), func(q *process) {
		n.c.nodes[q.index].step(control.RowsArrived{
			From: n.self.Generation, Rows: update.Rows, Deltas: update.Deltas,
			Reply: func(wanted wire.ResendRequest) { n.w.reply(q, n.process, func() { n.sendRequested(wanted, to) }) },
		})
	})
}

func (n *configNode) sendRequested(wanted wire.ResendRequest, to int) {
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
				n.w.reply(q, n.process, func() { n.sendRequested(wire.ResendRequest{Have: rows.ResendRequest}, q.index) })
			}})
		})
	}})
}

// fetch loads a configuration as package daemon does, and retries until it is
// complete. Part of it may be missing where it is fetched from.
func (n *configNode) fetch(current wire.CurrentConfig) {
	n.retryCall(func() func() {
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
	if operator.Digest([]byte(text)) != current.Digest && !n.c.shellFaults.skipDigest {
		n.w.schedule(callTimeout, func() { n.run(func() { n.fetch(current) }) })
		return
	}
	if current.Number > n.current.Number || n.c.shellFaults.activateOlder {
		n.activate(current, text)
	}
	n.step(control.ConfigLoaded{Number: wire.ConfigNumber{File: current.Number}})
}

// activate puts a configuration in force and checks that numbers never decrease and
// that the text is that of the file accepted under the number.
func (n *configNode) activate(current wire.CurrentConfig, text string) {
	if current.Number < n.current.Number {
		n.w.fail("generation %d went back from configuration %d to %d", n.self.Generation, n.current.Number, current.Number)
	}
	if int(current.Number) > len(n.c.accepted) || n.c.files[n.c.accepted[current.Number-1].Change].text != text {
		n.w.fail("generation %d: the text in force as configuration %d is not the accepted text", n.self.Generation, current.Number)
	}
	n.current = current
}

// apply simulates an operator who applies a file through a daemon; each call to the
// platform takes simulated time.
func (c *configSimulation) apply(i int, base uint64) {
	name := fmt.Sprintf("change-%03d", i)
	file := configFile{text: fmt.Sprintf("shared;file %d;end %d;", i, i%3), base: base}
	c.files[name] = file
	sections := [][]byte{[]byte("shared;"), fmt.Appendf(nil, "file %d;", i), fmt.Appendf(nil, "end %d;", i%3)}
	at := c.nodes[c.rng.IntN(len(c.nodes))]
	var reply operator.ApplyReply
	var err error
	next, stop := iter.Pull(func(yield func(time.Duration) bool) {
		sleep := func(d time.Duration) { yield(d) }
		req := operator.ApplyRequest{Text: []byte(file.text), Base: base, Author: name, Change: name}
		if c.shellFaults.ignoreBase {
			sleep(c.between(0, time.Second))
			req.Base = uint64(len(c.accepted))
		}
		reply, err = operator.NewApplier(c.platform(sleep),
			operator.WithClock(func() time.Time { return time.Unix(0, 0).Add(c.now) }),
			operator.WithBackoff(storage.WithRandom(c.rng.Float64), storage.WithSleep(func(_ context.Context, d time.Duration) error {
				sleep(d)
				return nil
			}))).Apply(context.Background(), req, sections)
	})
	var resume func()
	resume = func() {
		if d, more := next(); more {
			c.schedule(d, resume)
			return
		}
		stop()
		c.checkReply(name, reply, err)
		if at != nil && !at.dead {
			at.run(at.readConfigRow)
		}
	}
	resume()
}

// checkReply compares the reply to an operator with what was accepted.
func (c *configSimulation) checkReply(name string, reply operator.ApplyReply, err error) {
	won := slices.ContainsFunc(c.accepted, func(a wire.CurrentConfig) bool { return a.Change == name })
	var conflict *operator.ConflictError
	switch {
	case err == nil && won && c.accepted[reply.Number-1].Change == name:
	case errors.As(err, &conflict) && !won && c.accepted[conflict.Number-1].Author == conflict.Author:
	default:
		c.fail("%s: reply %+v, error %v; accepted %t", name, reply, err, won)
	}
}

// platform returns a store in which each call takes time and may be lost or late.
func (c *configSimulation) platform(sleep func(time.Duration)) *storage.Store {
	call := func(do func()) error {
		sleep(c.between(time.Millisecond, 6*time.Millisecond))
		if c.storeDown || c.chaos && c.chance(0.1) {
			sleep(callTimeout)
			return storage.ErrUnavailable
		}
		if c.chaos && c.chance(0.1) {
			c.schedule(c.between(50*time.Millisecond, 3*time.Second), do)
			sleep(callTimeout)
			return storage.ErrUnavailable
		}
		do()
		if c.chaos && c.chance(0.15) {
			sleep(callTimeout)
			return storage.ErrUnavailable
		}
		return nil
	}
	return &storage.Store{
		Get: func(_ context.Context, key string) (row storage.Row, err error) {
			err = call(func() { row = c.rows[storedKey{key: key}] })
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

// accept applies a transaction to the configuration row and checks that a file is
// accepted only as the successor of the number it was made from.
func (c *configSimulation) accept(tx storage.Transaction) storage.Result {
	res := c.transact(tx)
	if !res.Applied {
		return res
	}
	row := c.rows[storedKey{key: routes.ConfigKey}]
	var current wire.CurrentConfig
	if err := wire.Decode(row.Value, &current); err != nil {
		c.fail("decode the configuration row: %v", err)
	}
	if base := c.files[current.Change].base; base != uint64(len(c.accepted)) || current.Number != base+1 {
		c.fail("%s, made from number %d, accepted as %d after %d", current.Change, base, current.Number, len(c.accepted))
	}
	c.accepted, c.lastAccepted = append(c.accepted, current), c.now
	c.pastRows = append(c.pastRows, wire.Row{Key: routes.ConfigKey, Version: row.Version, Value: row.Value})
	return res
}

// play applies files, one or two from the same base number at a time, during
// faults, and returns the violation found and how long the last file took to be in
// force everywhere.
func (c *configSimulation) play(faults []fault) (violation string, took time.Duration) {
	c.runUntil(3 * time.Second)
	c.chaos = true
	for _, f := range faults {
		c.schedule(f.at, func() { c.inject(f) })
	}
	for i := range applyAttempts {
		c.schedule(c.between(0, faultTime-time.Second), func() {
			c.apply(2*i, uint64(len(c.accepted)))
			if c.chance(0.5) {
				c.apply(2*i+1, uint64(len(c.accepted)))
			}
		})
		c.schedule(c.between(0, faultTime), func() {
			if len(c.pastRows) > 0 {
				c.nodes[c.rng.IntN(len(c.nodes))].send(wire.Rows{Rows: []wire.Row{c.stale()}}, c.rng.IntN(len(c.nodes)))
			}
		})
	}
	c.runUntil(c.now + faultTime)
	c.chaos, c.storeDown = false, false
	clear(c.cut)
	clear(c.storeCut)
	healed := c.now
	for c.violation == "" && c.now < max(healed, c.lastAccepted)+settleLimit {
		c.runUntil(c.now + 50*time.Millisecond)
		if c.lagging() == "" && took == 0 {
			took = c.now - max(healed, c.lastAccepted)
		}
	}
	if c.violation == "" {
		c.violation = c.lagging()
	}
	return c.violation, took
}

// stale returns an earlier version of the configuration row.
func (c *configSimulation) stale() wire.Row {
	row := c.pastRows[c.rng.IntN(len(c.pastRows))]
	if c.shellFaults.acceptOlderRow {
		c.revision++
		row.Version = c.revision
	}
	return row
}

// inject injects a fault of a common kind; a crashed daemon returns as a generation
// that knows nothing.
func (c *configSimulation) inject(f fault) {
	if f.kind == 2 {
		if p := c.procs[f.index]; p != nil {
			p.dead = true
			c.schedule(f.duration, func() { c.restart(f.index) })
		}
		return
	}
	f.at = 0
	c.simulation.inject(f)
}

// lagging describes a daemon on which the last accepted file isn't in force.
func (c *configSimulation) lagging() string {
	for i, n := range c.nodes {
		if n == nil || n.dead || n.current.Number != uint64(len(c.accepted)) {
			return fmt.Sprintf("daemon %d does not have configuration %d in force", i, len(c.accepted))
		}
	}
	return ""
}

func TestConfiguration(t *testing.T) {
	var longest time.Duration
	files := 0
	properties := gopter.NewProperties(propertyParameters(2 * *propertyRuns))
	properties.Property("an accepted file comes into force everywhere and stays in force", prop.ForAll(
		func(seed int64, numbers []uint32) (bool, error) {
			c := newConfigSimulation(seed, configFaults{})
			violation, took := c.play(decodeFaults(numbers))
			longest, files = max(longest, took), files+len(c.accepted)
			if violation != "" {
				return false, fmt.Errorf("seed %d: %s", seed, violation)
			}
			return true, nil
		}, gen.Int64Range(1, 1<<40), gen.SliceOfN(6, gen.UInt32())))
	properties.TestingRun(t)
	t.Logf("%d files accepted; the last was in force everywhere at most %v after the faults ended", files, longest)
}

// TestConfigurationDetectsFaults breaks one rule at a time and expects a violation.
// The search starts at seed from, at which an earlier search, started at seed 1,
// found the violation.
func TestConfigurationDetectsFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		from        int64
		shellFaults configFaults
	}{
		{"an older row is accepted as newer", 16, configFaults{acceptOlderRow: true}},
		{"a configuration that arrives late is put in force", 1, configFaults{activateOlder: true}},
		{"a file is accepted regardless of its base number", 1, configFaults{ignoreBase: true}},
		{"a configuration is not compared with its digest", 1, configFaults{skipDigest: true}},
		{"the row is read only once, by the daemon that accepts a file", 78, configFaults{readOnce: true}},
	} {
		found := false
		for seed := c.from; seed < c.from+200 && !found; seed++ {
			numbers := rand.New(rand.NewPCG(uint64(seed), 5))
			faults := decodeFaults([]uint32{numbers.Uint32(), numbers.Uint32(), numbers.Uint32(), numbers.Uint32(), numbers.Uint32(), 2 + 6*numbers.Uint32N(1<<28)})
			if violation, _ := newConfigSimulation(seed, c.shellFaults).play(faults); violation != "" {
				t.Logf("%s: detected with seed %d: %s", c.name, seed, violation)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not detected", c.name)
		}
	}
}
