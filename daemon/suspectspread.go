package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// suspectFanout is the number of daemons that are sent what has become known of a request. Each
	// of them sends it to as many others.
	suspectFanout = 12
	// suspectInterval is how often a daemon that knows suspects compares them with those of another
	// daemon, for those that a message has not reached.
	suspectInterval = 500 * time.Millisecond
	// suspectTimeout bounds one call.
	suspectTimeout = 500 * time.Millisecond
	// joinComparisons is the number of comparisons of a daemon that knows no suspects yet.
	joinComparisons = 6
)

// spreadSuspects logs what has become known of requests, stores it and sends it to other daemons.
func (d *Daemon) spreadSuspects(changed []wire.Suspect) {
	if len(changed) == 0 {
		return
	}
	d.logSuspects(changed)
	d.suspects.store.wake()
	message := &wire.Suspects{Suspects: changed, Digest: d.suspects.ledger.Digest()}
	for _, o := range d.randomPeers(suspectFanout) {
		d.runInBackground(suspectTimeout, func(ctx context.Context) { d.sendSuspects(ctx, o, message) })
	}
}

// randomPeers returns up to n other daemons.
func (d *Daemon) randomPeers(n int) []*routes.Owner {
	state := d.server.ServingState()
	others := state.Snapshot.AllMembers()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	out := make([]*routes.Owner, 0, n)
	for _, o := range others {
		if o.Instance != d.settings.Instance && len(out) < n {
			out = append(out, o)
		}
	}
	return out
}

// sendSuspects sends suspects to a daemon and merges what it knows beyond that. A daemon that can't
// be reached learns them by a later comparison.
func (d *Daemon) sendSuspects(ctx context.Context, to *routes.Owner, message *wire.Suspects) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	reply, err := peer.Call[wire.Suspects](ctx, d.peers, to.Peer, peer.KindSuspects, message)
	if err != nil {
		return
	}
	d.mergeSuspects(reply.Suspects)
}

// mergeSuspects adds what another daemon knows, and passes on what is new.
func (d *Daemon) mergeSuspects(from []wire.Suspect) {
	d.spreadSuspects(d.suspects.ledger.Merge(time.Now(), from))
}

// handleSuspects handles suspects of another daemon. It returns all that is known here if that
// differs from what is known there.
func (d *Daemon) handleSuspects(m *wire.Suspects) *wire.Suspects {
	d.mergeSuspects(m.Suspects)
	reply := &wire.Suspects{Digest: d.suspects.ledger.Digest()}
	if reply.Digest != m.Digest {
		reply.Suspects = d.suspects.ledger.Suspects(time.Now())
	}
	return reply
}

// compareSuspects compares suspects with other daemons until ctx ends.
func (d *Daemon) compareSuspects(ctx context.Context) error {
	ledger := d.suspects.ledger
	for compared := 0; storage.Sleep(ctx, suspectInterval) == nil; {
		ledger.Expire(time.Now())
		if ledger.Empty() && compared >= joinComparisons {
			continue
		}
		for _, o := range d.randomPeers(1) {
			d.compareWith(ctx, o)
			compared++
		}
	}
	return nil
}

// compareWith compares digests with a daemon. If they differ, each gets all that the other knows.
func (d *Daemon) compareWith(ctx context.Context, o *routes.Owner) {
	ledger := d.suspects.ledger
	before := ledger.Digest()
	d.sendSuspects(ctx, o, &wire.Suspects{Digest: before})
	if after := ledger.Digest(); after != before {
		d.sendSuspects(ctx, o, &wire.Suspects{Digest: after, Suspects: ledger.Suspects(time.Now())})
	}
}
