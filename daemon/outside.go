package daemon

import (
	"context"
	"net/http"

	"fulmarrun/config"
	"fulmarrun/targethttp"
)

// Protocols is what the daemon speaks to callers, to its target and to operators, in
// place of this project's own protocols. A nil field leaves one as it is.
type Protocols struct {
	// CallerHandler returns the handler of callers' requests, and what tells of a request
	// whether it may be begun before others that came ahead of it on its connection are
	// answered.
	CallerHandler func(*Daemon) (handler http.Handler, mayBegin func(*http.Request) bool)
	// TargetHandler returns the handler of what the target beside the daemon sends.
	TargetHandler func(*Daemon) http.Handler
	// OperatorHandler returns the handler of operators and supervisors.
	OperatorHandler func(*Daemon) http.Handler
	// WatchConfig brings the configuration of the daemon until ctx ends. It calls put with
	// each whole one, under numbers that rise and are the same at all daemons, and as the
	// text that Parse reads.
	WatchConfig func(ctx context.Context, d *Daemon, put func(file *config.File, number uint64, text []byte)) error
	// ParseConfig reads the text of a configuration that another daemon has.
	ParseConfig func(text []byte) (*config.File, error)
	// Dialect is how requests are put to the target; its SetHeaders is nil for the
	// project's own.
	Dialect targethttp.Dialect
}

// WithProtocols is a functional option that replaces the protocols of callers, the
// target and operators.
func WithProtocols(o Protocols) Option {
	return func(d *Daemon) { d.outside = o }
}

// WithFetchedGrants is a functional option for targets that fetch their grants, by
// Beat. The target may then start anew while the daemon goes on, and the daemon
// stops without giving anything away, since its next process takes over.
func WithFetchedGrants(opts ...FetchOption) Option {
	return func(d *Daemon) { d.fetched = newFetched(opts) }
}

// WithoutAudit is a functional option that keeps changes out of the platform's
// object store; the log has them.
func WithoutAudit() Option {
	return func(d *Daemon) { d.audit = nil }
}

// Table returns the configuration in force; nil before the first.
func (d *Daemon) Table() *config.Table { return d.table.Load() }

// KnownMembers returns how many daemons are known, this one included.
func (d *Daemon) KnownMembers() int { return d.server.ServingState().Snapshot.MemberCount() }

// Ready returns why the daemon should be sent no callers; nil if it should.
func (d *Daemon) Ready() error { return d.ready() }
