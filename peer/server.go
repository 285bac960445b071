package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"fulmarrun/guard"
	"fulmarrun/tcp"
	"fulmarrun/wire"
)

// DefaultMaxCalls is the maximum number of concurrent calls on one connection.
const DefaultMaxCalls = 4096

// Option configures a Server or a Client.
type Option func(*options)

type options struct {
	maxFrame int
	maxCalls int
	account  func(net.Conn) Account

	// Only tests replace the following functions.
	readFull func(io.Reader, []byte) (int, error)
	takeCall func(*clientConn, uint64) *pendingCall
}

func newOptions(opts []Option) options {
	o := options{
		maxFrame: DefaultMaxFrame, maxCalls: DefaultMaxCalls, account: func(net.Conn) Account { return freeAccount() },
		readFull: io.ReadFull, takeCall: (*clientConn).takePending,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithMaxFrame is a functional option that sets the maximum length of a received frame,
// in bytes.
func WithMaxFrame(bytes int) Option {
	return func(o *options) { o.maxFrame = bytes }
}

// WithMaxCalls is a functional option that sets the maximum number of concurrent calls
// on one connection of a server. The server refuses further calls.
func WithMaxCalls(n int) Option {
	return func(o *options) { o.maxCalls = n }
}

// Account is what a connection to a server is charged for the memory of what arrives on it.
type Account struct {
	// Keep is called with each frame of a known kind: the other side is a daemon.
	Keep func()
	// Reserve charges a part of a frame, in bytes, and Release returns it once the frame was decoded. If
	// Reserve reports false, the connection is closed.
	Reserve func(bytes int64) bool
	Release func(bytes int64)
	// Admit charges a call for as long as it runs. If it reports false, the call is refused.
	Admit func(bytes int64) (release func(), ok bool)
}

// freeAccount returns an account that charges nothing.
func freeAccount() Account {
	return Account{
		Keep: func() {}, Reserve: func(int64) bool { return true }, Release: func(int64) {},
		Admit: func(int64) (func(), bool) { return func() {}, true },
	}
}

// WithAccount is a functional option that sets the function that returns the account of a connection to
// a server.
func WithAccount(account func(net.Conn) Account) Option {
	return func(o *options) { o.account = account }
}

// maxIdleWorkers bounds the goroutines of one connection that wait to read a call.
const maxIdleWorkers = 16

type handler func(ctx context.Context, body []byte) (func(context.Context) (msgp.Marshaler, error), error)

// ServerStats contains the counters of a Server.
type ServerStats struct {
	// MalformedFrames counts connections that were closed for a malformed frame.
	MalformedFrames uint64
	// OpenConns is the number of open connections.
	OpenConns int
}

// Server answers the calls of other daemons.
type Server struct {
	opts      options
	handlers  [256]handler
	malformed atomic.Uint64
	onPanic   func(error)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(opts ...Option) *Server {
	return &Server{opts: newOptions(opts), conns: make(map[net.Conn]struct{}), onPanic: func(error) {}}
}

// OnPanic sets the function that is called with each panic while a call is decoded or
// handled. It must be called before Serve. A panic in a handler fails the call; one
// while decoding closes the connection.
func (s *Server) OnPanic(f func(error)) { s.onPanic = f }

// Handle registers fn for frames of the given kind. It must not be called after Serve.
// fn may keep the message.
func Handle[Q, R any, PQ interface {
	*Q
	wire.Message
}, PR interface {
	*R
	wire.Message
}](s *Server, kind Kind, fn func(ctx context.Context, q PQ) (PR, error),
) {
	s.handlers[kind] = func(_ context.Context, body []byte) (func(context.Context) (msgp.Marshaler, error), error) {
		q := PQ(new(Q))
		if err := wire.Decode(body, q); err != nil {
			return nil, fmt.Errorf("kind %d: %w", kind, err)
		}
		return func(ctx context.Context) (msgp.Marshaler, error) { return fn(ctx, q) }, nil
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		tcp.SetTimeouts(conn, tcp.WithAckTimeout(tcp.PeerAckTimeout))
		go s.serveConn(conn)
	}
}

// Close closes all connections and waits for the handlers. The caller must close the
// listener first.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Stats returns the current counters.
func (s *Server) Stats() ServerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServerStats{MalformedFrames: s.malformed.Load(), OpenConns: len(s.conns)}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
	s.wg.Done()
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.untrack(conn)
	ctx, cancel := context.WithCancel(context.Background())
	account := s.opts.account(conn)
	reader := NewFrameReader(conn, s.opts.maxFrame)
	reader.reserve, reader.release = account.Reserve, account.Release
	c := &serverConn{
		server:        s,
		account:       account,
		reader:        reader,
		writer:        newFrameWriter(conn),
		cancelContext: cancel,
		running:       make(map[uint64]context.CancelFunc),
		readToken:     make(chan struct{}, 1),
	}
	defer c.wg.Wait()
	c.readToken <- struct{}{}
	c.wg.Add(1)
	c.work(ctx)
	<-ctx.Done()
}

func isMalformed(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) {
		return false
	}
	return errors.Is(err, ErrFrameTooLong) || errors.Is(err, ErrFrameTooShort) || errors.Is(err, errBadFrame)
}

var errBadFrame = errors.New("bad frame")

// serverConn is one connection of a peer. One worker goroutine reads at a time; after
// it has read a call, it hands the right to read to another worker and runs the call.
type serverConn struct {
	server  *Server
	account Account
	reader  *FrameReader
	writer  *frameWriter
	// cancelContext cancels the context of the connection.
	cancelContext context.CancelFunc
	wg            sync.WaitGroup
	// readToken holds a token while no worker reads; a worker takes it to read.
	readToken   chan struct{}
	idleWorkers atomic.Int32

	mu      sync.Mutex
	running map[uint64]context.CancelFunc
}

// work reads and runs one call after another. It returns when the connection ends, or
// when maxIdleWorkers other workers are idle.
func (c *serverConn) work(ctx context.Context) {
	defer c.wg.Done()
	for c.idleWorkers.Add(1) <= maxIdleWorkers {
		select {
		case <-c.readToken:
			c.idleWorkers.Add(-1)
		case <-ctx.Done():
			return
		}
		next, err := c.nextCall(ctx)
		if err != nil {
			if isMalformed(err) {
				c.server.malformed.Add(1)
			}
			c.cancelContext()
			return
		}
		if c.idleWorkers.Load() == 0 {
			c.wg.Add(1)
			go c.work(ctx)
		}
		c.readToken <- struct{}{}
		c.run(next)
	}
	c.idleWorkers.Add(-1)
}

// nextCall reads frames until one starts a call.
func (c *serverConn) nextCall(ctx context.Context) (*acceptedCall, error) {
	for {
		frame, err := c.reader.Next()
		if err != nil {
			return nil, err
		}
		if next, err := c.handleFrame(ctx, frame); next != nil || err != nil {
			return next, err
		}
	}
}

// handleFrame returns the call that a frame starts; nil if the frame starts none or the
// call is refused.
func (c *serverConn) handleFrame(ctx context.Context, frame Frame) (*acceptedCall, error) {
	if frame.Kind == KindCancel {
		c.cancel(frame.ID)
		return nil, nil
	}
	if frame.Kind == kindPing {
		return nil, c.writer.write(kindPing|replyBit, frame.ID, &wire.Ack{OK: true})
	}
	h := c.server.handlers[frame.Kind]
	if h == nil {
		return nil, fmt.Errorf("no handler for kind %d: %w", frame.Kind, errBadFrame)
	}
	release, ok := c.account.Admit(int64(len(frame.Body)))
	if !ok {
		return nil, c.writer.write(kindFailed|replyBit, frame.ID, &wire.Ack{Reason: "full"})
	}
	next, err := c.decodeCall(ctx, h, frame)
	if next == nil {
		release()
		return nil, err
	}
	c.account.Keep()
	next.release = release
	return next, nil
}

// decodeCall returns the call that a frame starts; nil if the call is refused.
func (c *serverConn) decodeCall(ctx context.Context, h handler, frame Frame) (*acceptedCall, error) {
	var run func(context.Context) (msgp.Marshaler, error)
	var err error
	if panicked := guard.Run(func() { run, err = h(ctx, frame.Body) }); panicked != nil {
		c.server.onPanic(panicked)
		err = panicked
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadFrame, err)
	}
	callCtx, cancel := context.WithCancel(ctx)
	switch c.admit(frame.ID, cancel) {
	case admitted:
		return &acceptedCall{ctx: callCtx, cancel: cancel, kind: frame.Kind, id: frame.ID, run: run}, nil
	case overLimit:
		cancel()
		return nil, c.writer.write(kindFailed|replyBit, frame.ID, &wire.Ack{Reason: "full"})
	default:
		cancel()
		return nil, fmt.Errorf("ID %d is in use by a running call: %w", frame.ID, errBadFrame)
	}
}

