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
	"fulmarrun/budget"
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
	"fulmarrun/quota"
	"fulmarrun/storage"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// minStableLifetime is how long a generation must live for the next one to join
	// without a delay.
	minStableLifetime = 30 * time.Second
	// minRejoinDelay and maxRejoinDelay bound the delay after a generation that lived
	// shorter.
	minRejoinDelay = 500 * time.Millisecond
	maxRejoinDelay = 15 * time.Second
)

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 8 << 20

// Daemon is the process that runs beside one target.
type Daemon struct {
	settings config.Settings
	store    *storage.Store
	log      *log.Logger
	registry metrics.Registry
	// admission, control, owner, forward, quota and hotKeyOptions are passed to the components.
	admission     []admission.Option
	targetClient  []targethttp.Option
	control       []control.Option
	owner         []owner.Option
	forward       []forward.Option
	quota         []quota.Option
	hotKeyOptions []handover.HotKeysOption

	gate           *admission.Gate
	client         *targethttp.Client
	server         *owner.Server
	units          *handover.Units
	hotKeyDetector *handover.HotKeys
	forwarder      *forward.Forwarder
	peers          *peer.Client
	datagrams      *peer.Datagrams
	audit          *audit.Writer
	protocols      Protocols
	// fetchedGrants is nil unless the target fetches its grants.
	fetchedGrants *fetchedGrants
	// condition is what the target states about itself in its answers.
	condition    targetCondition
	callerServer *http.Server
	// clients is the budget that the clients of all listeners share, and peerCalls what calls of other
	// daemons use of it. budgetOptions and descriptors are passed to it.
	clients       *budget.Account
	peerCalls     *budget.Client
	budgetOptions []budget.Option
	descriptors   int
	ingress       *pipeline.Ingress
	applier       *operator.Applier
	configCache   *configCache
	counters      *counters
	teamCounters  *teamCounters
	// sampler rate-limits the log lines about requests and state changes.
	sampler *logs.Sampler
	// configSince is when the current configuration came into force.
	configSince atomic.Pointer[time.Time]
	// timeline is the timeline of the store that was last logged; nil before its first answer.
	timeline atomic.Pointer[uint64]
	// storeDoubts wakes the feed of Protocols.WatchConfig.
	storeDoubts doubts
	// leased is true once a generation of this process has held its lease.
	leased atomic.Bool
	// suspects is what is known of requests under which targets have ended.
	suspects *suspects
	// tokens limits the rates of teams.
	tokens *tokens
	// unreachable lists the daemons that requests can't be sent to.
	unreachable outages

	listeners listeners
	// current is the incarnation that runs now; nil before the first.
	current atomic.Pointer[incarnation]
	// table is the configuration in force for traffic; nil before the first.
	table atomic.Pointer[config.Table]
	// loadedConfig is the last configuration that Protocols.WatchConfig or a peer
	// delivered.
	loadedConfig atomic.Pointer[configMessage]
	// configMu serializes setConfig.
	configMu sync.Mutex
	// targetLoadMean is the smoothed load of the target; nil before the first sample.
	targetLoadMean atomic.Pointer[handover.Load]

	// targetMu guards the fields up to hotKeys. grants are the grants of the generation
	// grantsGeneration; slots and hotKeys are the lists that were last set in them.
	targetMu         sync.Mutex
	lastAnnouncement receivedAnnouncement
	grants           *targethttp.GrantBuilder
	grantsGeneration wire.Generation
	slots            []targethttp.SlotGrant
	hotKeys          []targethttp.HotGrant
	// grantsChanged wakes pushGrants.
	grantsChanged chan struct{}

	leaveOnce sync.Once
	// leave carries the reason of a requested planned leave.
	leave   chan string
	leaving atomic.Bool

	// lastAnswer ends the requests of callers before the process ends.
	lastAnswer *lastAnswer
	// ended is closed when a daemon that stops for a restart of its process has finished.
	ended   chan struct{}
	endOnce sync.Once

	abortOnce sync.Once
	aborted   chan struct{}
}

// ErrAborted is returned by Run after Abort.
var ErrAborted = errors.New("aborted")

