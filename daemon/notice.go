package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fulmarrun/clock"
	"fulmarrun/config"
	"fulmarrun/control"
	"fulmarrun/logs"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// noticeFanout is how many daemons are told of a new configuration; each tells
	// as many others.
	noticeFanout = 4
	// noticeWait is how long a daemon that is told of one waits to get it from the
	// platform before it asks the daemon that told it.
	noticeWait = 250 * time.Millisecond
	// noticeTimeout bounds a notice, and wholeTimeout the answer with a whole
	// configuration.
	noticeTimeout = 500 * time.Millisecond
	wholeTimeout  = time.Second
)

// put takes in a configuration that Outside.Config brings, or a peer, and tells
// others of it. One that is not newer than the one in force is dropped.
func (d *Daemon) put(file *config.File, number uint64, text []byte) {
	if !d.enforce(file, number, text) {
		return
	}
	d.log.Info(logs.EventConfigForce, logs.FieldNumber, number)
	d.chill()
	if i := d.current.Load(); i != nil {
		i.post(i.ctx, *d.loaded.Load())
		i.spawn(func(ctx context.Context) { i.notify(ctx, number) })
	}
}

// enforce puts a configuration in force for traffic.
func (d *Daemon) enforce(file *config.File, number uint64, text []byte) bool {
	d.putMu.Lock()
	defer d.putMu.Unlock()
	if old := d.loaded.Load(); old != nil && old.Number >= number {
		return false
	}
	table := config.NewTable(file, number)
	first := d.table.Load() == nil
	d.useTable(table)
	d.watchOut(table, first)
	d.loaded.Store(&configMessage{
		ConfigLoaded: shapeOf(file, table), table: table, current: wire.CurrentConfig{Number: number}, text: text,
	})
	return true
}

// useTable has traffic follow a configuration from now on.
func (d *Daemon) useTable(table *config.Table) {
	d.table.Store(table)
	now := clock.Now()
	d.configSince.Store(&now)
}

// restore gives a new incarnation the configuration that is in force.
func (i *incarnation) restore() {
	if m := i.d.loaded.Load(); m != nil {
		i.inbox <- control.Message(*m)
	}
}

// notify tells some other daemons that a configuration is in force here.
func (i *incarnation) notify(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	others := i.d.server.ServingState().Snapshot.AllMembers()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	told := 0
	for _, o := range others {
		if o.Generation == i.self.Generation || told == noticeFanout {
			continue
		}
		told++
		i.spawn(func(context.Context) {
			// Who can't be reached is told by another, or reads the platform itself.
			_ = i.tell(ctx, o, number)
		})
	}
	<-ctx.Done()
}

// tell says to a peer which configuration is in force here.
func (i *incarnation) tell(ctx context.Context, to *routes.Owner, number uint64) error {
	_, err := peer.Call[wire.Ack](ctx, i.d.peers, to.Peer, peer.KindNotice, &wire.ConfigNotice{From: i.self.Generation, Number: number})
	if err != nil {
		return fmt.Errorf("tell %q of configuration %d: %w", to.Instance, number, err)
	}
	return nil
}

// noticed takes in that a configuration is in force at a peer.
func (d *Daemon) noticed(n wire.ConfigNotice) {
	i := d.current.Load()
	if i == nil || d.outside.ParseConfig == nil || d.knows(n.Number) {
		return
	}
	sender := d.server.ServingState().Snapshot.Owner(n.From)
	if sender == nil {
		return
	}
	i.spawn(func(ctx context.Context) {
		if storage.Sleep(ctx, noticeWait) != nil || d.knows(n.Number) {
			return
		}
		if err := d.fetchWhole(ctx, sender); err != nil {
			d.log.Warn(logs.EventConfigNoPeer, logs.FieldNumber, n.Number, logs.FieldFrom, sender.Instance, logs.FieldErr, err)
		}
	})
}

// compareConfig notes which configuration is in force at a peer that compares rows,
// and tells it of a newer one.
func (d *Daemon) compareConfig(q *wire.Summary) {
	m, i := d.loaded.Load(), d.current.Load()
	if i == nil || d.outside.ParseConfig == nil {
		return
	}
	if m == nil || q.ConfigNumber > m.Number {
		d.noticed(wire.ConfigNotice{From: q.From, Number: q.ConfigNumber})
		return
	}
	sender := d.server.ServingState().Snapshot.Owner(q.From)
	if q.ConfigNumber == m.Number || sender == nil {
		return
	}
	i.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
		defer cancel()
		// The peer compares again in a moment.
		_ = i.tell(ctx, sender, m.Number)
	})
}

func (d *Daemon) knows(number uint64) bool {
	m := d.loaded.Load()
	return m != nil && m.Number >= number
}

func (d *Daemon) fetchWhole(ctx context.Context, sender *routes.Owner) error {
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	whole, err := peer.Call[wire.ConfigText](ctx, d.peers, sender.Peer, peer.KindWhole, &wire.ConfigNotice{})
	if err != nil {
		return fmt.Errorf("ask for configuration: %w", err)
	}
	file, err := d.outside.ParseConfig(whole.Text)
	if err != nil {
		return fmt.Errorf("parse configuration %d: %w", whole.Number, err)
	}
	d.log.Info(logs.EventConfigPeer, logs.FieldFrom, sender.Instance, logs.FieldNumber, whole.Number)
	d.put(file, whole.Number, whole.Text)
	return nil
}

// whole is the configuration in force, for a peer that lacks it.
func (d *Daemon) whole() (*wire.ConfigText, error) {
	m := d.loaded.Load()
	if m == nil {
		return nil, errNotReady
	}
	return &wire.ConfigText{Number: m.Number, Text: m.text}, nil
}
