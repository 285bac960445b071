package daemon

import (
	"context"
	"net/http"

	"fulmarrun/config"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// Protocols replaces the project's own protocols for callers, the target and operators.
// A nil field keeps the project's own.
type Protocols struct {
	// CallerHandler returns the handler of callers' requests, and a function that reports
	// whether a pipelined request may start before the earlier ones on its connection are
	// answered.
	CallerHandler func(*Daemon) (handler http.Handler, mayStartEarly func(*http.Request) bool)
	// TargetHandler returns the handler of requests that the target beside the daemon
	// sends.
	TargetHandler func(*Daemon) http.Handler
	// OperatorHandler returns the handler of requests of operators and supervisors.
	OperatorHandler func(*Daemon) http.Handler
	// WatchConfig delivers configurations to the daemon until ctx ends. It calls put with
	// each complete configuration, with a number of which no part decreases and that is the
	// same at all daemons, and with the text that ParseConfig reads.
	WatchConfig func(ctx context.Context, d *Daemon, put func(file *config.File, number wire.ConfigNumber, text []byte)) error
	// ParseConfig parses the text of a configuration.
	ParseConfig func(text []byte) (*config.File, error)
	// MergeConfig returns the text with the file of one text and the other state of another.
	MergeConfig func(file, state []byte) ([]byte, error)
	// TeamOf returns the name of the team that a request belongs to; empty if it belongs to
	// none. It is called only if the configuration in force has teams.
	TeamOf func(*wire.Request) string
	// Dialect defines how requests are sent to the target. Its Fill is nil for the
	// project's own protocol.
	Dialect targethttp.Dialect
}

// WithProtocols is a functional option that replaces the protocols of callers, the
// target and operators.
func WithProtocols(o Protocols) Option {
	return func(d *Daemon) { d.protocols = o }
}

// WithFetchedGrants is a functional option for targets that fetch their grants through
// Beat. The target may then restart while the daemon keeps running. The daemon stops
// without handing its slots over, since its next process takes them over.
func WithFetchedGrants(opts ...FetchOption) Option {
	return func(d *Daemon) { d.fetchedGrants = newFetchedGrants(opts) }
}

// WithoutAudit is a functional option that writes no audit trail to the platform's
// object store. Changes are still logged.
func WithoutAudit() Option {
	return func(d *Daemon) { d.audit = nil }
}

// Table returns the configuration in force; nil before the first one.
func (d *Daemon) Table() *config.Table { return d.table.Load() }

// KnownMembers returns the number of known daemons, including this one.
func (d *Daemon) KnownMembers() int { return d.server.ServingState().Snapshot.MemberCount() }

// Ready returns nil if callers may be sent to the daemon, and the reason otherwise.
func (d *Daemon) Ready() error { return d.ready() }
