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
	// maxStatusCalls bounds the daemons that are queried at the same time.
	maxStatusCalls = 64
)

// operatorServer returns the server for the operators' command line and the supervisor.
func (d *Daemon) operatorServer() *http.Server {
	if d.protocols.OperatorHandler != nil {
		return newServer(d.protocols.OperatorHandler(d))
	}
	s := operator.NewServer(operator.WithRegistry(d.registry))
	s.Apply = d.apply
	s.Show = d.show
	s.Status = d.clusterStatus
	s.Audit = d.auditTrail
	s.Key = d.key
	s.Leave = func(context.Context) error {
		d.Leave("asked by an operator")
		return nil
	}
	s.Ready = d.ready
	return newServer(s)
}

// metricsServer returns a server that serves only the metrics.
func (d *Daemon) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+operator.PathMetrics, operator.MetricsHandler(d.registry))
	return newServer(mux)
}

// ready returns nil if callers may be sent to the daemon, and the reason otherwise.
func (d *Daemon) ready() error {
	state := d.server.ServingState()
	switch {
	case state.Table == nil:
		return errors.New("no configuration in force")
	case d.leaving.Load():
		return errors.New("leaving")
	case d.fetchedGrants != nil && state.Snapshot.MemberCount() == 0:
		return errors.New("no members known")
	default:
		return nil
	}
}

func (d *Daemon) apply(ctx context.Context, req operator.ApplyRequest) (operator.ApplyReply, error) {
	// A repeated change gets the same answer as the first time, whatever configuration is
	// in force by now.
	if _, err := config.Parse("file", req.Text, config.WithFixedSlots(d.slotCount)); err != nil && !d.isAccepted(req.Change) {
		return operator.ApplyReply{}, fmt.Errorf("check file: %w", err)
	}
	reply, err := d.applier.Apply(ctx, req, config.Split(req.Text))
	if err != nil {
		return reply, fmt.Errorf("apply: %w", err)
	}
	if i := d.current.Load(); i != nil {
		i.spawn(i.refreshConfig)
	}
	return reply, nil
}

// slotCount returns the number of slots of a service; zero if none have been assigned
// yet.
func (d *Daemon) slotCount(service string) int {
	return int(d.server.ServingState().Snapshot.SlotCount(service))
}

// isAccepted reports whether a change is known to have been accepted.
func (d *Daemon) isAccepted(change string) bool {
	current, _ := d.configCache.inForce()
	return slices.ContainsFunc(current.RecentChanges, func(a wire.AcceptedChange) bool { return a.Change == change })
}

// refreshConfig reads the configuration row, so that this daemon spreads a newly
// accepted file.
func (i *incarnation) refreshConfig(ctx context.Context) {
	var row storage.Row
	err := storage.Retry(ctx, func() (err error) {
		row, err = i.d.store.Get(ctx, routes.ConfigKey)
		return err
	})
	if err != nil {
		return
	}
	i.post(ctx, control.RowsArrived{Rows: []wire.Row{control.WireRow(row)}})
}

func (d *Daemon) show(context.Context) (operator.ShowReply, error) {
	current, text := d.configCache.inForce()
	return operator.ShowReply{
		Number: current.Number, Digest: current.Digest, Author: current.Author, At: current.At, Text: text,
	}, nil
}

// status returns the status of this daemon.
func (d *Daemon) status() wire.Status {
	state := d.server.ServingState()
	stats, load := d.gate.Stats(), d.meanTargetLoad()
	out := wire.Status{
		Instance: d.settings.Instance, Generation: state.Generation, Service: d.settings.Service,
		Domain: d.settings.Domain, Lease: d.remainingLease(),
		InFlight: stats.InFlight, Queued: stats.Queued, Limit: stats.Limit, Utilization: load.Utilization, SmoothedUtilization: load.Steady,
	}
	if state.Table != nil {
		out.ConfigNumber = state.Table.Number()
	}
	if state.Snapshot == nil {
		return out
	}
	if self := state.Snapshot.Owner(state.Generation); self != nil {
		out.State = self.State
	}
	for h := range state.Snapshot.Assignments(d.settings.Service) {
		if h.Owner != nil && h.Owner.Generation == state.Generation {
			out.Slots++
		}
	}
	return out
}

// clusterStatus queries the status of every daemon.
func (d *Daemon) clusterStatus(ctx context.Context) (operator.StatusReply, error) {
	var (
		mu          sync.Mutex
		wg          sync.WaitGroup
		instances   []operator.Instance
		unreachable []string
	)
	limiter := make(chan struct{}, maxStatusCalls)
	current, _ := d.configCache.inForce()
	for _, o := range d.server.ServingState().Snapshot.AllMembers() {
		wg.Add(1)
		limiter <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-limiter }()
			var status *wire.Status
			var err error
			if panicked := guard.Run(func() { status, err = d.memberStatus(ctx, o) }); panicked != nil {
				d.logPanic("question to a peer", panicked)
				err = panicked
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil || status.Generation != o.Generation {
				unreachable = append(unreachable, o.Instance)
				return
			}
			instances = append(instances, operator.NewInstance(*status))
		}()
	}
	wg.Wait()
	return operator.NewStatusReply(current.Number, instances, unreachable), nil
}

// memberStatus queries the status of a member, which may be this daemon.
func (d *Daemon) memberStatus(ctx context.Context, o *routes.Owner) (*wire.Status, error) {
	if o.Generation == d.server.ServingState().Generation {
		status := d.status()
		return &status, nil
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := peer.Call[wire.Status](ctx, d.peers, o.Peer, peer.KindStatus, &wire.StatusRequest{From: o.Generation})
	if err != nil {
		return nil, fmt.Errorf("query status of %s: %w", o.Instance, err)
	}
	return status, nil
}

// auditTrail returns the entries since a time or, without one, the newest entries.
func (d *Daemon) auditTrail(ctx context.Context, req operator.AuditRequest) (operator.AuditReply, error) {
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

// key returns the owner of a key and how it became the owner.
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
		out.Since, out.Why = route.AssignedAt.Time(), ownershipReason(route)
	}
	return out, nil
}

// ownershipReason returns how the owner of a route became its owner.
func ownershipReason(r routes.Route) string {
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
