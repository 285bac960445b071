package daemon

import (
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"fulmarrun/admission"
	"fulmarrun/control"
	"fulmarrun/forward"
	"fulmarrun/handover"
	"fulmarrun/owner"
)

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger is a functional option that sets where events are logged.
func WithLogger(l *log.Logger) Option {
	return func(d *Daemon) { d.log = l }
}

// WithRegistry is a functional option that sets the registry of the metrics.
func WithRegistry(r metrics.Registry) Option {
	return func(d *Daemon) { d.registry = r }
}

// WithAdmission is a functional option that passes options to the admission of
// the target, the retry budget and the pools.
func WithAdmission(opts ...admission.Option) Option {
	return func(d *Daemon) { d.admission = append(d.admission, opts...) }
}

// WithControl is a functional option that passes options to the control state,
// such as the plan that is a baseline.
func WithControl(opts ...control.Option) Option {
	return func(d *Daemon) { d.control = append(d.control, opts...) }
}

// WithHotKeyOptions is a functional option that passes options to the finding of hot keys.
func WithHotKeyOptions(opts ...handover.HotKeysOption) Option {
	return func(d *Daemon) { d.hotOptions = append(d.hotOptions, opts...) }
}

// WithoutWait is a functional option that is the baseline: requests for keys that
// change hands are refused at once, by their owner and by whoever received them.
// It costs the requests that would have been served a moment later.
func WithoutWait() Option {
	return func(d *Daemon) {
		d.owner = append(d.owner, owner.WithoutWait())
		d.forward = append(d.forward, forward.WithoutKeyedRetry())
	}
}
