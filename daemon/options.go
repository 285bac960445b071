package daemon

import (
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"fulmarrun/admission"
	"fulmarrun/control"
	"fulmarrun/forward"
	"fulmarrun/handover"
	"fulmarrun/owner"
	"fulmarrun/quota"
	"fulmarrun/targethttp"
)

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger is a functional option that sets the logger of events.
func WithLogger(l *log.Logger) Option {
	return func(d *Daemon) { d.log = l }
}

// WithRegistry is a functional option that sets the metrics registry.
func WithRegistry(r metrics.Registry) Option {
	return func(d *Daemon) { d.registry = r }
}

// WithAdmission is a functional option that passes options to the target's admission,
// the retry budget and the pools.
func WithAdmission(opts ...admission.Option) Option {
	return func(d *Daemon) { d.admission = append(d.admission, opts...) }
}

// WithTargetClient is a functional option that passes options to the client of the target.
func WithTargetClient(opts ...targethttp.Option) Option {
	return func(d *Daemon) { d.targetClient = append(d.targetClient, opts...) }
}

// WithControl is a functional option that passes options to the control core, such as
// the baseline plan for measurements.
func WithControl(opts ...control.Option) Option {
	return func(d *Daemon) { d.control = append(d.control, opts...) }
}

// WithHotKeyOptions is a functional option that passes options to the detection of hot
// keys.
func WithHotKeyOptions(opts ...handover.HotKeysOption) Option {
	return func(d *Daemon) { d.hotKeyOptions = append(d.hotKeyOptions, opts...) }
}

// WithTeamLimits is a functional option that passes options to the limits of teams.
func WithTeamLimits(opts ...quota.Option) Option {
	return func(d *Daemon) { d.quota = append(d.quota, opts...) }
}

// WithoutWait is a functional option that selects the baseline for measurements: the
// owner and the receiving daemon do not hold requests for keys that are being moved, but
// refuse them at once. This fails requests that would have been served a moment later.
func WithoutWait() Option {
	return func(d *Daemon) {
		d.owner = append(d.owner, owner.WithoutWait())
		d.forward = append(d.forward, forward.WithoutKeyedRetry())
	}
}
