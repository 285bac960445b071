package daemon

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/audit"
	"fulmarrun/control"
	"fulmarrun/logs"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// verdictTimeout bounds the wait for the verdict of a witness.
	verdictTimeout = 300 * time.Millisecond
	// rowsTimeout bounds an exchange of rows with a peer.
	rowsTimeout = 2 * time.Second
	// probeTimeout bounds a probe of the platform.
	probeTimeout = time.Second
)

// runEffect executes an effect of the core. Anything that can block runs in a goroutine
// of its own.
func (i *incarnation) runEffect(e control.Effect) {
	switch e := e.(type) {
	case control.SendHeartbeat:
		_ = i.d.datagrams.Send(e.To, &e.Heartbeat)
	case control.RequestVote:
		i.spawn(func(ctx context.Context) { i.requestVote(ctx, e) })
	case control.Write:
		i.spawn(func(ctx context.Context) { i.write(ctx, e) })
	case control.SendRows:
		for _, to := range e.To {
			i.spawn(func(ctx context.Context) { i.sendUpdate(ctx, to, e.Update) })
		}
	case control.Compare:
		i.spawn(func(ctx context.Context) { i.compareRows(ctx, e) })
	case control.LoadConfig:
		i.spawn(func(ctx context.Context) { i.loadConfig(ctx, e) })
	case control.Move:
		prepare := i.prepareMove
		if i.d.fetchedGrants != nil {
			prepare = i.releaseSlots
		}
		i.spawn(func(ctx context.Context) { prepare(ctx, e) })
	case control.Probe:
		i.spawn(i.probe)
	case control.Reload:
		i.spawn(func(ctx context.Context) {
			i.loadRows(ctx, func(rows []wire.Row, timeline uint64) control.Message {
				return control.RowsArrived{Rows: rows, ReloadAt: e.At, Timeline: timeline}
			})
		})
	case control.Drain:
		i.spawn(i.drainAll)
	case control.RowSkipped:
		i.d.log.Warn(logs.EventRowSkipped, logs.FieldKey, e.Key, logs.FieldErr, e.Err)
	case control.PredecessorFound:
		i.d.loadDepartures([]wire.Row{e.Row}, false)
	case control.Closed:
		i.closed = true
		i.d.log.Warn(logs.EventClosedByPeer, logs.FieldGeneration, i.self.Generation, logs.FieldReason, e.Reason)
	case control.LeaveCompleted:
		i.left = true
		i.d.log.Info(logs.EventLeft, logs.FieldGeneration, i.self.Generation)
	}
}

// runPublishedEffect executes the effects that must wait until the new routes and lease
// are visible to traffic.
func (i *incarnation) runPublishedEffect(e control.Effect) {
	switch e := e.(type) {
	case control.FinishMove:
		i.finishMove(e)
	case control.DrainKeyed:
		i.spawn(func(ctx context.Context) { i.drainKeyed(ctx, e) })
	}
}

func (i *incarnation) requestVote(ctx context.Context, e control.RequestVote) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	verdict, err := peer.Call[wire.Verdict](ctx, i.d.peers, e.To, peer.KindVote, &e.Vote)
	if err != nil {
		return
	}
	i.post(ctx, control.VerdictArrived{Witness: e.Witness, Verdict: *verdict})
}

// write retries a transaction until its outcome is known.
func (i *incarnation) write(ctx context.Context, tx control.Write) {
	out := storage.Settle(ctx, i.d.store, tx.Transaction, isOwnWrite(tx.Transaction))
	if errors.Is(out.Err, storage.ErrRestored) {
		// The core gives up the write when it learns of the new timeline.
		i.d.log.Info(logs.EventWriteObsolete, logs.FieldWhat, tx.Entry.What, logs.FieldErr, out.Err)
		return
	}
	if out.Verdict == storage.Unknown {
		if ctx.Err() == nil {
			i.d.log.Error(logs.EventWriteRejected, logs.FieldErr, out.Err)
		}
		return
	}
	applied := out.Verdict == storage.Applied
	if applied && tx.Entry.Change != "" {
		i.recordChange(tx.Entry)
	}
	i.post(ctx, control.WriteDone{Write: tx, Applied: applied, Rows: out.Rows})
}