// New creates a daemon and binds its sockets, so that an address in use is reported
// before anything starts.
func New(settings config.Settings, store *storage.Store, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: settings, store: store,
		log:           log.New(io.Discard),
		registry:      metrics.NewRegistry(),
		units:         handover.NewUnits(),
		sampler:       logs.NewSampler(maxRequestLines),
		peers:         peer.NewClient(peer.WithMaxFrame(maxResponseBytes + frameOverhead)),
		leave:         make(chan string, 1),
		grantsChanged: make(chan struct{}, 1),
		aborted:       make(chan struct{}),
		lastAnswer:    newLastAnswer(),
		suspects:      newSuspects(),
		ended:         make(chan struct{}),
	}
	// A random seed for each daemon keeps daemons from making the same random choices at
	// the same time.
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

// assemble creates the components of the daemon.
func (d *Daemon) assemble() {
	clientOptions := []targethttp.Option{targethttp.WithMaxBody(maxResponseBytes)}
	if d.protocols.Dialect.SetHeaders != nil {
		clientOptions = append(clientOptions, targethttp.WithDialect(d.protocols.Dialect))
	}
	if d.fetchedGrants != nil {
		d.control = append(fetchedGrantsControl(), d.control...)
		d.owner = append(d.owner, owner.WithGrantCheck(d.fetchedGrants.isGranted, d.fetchedGrants.markRejected))
	}
	d.store = storage.Track(d.store, clock.Now, storage.WithAvailabilityObserver(d.observeStore))
	d.counters = newCounters(d.registry)
	d.teamCounters = newTeamCounters(d.registry)
	d.owner = append(d.owner, owner.WithObserver(d.logServed), owner.WithKnownCondition(d.adoptCondition), owner.WithScreen(d.screen), owner.WithTeam(d.teamOf))
	d.forward = append(d.forward, forward.WithObserver(d.logFailedTry))
	d.gate = admission.NewGate(d.admission...)
	d.hotKeyDetector = handover.NewHotKeys(d.hotKeyOptions...)
	d.server = owner.NewServer(d.gate, d.units, d.hotKeyDetector, d.owner...)
	clientOptions = append(clientOptions, targethttp.WithSendCheck(d.checkSend), targethttp.WithConditionObserver(d.observeCondition))
	d.client = targethttp.NewClient(append(clientOptions, d.targetClient...)...)
	d.server.SetClient(d.client)
	// The target is idle until it is known to take work.
	d.server.RefuseUnkeyed(d.fetchedGrants != nil)
	d.forwarder = forward.NewForwarder(d.server, d.peers, append(d.forward, forward.WithAdmission(d.admission...))...)
	d.tokens = newTokens(d)
	d.applier = operator.NewApplier(d.store, operator.WithAudit(d.addAuditEntry))
	d.configCache = newConfigCache(d.store, d.peers)
	d.clients = d.newClientBudget()
	d.peerCalls = d.clients.Open(time.Now(), func() {})
	d.peerCalls.Keep()
	d.registerGauges()
	d.assembleCallerServer()
}

// addAuditEntry adds an entry to the audit trail, if there is one.
func (d *Daemon) addAuditEntry(e audit.Entry) {
	if d.audit != nil {
		d.audit.Add(e)
	}
}

// Settings returns the settings with the addresses that were bound.
func (d *Daemon) Settings() config.Settings { return d.settings }

// Leave starts a planned leave. Run returns once it has completed.
func (d *Daemon) Leave(reason string) {
	d.leaveOnce.Do(func() {
		d.leaving.Store(true)
		d.leave <- reason
	})
}

// signalEnded makes Run return.
func (d *Daemon) signalEnded() {
	d.endOnce.Do(func() { close(d.ended) })
}

// Abort makes Run return as if the process had crashed: no slots are handed over and no
// running request is awaited.
func (d *Daemon) Abort() {
	d.abortOnce.Do(func() { close(d.aborted) })
}

