package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"fulmarrun/admission"
	"fulmarrun/audit"
	"fulmarrun/clock"
	"fulmarrun/config"
	"fulmarrun/control"
	"fulmarrun/forward"
	"fulmarrun/handover"
	"fulmarrun/logs"
	"fulmarrun/operator"
	"fulmarrun/owner"
	"fulmarrun/peer"
	"fulmarrun/pipeline"
	"fulmarrun/storage"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// settledLife is how long a generation must live for the next to join at once.
	settledLife = 30 * time.Second
	// minRejoinPause and maxRejoinPause bound the wait before the next otherwise.
	minRejoinPause = 500 * time.Millisecond
	maxRejoinPause = 15 * time.Second
)

// answerBytes is the longest body of an answer.
const answerBytes = 8 << 20

// Daemon is the process beside one target.
type Daemon struct {
	settings   config.Settings
	store      *storage.Store
	log        *log.Logger
	registry   metrics.Registry
	admission  []admission.Option
	control    []control.Option
	owner      []owner.Option
	forward    []forward.Option
	hotOptions []handover.HotKeysOption

	gate      *admission.Gate
	client    *targethttp.Client
	server    *owner.Server
	units     *handover.Units
	hot       *handover.HotKeys
	forwarder *forward.Forwarder
	peers     *peer.Client
	datagrams *peer.Datagrams
	audit     *audit.Writer
	outside   Protocols
	// fetched is nil unless the target fetches its grants.
	fetched  *fetched
	callers  *http.Server
	ingress  *pipeline.Ingress
	applier  *operator.Applier
	configs  *configs
	counters *counters
	// sampler bounds the lines about requests and changes of belief.
	sampler *logs.Sampler
	// configSince is when the configuration in force was put in force.
	configSince atomic.Pointer[time.Time]
	// unreached are the daemons that requests can't be sent to.
	unreached outages

	listeners listeners
	current   atomic.Pointer[incarnation]
	table     atomic.Pointer[config.Table]
	// loaded is the last configuration that Outside.Config brought.
	loaded atomic.Pointer[configMessage]
	putMu  sync.Mutex
	// load is how busy the target has been of late; nil before the first look.
	load atomic.Pointer[handover.Load]

	targetMu sync.Mutex
	target   announced
	grants   *targethttp.GrantBuilder
	granted  wire.Generation
	slots    []targethttp.SlotGrant
	hotKeys  []targethttp.HotGrant
	grantNow chan struct{}

	leaveOnce sync.Once
	leave     chan string
	leaving   atomic.Bool

	// ended is closed once the daemon has stopped for its next process.
	ended   chan struct{}
	endOnce sync.Once

	abortOnce sync.Once
	aborted   chan struct{}
}

// ErrAborted is returned by Run after Abort.
var ErrAborted = errors.New("aborted")

// New binds the sockets of a daemon, so that an address that is in use is found
// before anything starts.
func New(settings config.Settings, store *storage.Store, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: settings, store: store,
		log:      log.New(io.Discard),
		registry: metrics.NewRegistry(),
		units:    handover.NewUnits(),
		sampler:  logs.NewSampler(requestLines),
		peers:    peer.NewClient(peer.WithMaxFrame(answerBytes + frameSlack)),
		leave:    make(chan string, 1),
		grantNow: make(chan struct{}, 1),
		aborted:  make(chan struct{}),
		ended:    make(chan struct{}),
	}
	// Daemons must not jitter and choose in step with each other.
	d.admission = []admission.Option{admission.WithSeed(rand.Uint64())}
	d.audit = audit.NewWriter(store, audit.WithRegistry(d.registry))
	for _, opt := range opts {
		opt(d)
	}
	d.log = d.log.With(logs.FieldInstance, settings.Instance)
	d.assemble()
	if err := d.bind(); err != nil {
		return nil, err
	}
	return d, nil
}

// assemble makes the parts of the daemon.
func (d *Daemon) assemble() {
	clientOptions := []targethttp.Option{targethttp.WithMaxBody(answerBytes)}
	if d.outside.Dialect.SetHeaders != nil {
		clientOptions = append(clientOptions, targethttp.WithDialect(d.outside.Dialect))
	}
	if d.fetched != nil {
		d.control = append(fetchControl(), d.control...)
		d.owner = append(d.owner, owner.WithGrantCheck(d.fetched.granted, d.fetched.refute))
	}
	d.store = storage.Track(d.store, clock.Now, storage.WithChange(d.noteStore))
	d.counters = newCounters(d.registry)
	d.owner = append(d.owner, owner.WithObserver(d.noteServed))
	d.forward = append(d.forward, forward.WithObserver(d.noteTry))
	d.gate = admission.NewGate(d.admission...)
	d.hot = handover.NewHotKeys(d.hotOptions...)
	d.server = owner.NewServer(d.gate, d.units, d.hot, d.owner...)
	d.client = targethttp.NewClient(append(clientOptions, targethttp.WithSendCheck(d.server.CheckFence))...)
	d.server.SetClient(d.client)
	d.forwarder = forward.NewForwarder(d.server, d.peers, append(d.forward, forward.WithAdmission(d.admission...))...)
	d.applier = operator.NewApplier(d.store, operator.WithAudit(d.add))
	d.configs = newConfigs(d.store, d.peers)
	d.registerGauges()
	d.assembleCallers()
}

