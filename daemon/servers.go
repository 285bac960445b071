package daemon

import (
	"net/http"
	"time"

	"fulmarrun/config"
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// readTimeout bounds the time to read a whole request of a target, an operator or a
	// supervisor.
	readTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a target, an operator or a supervisor
	// is kept: several times the interval of beats and of readiness checks.
	idleTimeout = time.Minute
)

// newServer returns a server for a target, operators or supervisors.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: chargeClient(h), ConnContext: clientContext, ConnState: releaseIdle, MaxHeaderBytes: config.DefaultMaxHeader,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}
