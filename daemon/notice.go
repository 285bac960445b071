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
	// noticeFanout is the number of daemons that are notified of a new configuration. Each
	// of them notifies as many others.
	noticeFanout = 4
	// noticeDelay is how long a notified daemon waits for the configuration to arrive from
	// the platform before it asks the sender of the notice.
	noticeDelay = 250 * time.Millisecond
	// noticeTimeout bounds a notice, and configTextTimeout the transfer of a whole
	// configuration.
	noticeTimeout     = 500 * time.Millisecond
	configTextTimeout = time.Second
)

// putConfig applies a configuration from Protocols.WatchConfig or a peer and notifies
// other daemons. It ignores a configuration of which no part is newer than the one in force.
func (d *Daemon) putConfig(file *config.File, number wire.ConfigNumber, text []byte) {
	number, changed, err := d.setConfig(file, number, text)
	if err != nil {
		d.log.Error(logs.EventConfigNotMerged, logs.FieldNumber, number.File, logs.FieldVersion, number.State, logs.FieldErr, err)
		return
	}
	if !changed {
		return
	}
	d.log.Info(logs.EventConfigInForce, logs.FieldNumber, number.File, logs.FieldVersion, number.State)
	d.limitColdRate()
	if i := d.current.Load(); i != nil {
		i.post(i.ctx, *d.loadedConfig.Load())
		i.spawn(func(ctx context.Context) { i.notifyPeers(ctx, number) })
	}
}

// setConfig puts a configuration in force for traffic, together with the parts of the
// present one that are newer. It returns the number of the configuration in force, and
// whether that has changed.
func (d *Daemon) setConfig(file *config.File, number wire.ConfigNumber, text []byte) (wire.ConfigNumber, bool, error) {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	if old := d.loadedConfig.Load(); old != nil {
		if old.Number.Covers(number) {
			return old.Number, false, nil
		}
		if !number.Covers(old.Number) {
			var err error
			if file, text, err = d.mergeConfig(old, number, text); err != nil {
				return number, false, err
			}
			number = old.Number.Merge(number)
		}
	}
	table := config.NewTable(file, number.File)
	firstConfig := d.table.Load() == nil
	d.setTable(table)
	d.applyDomainOut(table, firstConfig)
	d.loadedConfig.Store(&configMessage{
		ConfigLoaded: planningData(file, table, number), table: table, current: wire.CurrentConfig{Number: number.File}, text: text,
	})
	return number, true, nil
}

// mergeConfig returns the configuration with the newer of each part of the one in force and
// of another one.
func (d *Daemon) mergeConfig(old *configMessage, number wire.ConfigNumber, text []byte) (*config.File, []byte, error) {
	newFile, newState := old.text, text
	if number.File > old.Number.File {
		newFile, newState = text, old.text
	}
	merged, err := d.protocols.MergeConfig(newFile, newState)
	if err != nil {
		return nil, nil, fmt.Errorf("merge configurations %d and %d: %w", old.Number.File, number.File, err)
	}
	file, err := d.protocols.ParseConfig(merged)
	if err != nil {
		return nil, nil, fmt.Errorf("parse merged configuration: %w", err)
	}
	return file, merged, nil
}

// setTable makes traffic use a configuration from now on.
func (d *Daemon) setTable(table *config.Table) {
	d.table.Store(table)
	now := clock.Now()
	d.configSince.Store(&now)
}

// restoreConfig passes the configuration in force to a new incarnation.
func (i *incarnation) restoreConfig() {
	if m := i.d.loadedConfig.Load(); m != nil {
		i.inbox <- control.Message(*m)
	}
}

// notifyPeers notifies some other daemons of the configuration in force here.
func (i *incarnation) notifyPeers(ctx context.Context, number wire.ConfigNumber) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	others := i.d.server.ServingState().Snapshot.AllMembers()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	sent := 0
	for _, o := range others {
		if o.Generation == i.self.Generation || sent == noticeFanout {
			continue
		}
		sent++
		i.spawn(func(context.Context) {
			// A daemon that can't be reached is notified by another one or reads the
			// platform itself.
			_ = i.sendNotice(ctx, o, number)
		})
	}
	<-ctx.Done()
}