// Run serves until ctx ends or Leave is called, and then leaves gracefully: it hands
// its slots over and lets running requests finish, within the drain limit. With
// WithFetchedGrants, the end of ctx stops the daemon without handing its slots over.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.unbind()
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		select {
		case <-ctx.Done():
			if d.fetchedGrants != nil {
				d.stop()
				d.signalEnded()
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

// actors returns the run group of the process. The first actor that returns ends all
// others.
func (d *Daemon) actors(ctx context.Context) *run.Group {
	g := &run.Group{}
	server := d.peerServer()
	d.peers.OnPanic(func(err error) { d.logPanic("reply of a peer", err) })
	server.OnPanic(func(err error) { d.logPanic("call of a peer", err) })
	d.addServer(g, d.callerServer, d.ingress.Listen(d.listenHTTP(d.listeners.caller)))
	d.addServer(g, d.targetServer(), d.listenHTTP(d.listeners.target))
	d.addServer(g, d.operatorServer(), d.listenHTTP(d.listeners.operator))
	if d.listeners.metrics != nil {
		d.addServer(g, d.metricsServer(), d.listenHTTP(d.listeners.metrics))
	}
	peers := &clientListener{Listener: d.listeners.peer, account: d.clients}
	g.Add(func() error { return server.Serve(peers) }, func(error) {
		_ = d.listeners.peer.Close()
		server.Close()
		d.peers.Close()
	})
	g.Add(func() error { return d.datagrams.Serve(d.receiveHeartbeat) }, func(error) { _ = d.datagrams.Close() })
	g.Add(func() error { <-d.aborted; return ErrAborted }, func(error) { d.Abort() })
	g.Add(func() error { <-d.ended; return nil }, func(error) { d.signalEnded() })
	d.addActor(ctx, g, d.runGenerations)
	d.addActor(ctx, g, d.logSummaries)
	d.addActor(ctx, g, d.compareSuspects)
	d.addActor(ctx, g, d.storeSuspects)
	if d.audit != nil {
		d.addActor(ctx, g, d.audit.Run)
	}
	if d.protocols.WatchConfig != nil {
		d.addActor(ctx, g, func(ctx context.Context) error { return d.protocols.WatchConfig(ctx, d, d.putConfig) })
	}
	if d.fetchedGrants != nil {
		d.addActor(ctx, g, d.watchAbsence)
		return g
	}
	d.addActor(ctx, g, d.pushGrants)
	d.addActor(ctx, g, d.watchTarget)
	return g
}

// addActor adds a function that ends with ctx and is restarted after a panic.
func (d *Daemon) addActor(ctx context.Context, g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return d.restartOnPanic(ctx, "actor", f) }, func(error) { cancel() })
}

func (d *Daemon) addServer(g *run.Group, s *http.Server, l net.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", l.Addr(), err)
		}
		// After Shutdown for a planned leave, the actor that called Shutdown decides when
		// the process ends.
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = s.Close()
	})
}

// runGenerations runs one incarnation after another until a planned leave has
// completed.
func (d *Daemon) runGenerations(ctx context.Context) error {
	delay, targetRestarted := time.Duration(0), false
	for ctx.Err() == nil {
		if storage.Sleep(ctx, delay) != nil {
			return nil
		}
		if d.fetchedGrants != nil {
			d.resetGrantTable(targetRestarted)
		}
		startedAt := clock.Now()
		inc := newIncarnation(ctx, d)
		d.current.Store(inc)
		left, err := inc.run(ctx)
		if err != nil {
			return err
		}
		if left {
			return d.finishRequests(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if targetRestarted = inc.targetRestarted; targetRestarted {
			delay = 0
			continue
		}
		delay = rejoinDelay(delay, clock.Since(startedAt))
		d.log.Warn(logs.EventGenerationClosed, logs.FieldGeneration, inc.self.Generation)
	}
	return nil
}

// rejoinDelay returns how long to wait before the next generation joins. The delay
// spares the platform when a daemon is closed again and again, because it reaches the
// platform but no peer.
func rejoinDelay(last, lifetime time.Duration) time.Duration {
	if lifetime > minStableLifetime {
		return 0
	}
	return min(max(2*last, minRejoinDelay), maxRejoinDelay)
}

// finishRequests lets the running requests of callers finish.
func (d *Daemon) finishRequests(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	end := clock.Now().Add(d.settings.DrainTimeout)
	d.lastAnswer.schedule(end)
	d.lastAnswer.refuseLate(end)
	if err := d.shutDownCallers(ctx); err != nil {
		return fmt.Errorf("finish callers' requests: %w", err)
	}
	for d.server.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	return nil
}

func (d *Daemon) receiveHeartbeat(_ netip.AddrPort, hb wire.Heartbeat) {
	if i := d.current.Load(); i != nil {
		i.tryPost(control.Heartbeat{Heartbeat: hb})
	}
}
