package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"fulmarrun/tcp"
)

// Ingress serves the requests of callers, several of one connection at once.
type Ingress struct {
	next http.Handler
	set  settings
	// begun counts the requests that were begun before their turn and are not
	// answered yet.
	begun atomic.Int64
}

// Option configures an Ingress.
type Option func(*settings)

type settings struct {
	ahead func(*http.Request) bool
	calls int
	bytes int

	// The seams are replaced by tests alone.
	read func(data []byte) (head, verdict)
	same func(a, b *http.Request) bool
}

// WithEarlyStart is a functional option that names the requests that may be begun before
// those ahead of them on their connection are answered; without it none is. It is asked
// for requests without a body only.
func WithEarlyStart(may func(*http.Request) bool) Option {
	return func(s *settings) { s.ahead = may }
}

// WithMaxPipelined is a functional option that sets how many requests of one connection
// may have been begun and not be answered.
func WithMaxPipelined(n int) Option {
	return func(s *settings) { s.calls = n }
}

// New returns an Ingress that has next answer the requests.
func New(next http.Handler, opts ...Option) *Ingress {
	i := &Ingress{next: next, set: settings{
		ahead: func(*http.Request) bool { return false }, calls: defaultCalls, bytes: maxReceived,
		read: readHead, same: same,
	}}
	for _, opt := range opts {
		opt(&i.set)
	}
	return i
}

// Listen returns a listener whose connections belong to the ingress.
func (i *Ingress) Listen(l net.Listener) net.Listener { return &listener{Listener: l, ingress: i} }

type listener struct {
	net.Listener
	ingress *Ingress
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http looks at the error itself.
	}
	return newConn(conn, l.ingress), nil
}

// EarlyRequests returns how many requests were begun before their turn and are not answered
// yet. While there are any, a server that is to stop should not close connections.
func (i *Ingress) EarlyRequests() int { return int(i.begun.Load()) }

type contextKey struct{}

// ConnContext lets the handler see the connection of a request; it is meant for
// http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = context.WithValue(ctx, contextKey{}, conn)
	if c, ok := conn.(*Conn); ok {
		c.setContext(ctx)
	}
	return ctx
}

// CallerGone tells whether the caller of a request has closed its connection. A request may
// have waited unread for longer than its caller does, and net/http notices that only
// while the request is already on its way.
func CallerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	switch conn := ctx.Value(contextKey{}).(type) {
	case *Conn:
		return tcp.Gone(conn.Conn)
	case net.Conn:
		return tcp.Gone(conn)
	}
	return false
}

// ServeHTTP answers one request, or writes the answer that is ready.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(contextKey{}).(*Conn)
	if !ok {
		i.next.ServeHTTP(w, r)
		return
	}
	begun := c.enter(r)
	defer c.leave()
	out := &writer{ResponseWriter: w, conn: c}
	if begun == nil {
		i.next.ServeHTTP(out, r)
		out.end()
		return
	}
	defer i.begun.Add(-1)
	<-begun.done
	if begun.err != nil {
		// net/http ends the connection, as for any other request.
		panic(panicOf(begun.err))
	}
	begun.answer.writeTo(out)
}

// panicOf returns what net/http is to be panicked with: it compares with ErrAbortHandler
// itself.
func panicOf(err error) any {
	if errors.Is(err, http.ErrAbortHandler) {
		return http.ErrAbortHandler
	}
	return err
}

// writer is the way of an answer to the connection.
type writer struct {
	http.ResponseWriter
	conn  *Conn
	wrote bool
}

// WriteHeader keeps the connection open if requests behind this one have been begun.
func (w *writer) WriteHeader(status int) {
	w.wrote = w.wrote || status >= http.StatusOK
	h := w.Header()
	if h.Get("Connection") != "" && !w.conn.mayClose() {
		h.Del("Connection")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write adds to the body.
func (w *writer) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // Handlers look at the error itself.
}

// end answers for a handler that has written nothing.
func (w *writer) end() {
	if !w.wrote && w.Header().Get("Connection") != "" {
		w.WriteHeader(http.StatusOK)
	}
}

// Unwrap serves http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