// sendNotice sends a peer the number of the configuration in force here.
func (i *incarnation) sendNotice(ctx context.Context, to *routes.Owner, number wire.ConfigNumber) error {
	_, err := peer.Call[wire.Ack](ctx, i.d.peers, to.Peer, peer.KindConfigNotice, &wire.ConfigNotice{From: i.self.Generation, Number: number})
	if err != nil {
		return fmt.Errorf("notify %q of configuration %d: %w", to.Instance, number.File, err)
	}
	return nil
}

// handleNotice handles a peer's notice of its configuration in force. If it is newer
// and does not arrive from the platform within noticeDelay, the daemon fetches it from
// the peer.
func (d *Daemon) handleNotice(n wire.ConfigNotice) {
	i := d.current.Load()
	if i == nil || d.protocols.ParseConfig == nil || d.hasConfig(n.Number) {
		return
	}
	sender := d.server.ServingState().Snapshot.Owner(n.From)
	if sender == nil {
		return
	}
	i.spawn(func(ctx context.Context) {
		if storage.Sleep(ctx, noticeDelay) != nil || d.hasConfig(n.Number) {
			return
		}
		if err := d.fetchConfigText(ctx, sender); err != nil {
			d.log.Warn(logs.EventPeerConfigNotTaken, logs.FieldNumber, n.Number.File, logs.FieldFrom, sender.Instance, logs.FieldErr, err)
		}
	})
}

// compareConfig compares the configuration of a peer that sent a row summary with the
// one in force here. It fetches what is newer there, and notifies the peer of what is newer
// here.
func (d *Daemon) compareConfig(q *wire.Summary) {
	m, i := d.loadedConfig.Load(), d.current.Load()
	if i == nil || d.protocols.ParseConfig == nil {
		return
	}
	if m == nil || !m.Number.Covers(q.ConfigNumber) {
		d.handleNotice(wire.ConfigNotice{From: q.From, Number: q.ConfigNumber})
	}
	if m == nil || q.ConfigNumber.Covers(m.Number) {
		return
	}
	sender := d.server.ServingState().Snapshot.Owner(q.From)
	if sender == nil {
		return
	}
	i.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
		defer cancel()
		// If this fails, the next comparison by the peer tries again.
		_ = i.sendNotice(ctx, sender, m.Number)
	})
}

func (d *Daemon) hasConfig(number wire.ConfigNumber) bool {
	m := d.loadedConfig.Load()
	return m != nil && m.Number.Covers(number)
}

func (d *Daemon) fetchConfigText(ctx context.Context, sender *routes.Owner) error {
	ctx, cancel := context.WithTimeout(ctx, configTextTimeout)
	defer cancel()
	fetched, err := peer.Call[wire.ConfigText](ctx, d.peers, sender.Peer, peer.KindConfigText, &wire.ConfigNotice{})
	if err != nil {
		return fmt.Errorf("fetch configuration from peer: %w", err)
	}
	file, err := d.protocols.ParseConfig(fetched.Text)
	if err != nil {
		return fmt.Errorf("parse configuration %d: %w", fetched.Number.File, err)
	}
	d.log.Info(logs.EventPeerConfigTaken, logs.FieldFrom, sender.Instance, logs.FieldNumber, fetched.Number.File, logs.FieldVersion, fetched.Number.State)
	d.putConfig(file, fetched.Number, fetched.Text)
	return nil
}

// configText returns the configuration in force, for a peer that lacks it.
func (d *Daemon) configText() (*wire.ConfigText, error) {
	m := d.loadedConfig.Load()
	if m == nil {
		return nil, errNotReady
	}
	return &wire.ConfigText{Number: m.Number, Text: m.text}, nil
}
