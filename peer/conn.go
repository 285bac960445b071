package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/guard"
	"fulmarrun/wire"
)

type pendingCall struct {
	kind     Kind
	response wire.Message
	done     chan error
}

type clientConn struct {
	client  *Client
	link    *link
	netConn net.Conn
	writer  *frameWriter

	mu       sync.Mutex
	pending  map[uint64]*pendingCall
	liveness liveness
	closed   bool
}

func newClientConn(c *Client, l *link, netConn net.Conn) *clientConn {
	return &clientConn{
		client: c, link: l, netConn: netConn,
		writer:  newFrameWriter(netConn),
		pending: make(map[uint64]*pendingCall),
	}
}

func (c *clientConn) send(ctx context.Context, kind Kind, id uint64, q wire.Message, call *pendingCall) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return ErrNotSent
	}
	unresponsive, ping := c.liveness.beforeCall(time.Now(), len(c.pending))
	if unresponsive {
		c.mu.Unlock()
		return fmt.Errorf("%w: %w", ErrNotSent, errUnresponsive)
	}
	c.pending[id] = call
	c.mu.Unlock()
	err := c.writer.writeContext(ctx, kind, id, q)
	if ping && err == nil {
		err = c.writer.write(kindPing, c.client.lastID.Add(1), &wire.Ack{})
	}
	switch {
	case errors.Is(err, errEncode), errors.Is(err, errCancelled):
		c.removePending(id)
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		c.fail(err)
	}
	return nil
}

// cancel notifies the peer that the call no longer waits for a reply.
func (c *clientConn) cancel(id uint64) {
	if err := c.writer.write(KindCancel, id, &wire.Cancel{Reason: "given up"}); err != nil {
		c.fail(err)
	}
}

func (c *clientConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

func (c *clientConn) removePending(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.pending[id]
	delete(c.pending, id)
	return ok
}

func (c *clientConn) takePending(id uint64) *pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.pending[id]
	delete(c.pending, id)
	return call
}

func (c *clientConn) read() {
	reader := NewFrameReader(c.netConn, c.client.opts.maxFrame)
	reader.readFull = c.client.opts.readFull
	for {
		frame, err := reader.Next()
		if err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		c.liveness.frameReceived(time.Now())
		c.mu.Unlock()
		if frame.Kind == kindPing|replyBit {
			continue
		}
		call := c.client.opts.takeCall(c, frame.ID)
		if call == nil {
			c.client.lateReplies.Add(1)
			continue
		}
		switch frame.Kind {
		case call.kind | replyBit:
			var err error
			panicked := guard.Run(func() { err = wire.Decode(frame.Body, call.response) })
			if panicked != nil {
				c.client.onPanic(panicked)
				call.done <- fmt.Errorf("%w: %w", ErrBroken, panicked)
				c.fail(errBadFrame)
				return
			}
			call.done <- err
		case kindFailed | replyBit:
			call.done <- failureError(frame.Body)
		default:
			call.done <- fmt.Errorf("unexpected kind %d of a reply: %w", frame.Kind, ErrBroken)
			c.fail(errBadFrame)
			return
		}
	}
}

// failureError returns the error that a frame of kind kindFailed reports.
func failureError(body []byte) error {
	var ack wire.Ack
	if err := wire.Decode(body, &ack); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if ack.OK {
		return fmt.Errorf("%w: %s", ErrFailed, ack.Reason)
	}
	return fmt.Errorf("%w: %s", ErrRefused, ack.Reason)
}

// fail closes the connection and returns cause to all pending calls.
func (c *clientConn) fail(cause error) {
	c.link.conn.CompareAndSwap(c, nil)
	_ = c.netConn.Close()
	c.mu.Lock()
	pending := c.pending
	c.pending = nil
	c.closed = true
	c.mu.Unlock()
	for _, call := range pending {
		call.done <- fmt.Errorf("%w: %w", ErrBroken, cause)
	}
}
