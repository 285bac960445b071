package daemon

import (
	"context"

	"github.com/pkg/errors"

	"fulmarrun/caller"
	"fulmarrun/clock"
	"fulmarrun/control"
	"fulmarrun/peer"
	"fulmarrun/wire"
)

// errNotReady is returned to a peer that calls before the first generation exists.
var errNotReady = errors.New("not ready")

// peerServer returns the server for calls of other daemons.
func (d *Daemon) peerServer() *peer.Server {
	s := peer.NewServer(peer.WithMaxFrame(d.maxPeerFrame()), peer.WithAccount(peerAccount(d.peerCalls)))
	peer.Handle(s, peer.KindRequest, func(ctx context.Context, q *wire.Request) (*wire.Response, error) {
		return d.server.Serve(ctx, q), nil
	})
	peer.Handle(s, peer.KindRows, func(ctx context.Context, q *wire.Rows) (*wire.ResendRequest, error) {
		return answerPeer(ctx, d, func(reply func(wire.ResendRequest)) control.Message {
			return control.RowsArrived{From: q.From, Rows: q.Rows, Deltas: q.Deltas, Reply: reply}
		})
	})
	peer.Handle(s, peer.KindVote, func(ctx context.Context, q *wire.Vote) (*wire.Verdict, error) {
		return answerPeer(ctx, d, func(reply func(wire.Verdict)) control.Message {
			return control.VoteRequested{Vote: *q, Reply: reply}
		})
	})
	peer.Handle(s, peer.KindSummary, func(ctx context.Context, q *wire.Summary) (*wire.Digests, error) {
		d.compareConfig(q)
		return answerPeer(ctx, d, func(reply func(wire.Digests)) control.Message {
			return control.SummaryArrived{Summary: *q, Reply: reply}
		})
	})
	peer.Handle(s, peer.KindVersions, func(ctx context.Context, q *wire.Versions) (*wire.Rows, error) {
		return answerPeer(ctx, d, func(reply func(wire.Rows)) control.Message {
			return control.VersionsArrived{Versions: *q, Reply: reply}
		})
	})
	peer.Handle(s, peer.KindFetch, func(_ context.Context, q *wire.FetchObject) (*wire.Object, error) {
		return &wire.Object{Data: d.configCache.section(q.Digest)}, nil
	})
	peer.Handle(s, peer.KindRecordHandover, func(_ context.Context, q *wire.RecordHandover) (*wire.Ack, error) {
		i := d.current.Load()
		if i == nil || i.self.Generation != q.To {
			return nil, errNotReady
		}
		i.staging.Add(clock.Now(), q)
		return &wire.Ack{OK: true}, nil
	})
	peer.Handle(s, peer.KindConfigNotice, func(_ context.Context, q *wire.ConfigNotice) (*wire.Ack, error) {
		d.handleNotice(*q)
		return &wire.Ack{OK: true}, nil
	})
	peer.Handle(s, peer.KindConfigText, func(context.Context, *wire.ConfigNotice) (*wire.ConfigText, error) {
		return d.configText()
	})
	peer.Handle(s, peer.KindSuspects, func(_ context.Context, q *wire.Suspects) (*wire.Suspects, error) {
		return d.handleSuspects(q), nil
	})
	peer.Handle(s, peer.KindTokens, d.tokens.lend)
	peer.Handle(s, peer.KindStatus, func(context.Context, *wire.StatusRequest) (*wire.Status, error) {
		status := d.status()
		return &status, nil
	})
	return s
}

// frameOverhead is the space in a frame for everything except a request's body.
const frameOverhead = 4 << 20

// maxPeerFrame returns the maximum length of a frame of another daemon, in bytes. The limit of bodies there may
// come from the configuration instead of this daemon's settings, and a frame over the limit ends the connection
// with all calls on it.
func (d *Daemon) maxPeerFrame() int {
	return int(max(d.settings.MaxBody, caller.MaxForwardBody)) + frameOverhead
}

// answerPeer answers a peer's call through the control goroutine.
func answerPeer[T any](ctx context.Context, d *Daemon, message func(reply func(T)) control.Message) (*T, error) {
	i := d.current.Load()
	if i == nil {
		return nil, errNotReady
	}
	v, err := queryControl(ctx, i, message)
	if err != nil {
		return nil, err
	}
	return &v, nil
}
