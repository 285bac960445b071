package daemon

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"fulmarrun/audit"
	"fulmarrun/control"
	"fulmarrun/logs"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// voteTimeout bounds the wait for a witness's testimony.
	voteTimeout = 300 * time.Millisecond
	// rowsTimeout bounds the exchange of rows with a peer.
	rowsTimeout = 2 * time.Second
	// probeTimeout bounds the wait for a sign of life of the platform.
	probeTimeout = time.Second
)

// carryOut does what the core asks for; whatever can block runs apart.
func (i *incarnation) carryOut(e control.Effect) {
	switch e := e.(type) {
	case control.SendHeartbeat:
		_ = i.d.datagrams.Send(e.To, &e.Heartbeat)
	case control.RequestVote:
		i.spawn(func(ctx context.Context) { i.askVote(ctx, e) })
	case control.Write:
		i.spawn(func(ctx context.Context) { i.write(ctx, e) })
	case control.SendRows:
		for _, to := range e.To {
			i.spawn(func(ctx context.Context) { i.sendNews(ctx, to, e.Update) })
		}
	case control.Compare:
		i.spawn(func(ctx context.Context) { i.compare(ctx, e) })
	case control.LoadConfig:
		i.spawn(func(ctx context.Context) { i.loadConfig(ctx, e) })
	case control.Move:
		prepare := i.prepareMove
		if i.d.fetched != nil {
			prepare = i.release
		}
		i.spawn(func(ctx context.Context) { prepare(ctx, e) })
	case control.Probe:
		i.spawn(i.probe)
	case control.Reload:
		i.spawn(func(ctx context.Context) {
			i.load(ctx, func(rows []wire.Row) control.Message { return control.RowsArrived{Rows: rows} })
		})
	case control.Drain:
		i.spawn(i.drain)
	case control.RowSkipped:
		i.d.log.Warn(logs.EventRowSkipped, logs.FieldKey, e.Key, logs.FieldErr, e.Err)
	case control.Closed:
		i.closed = true
		i.d.log.Warn(logs.EventClosed, logs.FieldGeneration, i.self.Generation, logs.FieldReason, e.Reason)
	case control.LeaveCompleted:
		i.left = true
		i.d.log.Info(logs.EventLeft, logs.FieldGeneration, i.self.Generation)
	}
}

// carryOutPublished does what must wait until traffic sees the new standing.
func (i *incarnation) carryOutPublished(e control.Effect) {
	switch e := e.(type) {
	case control.FinishMove:
		i.endMove(e)
	case control.DrainKeyed:
		i.spawn(func(ctx context.Context) { i.forsake(ctx, e) })
	}
}

func (i *incarnation) askVote(ctx context.Context, e control.RequestVote) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	verdict, err := peer.Call[wire.Verdict](ctx, i.d.peers, e.To, peer.KindVote, &e.Vote)
	if err != nil {
		return
	}
	i.post(ctx, control.VerdictArrived{Witness: e.Witness, Verdict: *verdict})
}

// write repeats a transaction until its outcome is known.
func (i *incarnation) write(ctx context.Context, w control.Write) {
	out := storage.Settle(ctx, i.d.store, w.Transaction, written(w.Transaction))
	if out.Verdict == storage.Unknown {
		if ctx.Err() == nil {
			i.d.log.Error(logs.EventRejected, logs.FieldErr, out.Err)
		}
		return
	}
	applied := out.Verdict == storage.Applied
	if applied && w.Entry.Change != "" {
		i.record(w.Entry)
	}
	i.post(ctx, control.WriteDone{Write: w, Applied: applied, Rows: out.Rows})
}

// written recognizes a row as the transaction's own: its value carries the
// request ID.
func written(tx storage.Transaction) func(storage.Row) bool {
	return func(row storage.Row) bool {
		for _, w := range tx.Writes {
			if w.Key == row.Key {
				return w.Delete && row.Version == 0 || !w.Delete && bytes.Equal(w.Value, row.Value)
			}
		}
		return false
	}
}

