package daemon

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"fulmarrun/caller"
	"fulmarrun/guard"
	"fulmarrun/pipeline"
	"fulmarrun/storage"
)

// assembleCallers makes the server of callers.
func (d *Daemon) assembleCallers() {
	handler, mayBegin := d.callerHandler()
	d.ingress = pipeline.New(d.guarded(d.parting(handler)), pipeline.WithEarlyStart(func(r *http.Request) bool {
		return !d.leaving.Load() && mayBegin(r)
	}))
	d.callers = &http.Server{
		Handler: d.ingress, ConnContext: pipeline.ConnContext,
		MaxHeaderBytes: d.settings.Header, ReadHeaderTimeout: headerTimeout,
	}
}

// callerHandler returns the handler of callers' requests, and which may be begun before
// their turn.
func (d *Daemon) callerHandler() (http.Handler, func(*http.Request) bool) {
	if d.outside.CallerHandler != nil {
		return d.outside.CallerHandler(d)
	}
	h := caller.NewHandler(d.table.Load, d.Route, caller.WithMaxBody(d.settings.Body), caller.WithRefusalObserver(d.RecordRefusal))
	return h, h.MayStartEarly
}

// parting has each connection closed after its next answer once the daemon leaves.
// One that is kept might be closed just as its caller sends the next request.
func (d *Daemon) parting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// guarded answers a request whose handling panics, and goes on with the others. What
// has become of the request is not known.
func (d *Daemon) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := guard.Run(func() { next.ServeHTTP(w, r) })
		if errors.Is(err, http.ErrAbortHandler) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			d.notePanic("request of a caller", err)
			// Of an answer that has begun the head is out, and the caller sees its end
			// missing.
			w.WriteHeader(http.StatusBadGateway)
		}
	})
}

// endCallers lets the requests of callers finish, and ends their connections.
func (d *Daemon) endCallers(ctx context.Context) error {
	// Closing a connection would cut off what was begun there before its turn.
	for d.ingress.EarlyRequests() > 0 && storage.Sleep(ctx, drainPoll) == nil {
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
