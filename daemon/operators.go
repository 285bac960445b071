package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/audit"
	"fulmarrun/config"
	"fulmarrun/control"
	"fulmarrun/guard"
	"fulmarrun/operator"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// statusTimeout bounds the wait for one daemon's status.
	statusTimeout = time.Second
	// statusParallel bounds the daemons that are asked at the same time.
	statusParallel = 64
)

// operatorServer answers the operators' command line and the supervisor.
func (d *Daemon) operatorServer() *http.Server {
	if d.outside.OperatorHandler != nil {
		return newServer(d.outside.OperatorHandler(d))
	}
	s := operator.NewServer(operator.WithRegistry(d.registry))
	s.Apply = d.apply
	s.Show = d.show
	s.Status = d.statuses
	s.Audit = d.audits
	s.Key = d.key
	s.Leave = func(context.Context) error {
		d.Leave("asked by an operator")
		return nil
	}
	s.Ready = d.ready
	return newServer(s)
}

// metricsServer answers with the metrics alone.
func (d *Daemon) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+operator.PathMetrics, operator.Metrics(d.registry))
	return newServer(mux)
}

// ready tells whether the daemon should be sent callers.
func (d *Daemon) ready() error {
	standing := d.server.ServingState()
	switch {
	case standing.Table == nil:
		return errors.New("no configuration in force")
	case d.leaving.Load():
		return errors.New("leaving")
	case d.fetched != nil && standing.Snapshot.MemberCount() == 0:
		return errors.New("no members known")
	default:
		return nil
	}
}

func (d *Daemon) apply(ctx context.Context, req operator.ApplyRequest) (operator.ApplyReply, error) {
	// A repetition is answered as the first time, whatever is in force by now.
	if _, err := config.Parse("file", req.Text, config.WithSlots(d.slotsOf)); err != nil && !d.accepted(req.Change) {
		return operator.ApplyReply{}, fmt.Errorf("check file: %w", err)
	}
	reply, err := d.applier.Apply(ctx, req, config.Split(req.Text))
	if err != nil {
		return reply, fmt.Errorf("apply: %w", err)
	}
	if i := d.current.Load(); i != nil {
		i.spawn(i.refresh)
	}
	return reply, nil
}

// slotsOf returns the number of slots that a service has; zero if it has not run.
func (d *Daemon) slotsOf(service string) int {
	return int(d.server.ServingState().Snapshot.SlotCount(service))
}

// accepted tells whether a change is known to have been accepted.
func (d *Daemon) accepted(change string) bool {
	current, _ := d.configs.shown()
	return slices.ContainsFunc(current.RecentChanges, func(a wire.AcceptedChange) bool { return a.Change == change })
}

// refresh reads the configuration row, so that an accepted file spreads from
// here.
func (i *incarnation) refresh(ctx context.Context) {
	var row storage.Row
	err := storage.Repeat(ctx, func() (err error) {
		row, err = i.d.store.Get(ctx, routes.ConfigKey)
		return err
	})
	if err != nil {
		return
	}
	i.post(ctx, control.RowsArrived{Rows: []wire.Row{control.WireRow(row)}})
}

func (d *Daemon) show(context.Context) (operator.ShowReply, error) {
	current, text := d.configs.shown()
	return operator.ShowReply{
		Number: current.Number, Digest: current.Digest, Author: current.Author, At: current.At, Text: text,
	}, nil
}

// status is what this daemon says about itself.
func (d *Daemon) status() wire.Status {
	standing := d.server.ServingState()
	stats, load := d.gate.Stats(), d.targetLoad()
	out := wire.Status{
		Instance: d.settings.Instance, Generation: standing.Generation, Service: d.settings.Service,
		Domain: d.settings.Domain, Lease: d.leaseLeft(),
		InFlight: stats.InFlight, Queued: stats.Queued, Limit: stats.Limit, Utilization: load.Utilization, SmoothedUtilization: load.Steady,
	}
	if standing.Table != nil {
		out.ConfigNumber = standing.Table.Number()
	}
	if standing.Snapshot == nil {
		return out
	}
	if self := standing.Snapshot.Owner(standing.Generation); self != nil {
		out.State = self.State
	}
	for h := range standing.Snapshot.Assignments(d.settings.Service) {
		if h.Owner != nil && h.Owner.Generation == standing.Generation {
			out.Slots++
		}
	}
	return out
}

// statuses asks every daemon for its status.
func (d *Daemon) statuses(ctx context.Context) (operator.StatusReply, error) {
	var (
		mu        sync.Mutex
		wg        sync.WaitGroup
		instances []operator.Instance
		silent    []string
	)
	slots := make(chan struct{}, statusParallel)
	current, _ := d.configs.shown()
	for _, o := range d.server.ServingState().Snapshot.AllMembers() {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			var status *wire.Status
			var err error
			if panicked := guard.Run(func() { status, err = d.statusOf(ctx, o) }); panicked != nil {
				d.notePanic("question to a peer", panicked)
				err = panicked
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil || status.Generation != o.Generation {
				silent = append(silent, o.Instance)
				return
			}
			instances = append(instances, operator.NewInstance(*status))
		}()
	}
	wg.Wait()
	return operator.NewStatusReply(current.Number, instances, silent), nil
}

func (d *Daemon) statusOf(ctx context.Context, o *routes.Owner) (*wire.Status, error) {
	if o.Generation == d.server.ServingState().Generation {
		status := d.status()
		return &status, nil
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := peer.Call[wire.Status](ctx, d.peers, o.Peer, peer.KindStatus, &wire.StatusRequest{From: o.Generation})
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", o.Instance, err)
	}
	return status, nil
}

func (d *Daemon) audits(ctx context.Context, req operator.AuditRequest) (operator.AuditReply, error) {
	list := func() ([]audit.Entry, error) { return audit.List(ctx, d.store, req.Since, req.Limit) }
	if req.Since.IsZero() {
		list = func() ([]audit.Entry, error) { return audit.Newest(ctx, d.store, time.Now(), req.Limit) }
	}
	entries, err := list()
	if err != nil {
		return operator.AuditReply{}, fmt.Errorf("read audit trail: %w", err)
	}
	return operator.AuditReply{Entries: entries}, nil
}

func (d *Daemon) key(_ context.Context, req operator.KeyRequest) (operator.KeyReply, error) {
	snapshot := d.server.ServingState().Snapshot
	route, ok := snapshot.Lookup(req.Service, req.Key)
	if !ok {
		return operator.KeyReply{}, operator.ErrMissing
	}
	out := operator.KeyReply{
		Service: req.Service, Key: req.Key, Slot: route.Slot, Hot: route.Hot, Epoch: route.Epoch,
	}
	if route.Owner != nil {
		out.Instance, out.Generation, out.Domain = route.Owner.Instance, route.Owner.Generation, route.Owner.Domain
		out.Caller = route.Owner.Caller
		out.Since, out.Why = route.AssignedAt.Time(), why(route)
	}
	return out, nil
}

// why tells how the owner of a route got it.
func why(r routes.Route) string {
	switch {
	case r.TransferID != 0 && r.Hot:
		return "handed over as a hot key"
	case r.TransferID != 0:
		return "handed over by its owner before"
	case r.Epoch <= 1:
		return "first assignment"
	default:
		return "its owner before was lost or left it free"
	}
}