// isOwnWrite returns a function that reports whether a row was written by the
// transaction. Values identify their writer, because they contain the request ID.
func isOwnWrite(tx storage.Transaction) func(storage.Row) bool {
	return func(row storage.Row) bool {
		for _, w := range tx.Writes {
			if w.Key == row.Key {
				return w.Delete && row.Version == 0 || !w.Delete && bytes.Equal(w.Value, row.Value)
			}
		}
		return false
	}
}

func (i *incarnation) recordChange(e audit.Entry) {
	e.At = time.Now().UTC()
	i.d.addAuditEntry(e)
	i.d.log.Info(logs.EventChange, logs.FieldWhat, e.What, logs.FieldWho, e.Who, logs.FieldSubject, e.Subject, logs.FieldFrom, e.From, logs.FieldTo, e.To, logs.FieldWhy, e.Why)
}

// sendUpdate sends updated rows to a peer, and then the rows that the peer requests in
// return.
func (i *incarnation) sendUpdate(ctx context.Context, to netip.AddrPort, update wire.Rows) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	resend, err := peer.Call[wire.ResendRequest](ctx, i.d.peers, to, peer.KindRows, &update)
	if err == nil {
		i.sendRequestedRows(ctx, to, *resend)
	}
}

// sendRequestedRows sends a peer the rows that it requested.
func (i *incarnation) sendRequestedRows(ctx context.Context, to netip.AddrPort, resend wire.ResendRequest) {
	if len(resend.Have) == 0 {
		return
	}
	rows, err := queryControl(ctx, i, func(reply func(wire.Rows)) control.Message {
		return control.RowsRequested{ResendRequest: resend, Reply: reply}
	})
	if err == nil && len(rows.Rows)+len(rows.Deltas) > 0 {
		_, _ = peer.Call[wire.ResendRequest](ctx, i.d.peers, to, peer.KindRows, &rows)
	}
}

// compareRows exchanges rows with a peer, so that each gets the rows of which the other
// has a newer version.
func (i *incarnation) compareRows(ctx context.Context, e control.Compare) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	digests, err := peer.Call[wire.Digests](ctx, i.d.peers, e.To, peer.KindSummary, &e.Summary)
	if err != nil || len(digests.Groups) == 0 {
		return
	}
	ourVersions, err := queryControl(ctx, i, func(reply func(wire.Versions)) control.Message {
		return control.DigestsArrived{Digests: *digests, Reply: reply}
	})
	if err != nil || len(ourVersions.Buckets) == 0 {
		return
	}
	theirRows, err := peer.Call[wire.Rows](ctx, i.d.peers, e.To, peer.KindVersions, &ourVersions)
	if err != nil {
		return
	}
	i.post(ctx, control.RowsArrived{From: theirRows.From, Rows: theirRows.Rows, Deltas: theirRows.Deltas})
	i.sendRequestedRows(ctx, e.To, wire.ResendRequest{Have: theirRows.ResendRequest})
}

// queryControl sends a query to the control goroutine and returns its answer.
func queryControl[T any](ctx context.Context, i *incarnation, message func(reply func(T)) control.Message) (T, error) {
	answer := make(chan T, 1)
	i.post(ctx, message(func(v T) { answer <- v }))
	var zero T
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-i.ctx.Done():
		return zero, errNotReady
	}
}

// probe reads the configuration row from the platform. The store records the time of
// the answer.
func (i *incarnation) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	row, err := i.d.store.Get(ctx, routes.ConfigKey)
	if err == nil {
		i.post(ctx, control.RowsArrived{Rows: []wire.Row{control.WireRow(row)}})
	}
	i.post(ctx, control.Tick{StoreAnswered: i.d.store.LastAnswer(), Wall: time.Now()})
}

// drainAll closes admission and waits until no request runs at the target.
func (i *incarnation) drainAll(ctx context.Context) {
	i.d.gate.Close()
	if waitUntil(ctx, func() bool { return i.d.gate.Stats().InFlight == 0 }) {
		i.post(ctx, control.Drained{})
	}
}

// drainKeyed waits until no keyed request runs here. New ones are already refused.
func (i *incarnation) drainKeyed(ctx context.Context, e control.DrainKeyed) {
	if waitUntil(ctx, func() bool { return i.d.server.RunningKeyed() == 0 }) {
		i.post(ctx, control.KeyedDrained(e))
	}
}

// waitUntil polls until done returns true. It returns false if ctx ends first.
func waitUntil(ctx context.Context, done func() bool) bool {
	for !done() {
		if storage.Sleep(ctx, drainPoll) != nil {
			return false
		}
	}
	return true
}
