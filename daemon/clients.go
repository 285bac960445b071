package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fulmarrun/budget"
	"fulmarrun/peer"
	"fulmarrun/pipeline"
)

const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// clientShareDivisor and clientShare set how many of the other file descriptors clients may use. The
	// rest is for connections to other daemons, the target and the platform.
	clientShare        = 3
	clientShareDivisor = 4
	// acceptRetry is the time between two tries to accept a connection for which there was no
	// descriptor.
	acceptRetry = 10 * time.Millisecond
)

// WithClientBudget is a functional option that passes options to the budget that the clients of all
// listeners share.
func WithClientBudget(opts ...budget.Option) Option {
	return func(d *Daemon) { d.budgetOptions = append(d.budgetOptions, opts...) }
}

// WithDescriptors is a functional option that sets how many file descriptors the process may use, if that
// is less than its own limit.
func WithDescriptors(n int) Option {
	return func(d *Daemon) { d.descriptors = n }
}

// newClientBudget returns the budget of the clients of all listeners.
func (d *Daemon) newClientBudget() *budget.Account {
	descriptors := uint64(max(d.descriptors, 0))
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || limit.Cur < descriptors) {
		descriptors = limit.Cur
	}
	var opts []budget.Option
	if descriptors > 0 {
		descriptors -= min(reservedDescriptors, descriptors/clientShareDivisor)
		opts = append(opts, budget.WithClients(int(descriptors/clientShareDivisor*clientShare)))
	}
	return budget.NewAccount(append(opts, d.budgetOptions...)...)
}

// clientListener accepts the connections of clients as far as the budget allows.
type clientListener struct {
	net.Listener
	account *budget.Account
	// chargeHeads is true if what arrives outside of a body is the head of a request.
	chargeHeads bool
}

// Accept waits for the next connection for which there is room, and closes those before it. While the
// process has no descriptors left, it evicts clients.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if isExhausted(err) {
			l.account.Evict(time.Now())
			time.Sleep(acceptRetry)
			continue
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http looks at the error itself.
		}
		c := &clientConn{Conn: conn, chargeHeads: l.chargeHeads}
		if c.client = l.account.Open(time.Now(), func() { _ = conn.Close() }); c.client != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// isExhausted reports whether a connection could not be accepted for want of resources, or was
// closed before.
func isExhausted(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// listenHTTP returns a listener for the HTTP requests of clients.
func (d *Daemon) listenHTTP(l net.Listener) net.Listener {
	return &clientListener{Listener: l, account: d.clients, chargeHeads: true}
}

// clientConn is the connection of a client.
type clientConn struct {
	net.Conn
	client      *budget.Client
	chargeHeads bool
	// bodies counts the bodies that are being read, which are charged by what they return.
	bodies atomic.Int32
	// head is what is charged for heads, in bytes.
	head atomic.Int64
}

// NetConn returns the wrapped connection.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Read charges what arrives as the head of a request.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.chargeHeads || c.bodies.Load() > 0 {
		return n, err //nolint:wrapcheck // net/http looks at the error itself.
	}
	cost := budget.HeadCost(n, bytes.Count(p[:n], []byte{'\n'}))
	if !c.client.Reserve(time.Now(), cost) {
		_ = c.Close()
		return 0, budget.ErrNoRoom
	}
	c.head.Add(cost)
	return n, err //nolint:wrapcheck // net/http looks at the error itself.
}

// Close closes the connection and returns what is charged to the client.
func (c *clientConn) Close() error {
	c.client.Close()
	return c.Conn.Close() //nolint:wrapcheck // net/http looks at the error itself.
}

// CloseWrite closes the writing side.
func (c *clientConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite() //nolint:wrapcheck // net/http ignores it.
	}
	return nil
}

// releaseHeads returns what is charged for heads, but for the bytes that were read ahead.
func (c *clientConn) releaseHeads(readAhead int) {
	charged := c.head.Load()
	kept := min(charged, budget.MaxHeadCost(readAhead))
	c.head.Add(kept - charged)
	c.client.Release(charged - kept)
}

// clientConnOf returns the connection of a client within one of a server; nil if it is none.
func clientConnOf(conn net.Conn) *clientConn {
	if p, ok := conn.(*pipeline.Conn); ok {
		conn = p.Conn
	}
	c, _ := conn.(*clientConn)
	return c
}

type clientKey struct{}

// clientContext makes the connection available to chargeClient.
func clientContext(ctx context.Context, conn net.Conn) context.Context {
	if c := clientConnOf(conn); c != nil {
		return context.WithValue(ctx, clientKey{}, c)
	}
	return ctx
}