// admitResult is the result of admit.
type admitResult uint8

const (
	admitted admitResult = iota
	overLimit
	duplicateID
)

func (c *serverConn) admit(id uint64, cancel context.CancelFunc) admitResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, duplicate := c.running[id]; duplicate {
		return duplicateID
	}
	// Waiting here would block the votes and cancellations behind this call, and two
	// daemons that are each full of the other's calls would deadlock.
	if len(c.running) >= c.server.opts.maxCalls {
		return overLimit
	}
	c.running[id] = cancel
	return admitted
}

// acceptedCall is a call that was admitted.
type acceptedCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	kind   Kind
	id     uint64
	run    func(context.Context) (msgp.Marshaler, error)
	// release returns what is charged for the call.
	release func()
}

func (c *serverConn) run(accepted *acceptedCall) {
	defer accepted.release()
	var reply msgp.Marshaler
	var err error
	if panicked := guard.Run(func() { reply, err = accepted.run(accepted.ctx) }); panicked != nil {
		c.server.onPanic(panicked)
		err = panicked
	}
	accepted.cancel()
	c.mu.Lock()
	delete(c.running, accepted.id)
	c.mu.Unlock()
	if err == nil {
		err = c.writer.write(accepted.kind|replyBit, accepted.id, reply)
	}
	if err != nil {
		// The write has no effect if the connection has ended.
		_ = c.writer.write(kindFailed|replyBit, accepted.id, &wire.Ack{OK: true, Reason: err.Error()})
	}
}

func (c *serverConn) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.running[id]; ok {
		cancel()
	}
}
