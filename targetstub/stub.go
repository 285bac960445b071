package targetstub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/targethttp"
)

const (
	// defaultInterval is the time between announcements.
	defaultInterval = time.Second
	// defaultCapacity is the number of requests at once that a warm target can serve.
	defaultCapacity = 20
	// drainTime limits the wait for running requests at the end of Run.
	drainTime = 5 * time.Second
)

// Stub is a target that serves echo responses.
type Stub struct {
	name   string
	daemon netip.AddrPort
	listen netip.AddrPort
	// announcedAddress, if valid, is announced instead of address.
	announcedAddress netip.AddrPort
	checkGrants      bool
	capacity         int
	coldCapacity     int
	warmup           time.Duration
	requestTime      time.Duration
	shedLimit        int
	journal          io.Writer
	interval         time.Duration
	now              func() time.Time

	mux      *http.ServeMux
	client   *http.Client
	draining chan struct{}

	mu          sync.Mutex
	address     netip.AddrPort
	clockBase   time.Time
	warmupStart time.Time
	drainStart  time.Time
	fault       Fault
	running     int
	grants      grants
	runs        recorder
	load        laggedValue[Load]
	health      laggedValue[bool]
}

// Option configures a Stub.
type Option func(*Stub)

// WithName is a functional option that sets the instance name in the Echo.
func WithName(name string) Option { return func(s *Stub) { s.name = name } }

// WithDaemon is a functional option that sets the address of the daemon that receives
// the announcements; without it the stub does not announce itself.
func WithDaemon(a netip.AddrPort) Option { return func(s *Stub) { s.daemon = a } }

// WithAnnouncedAddress is a functional option that sets the address to announce, if it
// differs from the one that Run listens on.
func WithAnnouncedAddress(a netip.AddrPort) Option { return func(s *Stub) { s.announcedAddress = a } }

// WithListen is a functional option that sets the address that Run listens on. The
// default is a free port of 127.0.0.1.
func WithListen(a netip.AddrPort) Option { return func(s *Stub) { s.listen = a } }

// WithGrantChecks is a functional option that makes the stub reject requests that its
// grants do not cover.
func WithGrantChecks() Option { return func(s *Stub) { s.checkGrants = true } }

// WithCapacity is a functional option that sets how many requests at once the stub can
// serve without slowing down when it is warm.
func WithCapacity(n int) Option { return func(s *Stub) { s.capacity = n } }

// WithWarmup is a functional option that makes the stub start cold: its capacity rises
// from coldCapacity at the start to the full capacity after d.
func WithWarmup(coldCapacity int, d time.Duration) Option {
	return func(s *Stub) { s.coldCapacity, s.warmup = coldCapacity, d }
}

// WithRequestTime is a functional option that sets how long a request takes up to the
// capacity of the stub.
func WithRequestTime(d time.Duration) Option { return func(s *Stub) { s.requestTime = d } }

// WithShedLimit is a functional option that makes the stub reject requests while n
// others run.
func WithShedLimit(n int) Option { return func(s *Stub) { s.shedLimit = n } }

// WithInterval is a functional option that sets the time between announcements.
func WithInterval(d time.Duration) Option { return func(s *Stub) { s.interval = d } }

// WithJournal is a functional option that sets the writer that receives a line for each
// run when it starts: nanoseconds since 1970, method, request ID, path.
func WithJournal(w io.Writer) Option { return func(s *Stub) { s.journal = w } }

// WithClock is a functional option that replaces time.Now.
func WithClock(now func() time.Time) Option { return func(s *Stub) { s.now = now } }

// NewStub returns a Stub that by default has a capacity of 20 requests at once and
// answers immediately.
func NewStub(opts ...Option) *Stub {
	s := &Stub{
		name:     "stub",
		listen:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		capacity: defaultCapacity,
		interval: defaultInterval,
		journal:  io.Discard,
		now:      time.Now,
		client:   &http.Client{Timeout: defaultInterval},
		draining: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.clockBase = s.now()
	s.warmupStart = s.clockBase
	s.runs = newRecorder()
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /health", s.serveHealth)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /runs", s.serveRuns)
	s.mux.HandleFunc("POST /fault", s.serveFault)
	s.mux.HandleFunc("POST /drain", s.serveDrain)
	s.mux.HandleFunc("POST "+targethttp.GrantPath, s.serveGrant)
	s.mux.HandleFunc("/", s.serveRequest)
	return s
}

// Handler returns the handler of requests and of the control paths.
func (s *Stub) Handler() http.Handler { return s.mux }

// Address returns the address that Run listens on; it is invalid before Run listens.
func (s *Stub) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Drain starts draining: the stub announces at once, and in each later announcement, that
// it leaves.
func (s *Stub) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainStart.IsZero() {
		s.drainStart = s.now()
		close(s.draining)
	}
}

// Run serves and announces until ctx ends. It then drains and waits for running requests.
func (s *Stub) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return fmt.Errorf("parse listen address: %w", err)
	}
	s.mu.Lock()
	s.address = address
	s.mu.Unlock()
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: drainTime}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	if err := s.announceLoop(ctx, serveErr); err != nil {
		return err
	}
	s.Drain()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
	defer cancel()
	s.announce(drainCtx)
	if err := server.Shutdown(drainCtx); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

// announceLoop announces at each interval, and when draining starts, until ctx ends or the
// server fails.
func (s *Stub) announceLoop(ctx context.Context, serveErr <-chan error) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	draining := s.draining
	for {
		s.announce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case err := <-serveErr:
			return fmt.Errorf("serve: %w", err)
		case <-draining:
			draining = nil
		case <-ticker.C:
		}
	}
}

// announce posts one announcement. It ignores failures, as the next announcement makes up
// for them.
func (s *Stub) announce(ctx context.Context) {
	if !s.daemon.IsValid() {
		return
	}
	data, err := json.Marshal(s.Announcement())
	if err != nil {
		return
	}
	url := "http://" + s.daemon.String() + targethttp.AnnouncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// Announcement returns the announcement of the current state.
func (s *Stub) Announcement() targethttp.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if s.announcedAddress.IsValid() {
		address = s.announcedAddress
	}
	a := targethttp.Announcement{Address: address, ChecksFences: s.checkGrants, State: targethttp.StateReady, Stamp: s.stamp()}
	switch {
	case !s.drainStart.IsZero():
		a.State = targethttp.StateLeaving
	case s.now().Sub(s.warmupStart) < s.warmup:
		a.State = targethttp.StateCold
	}
	return a
}

// stamp returns the wall time of the start plus the monotonic time since then, so that it
// doesn't decrease within a process, nor across a restart of it.
func (s *Stub) stamp() targethttp.Stamp {
	return targethttp.Stamp(s.clockBase.UnixNano()).Add(s.now().Sub(s.clockBase))
}

func (s *Stub) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// writeJSON writes a response with v in JSON as the body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, errors.Wrap(err, "encode answer").Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