// releaseIdle returns what is charged for the heads of a connection whose requests are answered.
func releaseIdle(conn net.Conn, state http.ConnState) {
	c := clientConnOf(conn)
	if c == nil || state != http.StateIdle {
		return
	}
	readAhead := 0
	if p, ok := conn.(*pipeline.Conn); ok {
		readAhead = p.ReadAhead()
	}
	c.releaseHeads(readAhead)
}

// chargeClient charges the bodies of requests and answers to the client. A request whose body has arrived
// is served; before that, and while its answer is written, the process waits for the client.
func chargeClient(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(clientKey{}).(*clientConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		e := &exchange{conn: c}
		defer e.end()
		switch {
		case !e.reserve(budget.RequestCost):
			// Handlers refuse a request whose body can't be read, each in its own way.
			r.Body, r.ContentLength = noRoom{}, -1
		case r.Body == nil || r.Body == http.NoBody:
			e.serve()
		default:
			r.Body = &clientBody{ReadCloser: r.Body, exchange: e}
		}
		next.ServeHTTP(&clientWriter{ResponseWriter: w, exchange: e}, r)
	})
}

// exchange is one request of a client and its answer.
type exchange struct {
	conn *clientConn
	// charged is what is charged for the request, in bytes.
	charged int64
	served  bool
}

// reserve charges memory for the request, and reports whether there is room.
func (e *exchange) reserve(n int64) bool {
	if !e.conn.client.Reserve(time.Now(), n) {
		return false
	}
	e.charged += n
	return true
}

// serve records that the whole request has arrived.
func (e *exchange) serve() {
	if !e.served {
		e.served = true
		e.conn.client.Serve()
	}
}

func (e *exchange) end() {
	if e.served {
		e.conn.client.Wait(time.Now())
	}
	e.conn.client.Release(e.charged)
}

// noRoom is the body of a request for which there is no room.
type noRoom struct{}

// Read fails.
func (noRoom) Read([]byte) (int, error) { return 0, budget.ErrNoRoom }

// Close does nothing.
func (noRoom) Close() error { return nil }

// clientBody is the body of a request, which is charged as it is read.
type clientBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read reads from the body. It fails if there is no room for more.
func (b *clientBody) Read(p []byte) (int, error) {
	e := b.exchange
	e.conn.bodies.Add(1)
	n, err := b.ReadCloser.Read(p)
	e.conn.bodies.Add(-1)
	if n > 0 && !e.reserve(budget.BodyCost(n)) {
		return 0, budget.ErrNoRoom
	}
	if errors.Is(err, io.EOF) {
		e.serve()
	}
	return n, err //nolint:wrapcheck // Handlers look at the error itself.
}

// clientWriter writes an answer to a client.
type clientWriter struct {
	http.ResponseWriter
	exchange *exchange
}

// Write writes to the body of the answer. Meanwhile the client may be evicted.
func (w *clientWriter) Write(p []byte) (int, error) {
	client := w.exchange.conn.client
	client.Charge(time.Now(), int64(len(p)))
	defer client.Release(int64(len(p)))
	if w.exchange.served {
		client.Wait(time.Now())
		defer client.Serve()
	}
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // Handlers look at the error itself.
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// chargeRecorded charges an answer that waits until those ahead of it are written. It closes the
// connection if there is no room: of a client that sends requests ahead any number of answers may wait,
// and it isn't evicted while one of its requests is served.
func chargeRecorded(ctx context.Context, size int) (release func()) {
	c, ok := ctx.Value(clientKey{}).(*clientConn)
	if !ok {
		return func() {}
	}
	if !c.client.Reserve(time.Now(), int64(size)) {
		_ = c.Close()
		return func() {}
	}
	return func() { c.client.Release(int64(size)) }
}

// peerAccount returns the account of a connection of a peer. Calls that have arrived are charged to
// calls, since the connection may be closed before they end.
func peerAccount(calls *budget.Client) func(net.Conn) peer.Account {
	return func(conn net.Conn) peer.Account {
		client := clientConnOf(conn).client
		kept := atomic.Bool{}
		return peer.Account{
			Keep: func() {
				if kept.CompareAndSwap(false, true) {
					client.Keep()
				}
			},
			Reserve: func(n int64) bool {
				if kept.Load() {
					client.Charge(time.Now(), n)
					return true
				}
				return client.Reserve(time.Now(), n)
			},
			Release: client.Release,
			Admit: func(n int64) (func(), bool) {
				return func() { calls.Release(n) }, calls.Reserve(time.Now(), n)
			},
		}
	}
}