// add puts an entry into the audit trail, if there is one.
func (d *Daemon) add(e audit.Entry) {
	if d.audit != nil {
		d.audit.Add(e)
	}
}

// Settings returns the settings with the addresses that are bound.
func (d *Daemon) Settings() config.Settings { return d.settings }

// Leave starts a planned leave; Run returns when it is done.
func (d *Daemon) Leave(reason string) {
	d.leaveOnce.Do(func() {
		d.leaving.Store(true)
		d.leave <- reason
	})
}

// end lets Run return.
func (d *Daemon) end() {
	d.endOnce.Do(func() { close(d.ended) })
}

// Abort ends Run as a crash would: nothing is handed over and nothing finishes.
func (d *Daemon) Abort() {
	d.abortOnce.Do(func() { close(d.aborted) })
}

// Run serves until ctx ends or Leave is called, and then leaves gracefully:
// slots are handed over and running requests finish, within the drain limit.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.unbind()
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		select {
		case <-ctx.Done():
			if d.fetched != nil {
				d.stop()
				d.end()
				return
			}
			d.Leave("asked to stop")
		case <-stopped.Done():
		}
	}()
	g := d.actors(stopped)
	if err := g.Run(); err != nil {
		return fmt.Errorf("daemon %s: %w", d.settings.Instance, err)
	}
	return nil
}

// actors returns the parts of the process; the first to end ends all.
func (d *Daemon) actors(ctx context.Context) *run.Group {
	g := &run.Group{}
	server := d.peerServer()
	d.peers.OnPanic(func(err error) { d.notePanic("reply of a peer", err) })
	server.OnPanic(func(err error) { d.notePanic("call of a peer", err) })
	d.addServer(g, d.callers, d.ingress.Listen(d.listeners.caller))
	d.addServer(g, d.targetServer(), d.listeners.target)
	d.addServer(g, d.operatorServer(), d.listeners.operator)
	if d.listeners.metrics != nil {
		d.addServer(g, d.metricsServer(), d.listeners.metrics)
	}
	g.Add(func() error { return server.Serve(d.listeners.peer) }, func(error) {
		_ = d.listeners.peer.Close()
		server.Close()
		d.peers.Close()
	})
	g.Add(func() error { return d.datagrams.Serve(d.receive) }, func(error) { _ = d.datagrams.Close() })
	g.Add(func() error { <-d.aborted; return ErrAborted }, func(error) { d.Abort() })
	g.Add(func() error { <-d.ended; return nil }, func(error) { d.end() })
	d.addActor(ctx, g, d.live)
	d.addActor(ctx, g, d.summarize)
	if d.audit != nil {
		d.addActor(ctx, g, d.audit.Run)
	}
	if d.outside.WatchConfig != nil {
		d.addActor(ctx, g, func(ctx context.Context) error { return d.outside.WatchConfig(ctx, d, d.put) })
	}
	if d.fetched != nil {
		d.addActor(ctx, g, d.watchBeats)
		return g
	}
	d.addActor(ctx, g, d.pushGrants)
	d.addActor(ctx, g, d.watchTarget)
	return g
}

func (d *Daemon) addActor(ctx context.Context, g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return d.persist(ctx, "actor", f) }, func(error) { cancel() })
}

func (d *Daemon) addServer(g *run.Group, s *http.Server, l net.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", l.Addr(), err)
		}
		// A server that was shut down for a planned leave leaves the end of the
		// process to the actor that shut it down.
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = s.Close()
	})
}

// live runs one incarnation after another until a planned leave is done.
func (d *Daemon) live(ctx context.Context) error {
	pause, renewed := time.Duration(0), false
	for ctx.Err() == nil {
		if storage.Sleep(ctx, pause) != nil {
			return nil
		}
		if d.fetched != nil {
			d.newBook(renewed)
		}
		began := clock.Now()
		i := newIncarnation(ctx, d)
		d.current.Store(i)
		left, err := i.run(ctx)
		if err != nil {
			return err
		}
		if left {
			return d.shutDown(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if renewed = i.renewed; renewed {
			pause = 0
			continue
		}
		pause = rejoinPause(pause, clock.Since(began))
		d.log.Warn(logs.EventRejoin, logs.FieldGeneration, i.self.Generation)
	}
	return nil
}

// rejoinPause spares the platform a daemon that is closed again and again, since
// it reaches the platform and no peer.
func rejoinPause(last, lived time.Duration) time.Duration {
	if lived > settledLife {
		return 0
	}
	return min(max(2*last, minRejoinPause), maxRejoinPause)
}

// shutDown lets the requests of callers finish.
func (d *Daemon) shutDown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Drain)
	defer cancel()
	if err := d.endCallers(ctx); err != nil {
		return fmt.Errorf("finish callers' requests: %w", err)
	}
	for d.server.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	return nil
}

func (d *Daemon) receive(_ netip.AddrPort, hb wire.Heartbeat) {
	if i := d.current.Load(); i != nil {
		i.offer(control.Heartbeat{Heartbeat: hb})
	}
}