func (i *incarnation) record(e audit.Entry) {
	e.At = time.Now().UTC()
	i.d.add(e)
	i.d.log.Info(logs.EventChange, logs.FieldWhat, e.What, logs.FieldWho, e.Who, logs.FieldSubject, e.Subject, logs.FieldFrom, e.From, logs.FieldTo, e.To, logs.FieldWhy, e.Why)
}

// sendNews sends news to a peer, and once more what it wants instead.
func (i *incarnation) sendNews(ctx context.Context, to netip.AddrPort, news wire.Rows) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	wanted, err := peer.Call[wire.ResendRequest](ctx, i.d.peers, to, peer.KindRows, &news)
	if err == nil {
		i.sendWanted(ctx, to, *wanted)
	}
}

// sendWanted sends a peer the rows that it wants.
func (i *incarnation) sendWanted(ctx context.Context, to netip.AddrPort, wanted wire.ResendRequest) {
	if len(wanted.Have) == 0 {
		return
	}
	rows, err := ask(ctx, i, func(reply func(wire.Rows)) control.Message {
		return control.RowsRequested{ResendRequest: wanted, Reply: reply}
	})
	if err == nil && len(rows.Rows)+len(rows.Deltas) > 0 {
		_, _ = peer.Call[wire.ResendRequest](ctx, i.d.peers, to, peer.KindRows, &rows)
	}
}

// compare exchanges with a peer whatever one has newer than the other.
func (i *incarnation) compare(ctx context.Context, e control.Compare) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	digests, err := peer.Call[wire.Digests](ctx, i.d.peers, e.To, peer.KindSummary, &e.Summary)
	if err != nil || len(digests.Groups) == 0 {
		return
	}
	ours, err := ask(ctx, i, func(reply func(wire.Versions)) control.Message {
		return control.DigestsArrived{Digests: *digests, Reply: reply}
	})
	if err != nil || len(ours.Buckets) == 0 {
		return
	}
	theirs, err := peer.Call[wire.Rows](ctx, i.d.peers, e.To, peer.KindVersions, &ours)
	if err != nil {
		return
	}
	i.post(ctx, control.RowsArrived{From: theirs.From, Rows: theirs.Rows, Deltas: theirs.Deltas})
	i.sendWanted(ctx, e.To, wire.ResendRequest{Have: theirs.ResendRequest})
}

// ask puts a question to the control goroutine and returns the answer.
func ask[T any](ctx context.Context, i *incarnation, message func(reply func(T)) control.Message) (T, error) {
	out := make(chan T, 1)
	i.post(ctx, message(func(v T) { out <- v }))
	var zero T
	select {
	case v := <-out:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-i.ctx.Done():
		return zero, errNotReady
	}
}

// probe asks the platform for the row of the configuration; the store notes when
// the answer came.
func (i *incarnation) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	row, err := i.d.store.Get(ctx, routes.ConfigKey)
	if err == nil {
		i.post(ctx, control.RowsArrived{Rows: []wire.Row{control.WireRow(row)}})
	}
	i.post(ctx, control.Tick{StoreAnswered: i.d.store.Answered(), Wall: time.Now()})
}

// drain waits until nothing runs here, while nothing more is admitted.
func (i *incarnation) drain(ctx context.Context) {
	i.d.gate.Close()
	if idle(ctx, func() bool { return i.d.gate.Stats().InFlight == 0 }) {
		i.post(ctx, control.Drained{})
	}
}

// forsake waits until no keyed request runs here, while none is admitted.
func (i *incarnation) forsake(ctx context.Context, e control.DrainKeyed) {
	if idle(ctx, func() bool { return i.d.server.RunningKeyed() == 0 }) {
		i.post(ctx, control.KeyedDrained(e))
	}
}

// idle waits until done returns true; it returns false if ctx ends first.
func idle(ctx context.Context, done func() bool) bool {
	for !done() {
		if storage.Sleep(ctx, drainPoll) != nil {
			return false
		}
	}
	return true
}
