package fulmarrun

import (
	"context"
	"fmt"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"fulmarrun/config"
	"fulmarrun/daemon"
	"fulmarrun/storage"
)

// Option configures a Router.
type Option func(*options)

type options struct {
	store  *storage.Store
	daemon []daemon.Option
}

// WithStore is a functional option that sets the store, the platform's table and
// object store, instead of the store at the platform address of the settings.
func WithStore(s *storage.Store) Option {
	return func(o *options) { o.store = s }
}

// WithLogger is a functional option that sets the logger for events.
func WithLogger(l *log.Logger) Option {
	return func(o *options) { o.daemon = append(o.daemon, daemon.WithLogger(l)) }
}

// WithRegistry is a functional option that sets the metrics registry.
func WithRegistry(r metrics.Registry) Option {
	return func(o *options) { o.daemon = append(o.daemon, daemon.WithRegistry(r)) }
}

// Router is the daemon of one target.
type Router struct {
	daemon *daemon.Daemon
}

// New listens on the addresses of the settings and returns a router on which Run
// can be called.
func New(settings config.Settings, opts ...Option) (*Router, error) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	if o.store == nil {
		o.store = storage.NewHTTP(settings.Platform)
	}
	d, err := daemon.New(settings, o.store, o.daemon...)
	if err != nil {
		return nil, fmt.Errorf("new router: %w", err)
	}
	return &Router{daemon: d}, nil
}

// Settings returns the settings with the actual listen addresses.
func (r *Router) Settings() config.Settings { return r.daemon.Settings() }

// Run serves until ctx ends, and returns after a graceful stop.
func (r *Router) Run(ctx context.Context) error {
	if err := r.daemon.Run(ctx); err != nil {
		return fmt.Errorf("run router: %w", err)
	}
	return nil
}

// Abort ends Run without a graceful stop, like a crash, for tests and
// demonstrations.
func (r *Router) Abort() { r.daemon.Abort() }
