package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"fulmarrun/tcp"
)

// Ingress is an http.Handler that serves several requests of one connection
// concurrently.
type Ingress struct {
	handler http.Handler
	config  settings
	// early counts the requests that were started early and are not answered yet.
	early atomic.Int64
}

// Option configures an Ingress.
type Option func(*settings)

type settings struct {
	mayStartEarly func(*http.Request) bool
	// charge is called with the size of a recorded answer; the function that it returns is called when
	// the answer is written.
	charge       func(ctx context.Context, bytes int) (release func())
	maxPipelined int
	maxReadAhead int

	// read and sameRequest are replaced by tests only.
	read        func(data []byte) (head, headStatus)
	sameRequest func(a, b *http.Request) bool
}

// WithEarlyStart is a functional option that sets which requests may be started before
// those ahead of them on their connection are answered; by default none is. The
// function is called for requests without a body only.
func WithEarlyStart(may func(*http.Request) bool) Option {
	return func(s *settings) { s.mayStartEarly = may }
}

// WithRecordedCharge is a functional option that sets a function to call with the size in bytes of each
// answer that waits until those ahead of it on its connection are written. The function that it returns is
// called once the answer is written; it is not called if the connection closes before.
func WithRecordedCharge(charge func(ctx context.Context, bytes int) (release func())) Option {
	return func(s *settings) { s.charge = charge }
}

// WithMaxPipelined is a functional option that bounds the requests of one connection
// that are started early and not answered.
func WithMaxPipelined(n int) Option {
	return func(s *settings) { s.maxPipelined = n }
}

// New returns an Ingress that has next answer the requests.
func New(handler http.Handler, opts ...Option) *Ingress {
	i := &Ingress{handler: handler, config: settings{
		mayStartEarly: func(*http.Request) bool { return false }, charge: func(context.Context, int) func() { return func() {} }, maxPipelined: defaultMaxPipelined, maxReadAhead: defaultReadAhead,
		read: readHead, sameRequest: sameRequest,
	}}
	for _, opt := range opts {
		opt(&i.config)
	}
	return i
}

// Listen returns a listener that wraps the connections of l for the ingress.
func (i *Ingress) Listen(l net.Listener) net.Listener { return &listener{Listener: l, ingress: i} }

type listener struct {
	net.Listener
	ingress *Ingress
}

// Accept waits for the next connection and wraps it.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http looks at the error itself.
	}
	return newConn(conn, l.ingress), nil
}

// EarlyRequests returns the number of requests that were started early and are not
// answered yet. A server that shuts down should not close connections while there are
// any.
func (i *Ingress) EarlyRequests() int { return int(i.early.Load()) }

type contextKey struct{}

// ConnContext makes the connection of a request available to the handler. Set it as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = context.WithValue(ctx, contextKey{}, conn)
	if c, ok := conn.(*Conn); ok {
		c.setContext(ctx)
	}
	return ctx
}

// CallerGone reports whether the caller of a request has closed its connection. A request may
// have waited unread for longer than its caller does, and net/http notices that only
// while the request is already on its way.
func CallerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	switch conn := ctx.Value(contextKey{}).(type) {
	case *Conn:
		return tcp.ClosedByPeer(conn.Conn)
	case net.Conn:
		return tcp.ClosedByPeer(conn)
	}
	return false
}

// ServeHTTP serves one request. If the request was started early, ServeHTTP waits for
// the recorded answer and writes it.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(contextKey{}).(*Conn)
	if !ok {
		i.handler.ServeHTTP(w, r)
		return
	}
	early := c.startServing(r)
	defer c.finishServing()
	out := &responseWriter{ResponseWriter: w, conn: c}
	if early == nil {
		i.handler.ServeHTTP(out, r)
		out.finish()
		return
	}
	defer i.early.Add(-1)
	<-early.done
	if early.err != nil {
		// net/http closes the connection, as after a panic of any other request.
		panic(panicValue(early.err))
	}
	early.recorder.writeTo(out)
	early.release()
}

// panicValue returns what net/http is to be panicked with: it compares with ErrAbortHandler
// itself.
func panicValue(err error) any {
	if errors.Is(err, http.ErrAbortHandler) {
		return http.ErrAbortHandler
	}
	return err
}

// responseWriter writes an answer to the connection.
type responseWriter struct {
	http.ResponseWriter
	conn  *Conn
	wrote bool
}

// WriteHeader writes the status. It removes a Connection header that would close the
// connection if requests behind this one have been started.
func (w *responseWriter) WriteHeader(status int) {
	w.wrote = w.wrote || status >= http.StatusOK
	h := w.Header()
	if h.Get("Connection") != "" && !w.conn.mayClose() {
		h.Del("Connection")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes to the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // Handlers look at the error itself.
}

// finish writes the status for a handler that has set a Connection header but written
// nothing.
func (w *responseWriter) finish() {
	if !w.wrote && w.Header().Get("Connection") != "" {
		w.WriteHeader(http.StatusOK)
	}
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
