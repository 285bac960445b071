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

// DefaultMaxCalls is how many calls one connection may have running.
const DefaultMaxCalls = 4096

// Option configures a Server or a Client.
type Option func(*options)

type options struct {
	maxFrame int
	maxCalls int

	// The seams are replaced by tests alone.
	fill  func(io.Reader, []byte) (int, error)
	match func(*clientConn, uint64) *waiter
}

func newOptions(opts []Option) options {
	o := options{
		maxFrame: DefaultMaxFrame, maxCalls: DefaultMaxCalls,
		fill: io.ReadFull, match: (*clientConn).take,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithMaxFrame is a functional option that sets the longest frame accepted, in
// bytes.
func WithMaxFrame(bytes int) Option {
	return func(o *options) { o.maxFrame = bytes }
}

// WithMaxCalls is a functional option that sets how many calls one connection
// may have running at a server; more are refused.
func WithMaxCalls(n int) Option {
	return func(o *options) { o.maxCalls = n }
}

// maxIdleWorkers bounds the goroutines of one connection that wait for a call.
const maxIdleWorkers = 16

type handler func(ctx context.Context, body []byte) (func(context.Context) (msgp.Marshaler, error), error)

// ServerStats counts what a Server has met.
type ServerStats struct {
	// MalformedFrames counts connections that ended for a bad frame.
	MalformedFrames uint64
	// OpenConns is the number of connections now.
	OpenConns int
}

// Server answers the calls of other daemons.
type Server struct {
	opts      options
	handlers  [256]handler
	malformed atomic.Uint64
	panicked  func(error)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(opts ...Option) *Server {
	return &Server{opts: newOptions(opts), conns: make(map[net.Conn]struct{}), panicked: func(error) {}}
}

// OnPanic names what is told of each call whose handling has panicked; it must be called
// before Serve. The peer is told that the call failed.
func (s *Server) OnPanic(f func(error)) { s.panicked = f }

// Handle registers fn for frames of the given kind. It must not be called after
// Serve. The message is fn's to keep.
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
		tcp.Watch(conn, tcp.WithSilence(tcp.PeerSilence))
		go s.serveConn(conn)
	}
}

// Close ends all connections and waits for the handlers. The listener is the
// caller's to close first.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Stats returns what the server has met so far.
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
	c := &serverConn{
		server:  s,
		reader:  NewFrameReader(conn, s.opts.maxFrame),
		writer:  newFrameWriter(conn),
		ended:   cancel,
		running: make(map[uint64]context.CancelFunc),
		read:    make(chan struct{}, 1),
	}
	defer c.wg.Wait()
	c.read <- struct{}{}
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

// serverConn is one connection of a peer. Of its goroutines one reads at a time;
// whoever has read a call passes the reading on and runs it.
type serverConn struct {
	server *Server
	reader *FrameReader
	writer *frameWriter
	// ended ends the context of the connection.
	ended context.CancelFunc
	wg    sync.WaitGroup
	// read holds the right to read, unless somebody has it.
	read chan struct{}
	idle atomic.Int32

	mu      sync.Mutex
	running map[uint64]context.CancelFunc
}

// work reads and runs one call after another. It ends with the connection, or if
// enough others wait.
func (c *serverConn) work(ctx context.Context) {
	defer c.wg.Done()
	for c.idle.Add(1) <= maxIdleWorkers {
		select {
		case <-c.read:
			c.idle.Add(-1)
		case <-ctx.Done():
			return
		}
		w, err := c.next(ctx)
		if err != nil {
			if isMalformed(err) {
				c.server.malformed.Add(1)
			}
			c.ended()
			return
		}
		if c.idle.Load() == 0 {
			c.wg.Add(1)
			go c.work(ctx)
		}
		c.read <- struct{}{}
		c.run(w)
	}
	c.idle.Add(-1)
}

// next reads up to the next call that begins.
func (c *serverConn) next(ctx context.Context) (*call, error) {
	for {
		frame, err := c.reader.Next()
		if err != nil {
			return nil, err
		}
		if w, err := c.accept(ctx, frame); w != nil || err != nil {
			return w, err
		}
	}
}

// accept returns the call of a frame; nil if the frame is none or the call does
// not begin.
func (c *serverConn) accept(ctx context.Context, frame Frame) (*call, error) {
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
	var run func(context.Context) (msgp.Marshaler, error)
	var err error
	if panicked := guard.Run(func() { run, err = h(ctx, frame.Body) }); panicked != nil {
		c.server.panicked(panicked)
		err = panicked
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadFrame, err)
	}
	callCtx, cancel := context.WithCancel(ctx)
	switch c.begin(frame.ID, cancel) {
	case begun:
		return &call{ctx: callCtx, cancel: cancel, kind: frame.Kind, id: frame.ID, run: run}, nil
	case full:
		cancel()
		return nil, c.writer.write(kindFailed|replyBit, frame.ID, &wire.Ack{Reason: "full"})
	default:
		cancel()
		return nil, fmt.Errorf("ID %d is in use: %w", frame.ID, errBadFrame)
	}
}

// admission is whether a call may begin.
type admission uint8

const (
	begun admission = iota
	full
	duplicate
)

func (c *serverConn) begin(id uint64, cancel context.CancelFunc) admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, used := c.running[id]; used {
		return duplicate
	}
	// Waiting here would keep votes and cancellations from being read, and two
	// daemons full of each other's calls would wait for ever.
	if len(c.running) >= c.server.opts.maxCalls {
		return full
	}
	c.running[id] = cancel
	return begun
}

// call is one call that has begun.
type call struct {
	ctx    context.Context
	cancel context.CancelFunc
	kind   Kind
	id     uint64
	run    func(context.Context) (msgp.Marshaler, error)
}

func (c *serverConn) run(w *call) {
	var reply msgp.Marshaler
	var err error
	if panicked := guard.Run(func() { reply, err = w.run(w.ctx) }); panicked != nil {
		c.server.panicked(panicked)
		err = panicked
	}
	w.cancel()
	c.mu.Lock()
	delete(c.running, w.id)
	c.mu.Unlock()
	if err == nil {
		err = c.writer.write(w.kind|replyBit, w.id, reply)
	}
	if err != nil {
		// It has no effect on a connection that has ended.
		_ = c.writer.write(kindFailed|replyBit, w.id, &wire.Ack{OK: true, Reason: err.Error()})
	}
}

func (c *serverConn) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.running[id]; ok {
		cancel()
	}
}
