package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"fulmarrun/caller"
	"fulmarrun/guard"
	"fulmarrun/pipeline"
	"fulmarrun/storage"
)

// assembleCallerServer creates the HTTP server for callers.
func (d *Daemon) assembleCallerServer() {
	handler, mayStartEarly := d.callerHandler()
	d.ingress = pipeline.New(chargeClient(d.recoverPanics(d.closeWhenLeaving(handler))), pipeline.WithEarlyStart(func(r *http.Request) bool {
		return !d.leaving.Load() && d.clients.Plenty() && mayStartEarly(r)
	}), pipeline.WithRecordedCharge(chargeRecorded))
	d.callerServer = &http.Server{
		Handler: d.ingress, ConnState: releaseIdle,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return pipeline.ConnContext(clientContext(ctx, conn), conn)
		},
		MaxHeaderBytes: d.settings.MaxHeader, ReadHeaderTimeout: headerTimeout,
	}
}

// callerHandler returns the handler of callers' requests, and a function that reports
// whether a pipelined request may start before the earlier ones on its connection are
// answered.
func (d *Daemon) callerHandler() (http.Handler, func(*http.Request) bool) {
	if d.protocols.CallerHandler != nil {
		return d.protocols.CallerHandler(d)
	}
	h := caller.NewHandler(d.table.Load, d.Route, caller.WithMaxBody(d.settings.MaxBody), caller.WithRefusalObserver(d.RecordRefusal))
	return h, h.MayStartEarly
}

// closeWhenLeaving closes each connection after its next response once the daemon is
// leaving. A connection that stays open could be closed just as its caller sends the
// next request.
func (d *Daemon) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// recoverPanics answers a request whose handler panics and keeps serving others.
// Whether the request was executed is unknown.
func (d *Daemon) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := guard.Run(func() { next.ServeHTTP(w, r) })
		if errors.Is(err, http.ErrAbortHandler) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			d.logPanic("request of a caller", err)
			// If the response has already started, its header has been sent and
			// WriteHeader does nothing; the caller sees a truncated response.
			w.WriteHeader(http.StatusBadGateway)
		}
	})
}

// shutDownCallers lets callers' requests finish and closes their connections.
func (d *Daemon) shutDownCallers(ctx context.Context) error {
	// Closing a connection would abort its pipelined requests that started early.
	for d.ingress.EarlyRequests() > 0 && storage.Sleep(ctx, drainPoll) == nil {
	}
	if err := d.callerServer.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
