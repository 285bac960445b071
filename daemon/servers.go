package daemon

import (
	"net/http"
	"time"

	"fulmarrun/config"
)

const (
	// headerTimeout bounds how long the head of a request may take to come.
	headerTimeout = 10 * time.Second
	// readTimeout bounds how long a whole request of a target, an operator or a
	// supervisor may take to come.
	readTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of theirs is kept: several times the
	// interval of beats and of questions whether the daemon is ready.
	idleTimeout = time.Minute
)

// newServer returns the server of a target, operators or supervisors.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: config.DefaultHeader,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}
