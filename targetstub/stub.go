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
	// defaultCapacity is the concurrency that a warm target bears.
	defaultCapacity = 20
	// drainTime bounds the wait for running requests at the end of Run.
	drainTime = 5 * time.Second
)

// Stub is a target.
type Stub struct {
	name   string
	daemon netip.AddrPort
	listen netip.AddrPort
	// announced is the address to announce, if it is another.
	announced netip.AddrPort
	checks    bool
	capacity  int
	coldest   int
	warmup    time.Duration
	work      time.Duration
	shed      int
	journal   io.Writer
	interval  time.Duration
	now       func() time.Time

	mux     *http.ServeMux
	client  *http.Client
	leaving chan struct{}

	mu      sync.Mutex
	address netip.AddrPort
	base    time.Time
	started time.Time
	left    time.Time
	fault   Fault
	running int
	grants  grants
	runs    recorder
	load    report[Load]
	health  report[bool]
}

// Option configures a Stub.
type Option func(*Stub)

// WithName is a functional option that sets the instance name that is echoed.
func WithName(name string) Option { return func(s *Stub) { s.name = name } }

// WithDaemon is a functional option that sets where to announce; without it the
// stub announces nothing.
func WithDaemon(a netip.AddrPort) Option { return func(s *Stub) { s.daemon = a } }

// WithAnnouncedAddress is a functional option that sets the address to announce, if it is
// another than that which Run listens on.
func WithAnnouncedAddress(a netip.AddrPort) Option { return func(s *Stub) { s.announced = a } }

// WithListen is a functional option that sets the address that Run listens on;
// by default a free port of 127.0.0.1.
func WithListen(a netip.AddrPort) Option { return func(s *Stub) { s.listen = a } }

// WithGrantChecks is a functional option that makes the stub check grants.
func WithGrantChecks() Option { return func(s *Stub) { s.checks = true } }

// WithCapacity is a functional option that sets the concurrency that the stub
// bears when it is warm.
func WithCapacity(n int) Option { return func(s *Stub) { s.capacity = n } }

// WithWarmup is a functional option that makes the stub start cold: it bears
// coldest at once and its capacity after d.
func WithWarmup(coldest int, d time.Duration) Option {
	return func(s *Stub) { s.coldest, s.warmup = coldest, d }
}

// WithRequestTime is a functional option that sets how long a request takes.
func WithRequestTime(d time.Duration) Option { return func(s *Stub) { s.work = d } }

// WithShedLimit is a functional option that refuses requests beyond n at once.
func WithShedLimit(n int) Option { return func(s *Stub) { s.shed = n } }

// WithInterval is a functional option that sets the time between announcements.
func WithInterval(d time.Duration) Option { return func(s *Stub) { s.interval = d } }

// WithJournal is a functional option that names where to write one line for each
// run at the moment it starts: nanoseconds since 1970, method, request ID, path.
func WithJournal(w io.Writer) Option { return func(s *Stub) { s.journal = w } }

// WithClock is a functional option that replaces time.Now.
func WithClock(now func() time.Time) Option { return func(s *Stub) { s.now = now } }

// NewStub returns a Stub that bears 20 concurrent requests and takes no time.
func NewStub(opts ...Option) *Stub {
	s := &Stub{
		name:     "stub",
		listen:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		capacity: defaultCapacity,
		interval: defaultInterval,
		journal:  io.Discard,
		now:      time.Now,
		client:   &http.Client{Timeout: defaultInterval},
		leaving:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.base = s.now()
	s.started = s.base
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

// Handler serves requests and the stub's own paths.
func (s *Stub) Handler() http.Handler { return s.mux }

// Address is where Run listens; invalid before it does.
func (s *Stub) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Drain starts leaving: the stub says so at once and in each later announcement.
func (s *Stub) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left.IsZero() {
		s.left = s.now()
		close(s.leaving)
	}
}

// Run listens and announces until ctx ends, then lets running requests end.
func (s *Stub) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return fmt.Errorf("own address: %w", err)
	}
	s.mu.Lock()
	s.address = address
	s.mu.Unlock()
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: drainTime}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	if err := s.announceUntil(ctx, served); err != nil {
		return err
	}
	s.Drain()
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
	defer cancel()
	s.announce(final)
	if err := server.Shutdown(final); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

// announceUntil announces until ctx ends or the server fails.
func (s *Stub) announceUntil(ctx context.Context, served <-chan error) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	leaving := s.leaving
	for {
		s.announce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-leaving:
			leaving = nil
		case <-ticker.C:
		}
	}
}

// announce posts one announcement; the next one makes up for a failure.
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

// Announcement returns what the stub says about itself now.
func (s *Stub) Announcement() targethttp.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if s.announced.IsValid() {
		address = s.announced
	}
	a := targethttp.Announcement{Address: address, ChecksFences: s.checks, State: targethttp.StateReady, Stamp: s.stamp()}
	switch {
	case !s.left.IsZero():
		a.State = targethttp.StateLeaving
	case s.now().Sub(s.started) < s.warmup:
		a.State = targethttp.StateCold
	}
	return a
}

// stamp is the wall time of the start plus the monotonic time since, so that it
// doesn't go back within a process, nor across a restart of it.
func (s *Stub) stamp() targethttp.Stamp {
	return targethttp.Stamp(s.base.UnixNano()).Add(s.now().Sub(s.base))
}

func (s *Stub) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// answer writes v in JSON.
func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, errors.Wrap(err, "encode answer").Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
