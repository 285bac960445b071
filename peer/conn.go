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

type waiter struct {
	kind    Kind
	message wire.Message
	reply   chan error
}

type clientConn struct {
	client *Client
	link   *link
	raw    net.Conn
	writer *frameWriter

	mu      sync.Mutex
	waiters map[uint64]*waiter
	pulse   pulse
	dead    bool
}

func newClientConn(c *Client, l *link, raw net.Conn) *clientConn {
	return &clientConn{
		client: c, link: l, raw: raw,
		writer:  newFrameWriter(raw),
		waiters: make(map[uint64]*waiter),
	}
}

func (c *clientConn) send(ctx context.Context, kind Kind, id uint64, q wire.Message, w *waiter) error {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return ErrNotSent
	}
	silent, ask := c.pulse.call(time.Now(), len(c.waiters))
	if silent {
		c.mu.Unlock()
		return fmt.Errorf("%w: %w", ErrNotSent, errSilent)
	}
	c.waiters[id] = w
	c.mu.Unlock()
	err := c.writer.writeUnless(ctx, kind, id, q)
	if ask && err == nil {
		err = c.writer.write(kindPing, c.client.next.Add(1), &wire.Ack{})
	}
	switch {
	case errors.Is(err, errEncode), errors.Is(err, errAbandoned):
		c.forget(id)
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		c.fail(err)
	}
	return nil
}

// cancel tells the peer that nobody waits for the call any more.
func (c *clientConn) cancel(id uint64) {
	if err := c.writer.write(KindCancel, id, &wire.Cancel{Reason: "given up"}); err != nil {
		c.fail(err)
	}
}

func (c *clientConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiters) == 0
}

func (c *clientConn) forget(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.waiters[id]
	delete(c.waiters, id)
	return ok
}

func (c *clientConn) take(id uint64) *waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiters[id]
	delete(c.waiters, id)
	return w
}

func (c *clientConn) read() {
	reader := NewFrameReader(c.raw, c.client.opts.maxFrame)
	reader.fill = c.client.opts.fill
	for {
		frame, err := reader.Next()
		if err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		c.pulse.heard(time.Now())
		c.mu.Unlock()
		if frame.Kind == kindPing|replyBit {
			continue
		}
		w := c.client.opts.match(c, frame.ID)
		if w == nil {
			c.client.late.Add(1)
			continue
		}
		switch frame.Kind {
		case w.kind | replyBit:
			var err error
			panicked := guard.Run(func() { err = wire.Decode(frame.Body, w.message) })
			if panicked != nil {
				c.client.panicked(panicked)
				w.reply <- fmt.Errorf("%w: %w", ErrBroken, panicked)
				c.fail(errBadFrame)
				return
			}
			w.reply <- err
		case kindFailed | replyBit:
			w.reply <- failure(frame.Body)
		default:
			w.reply <- fmt.Errorf("kind %d in a reply: %w", frame.Kind, ErrBroken)
			c.fail(errBadFrame)
			return
		}
	}
}

// failure returns the error that stands in place of a reply.
func failure(body []byte) error {
	var ack wire.Ack
	if err := wire.Decode(body, &ack); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if ack.OK {
		return fmt.Errorf("%w: %s", ErrFailed, ack.Reason)
	}
	return fmt.Errorf("%w: %s", ErrRefused, ack.Reason)
}

// fail ends the connection and everyone who waits on it.
func (c *clientConn) fail(cause error) {
	c.link.conn.CompareAndSwap(c, nil)
	_ = c.raw.Close()
	c.mu.Lock()
	waiters := c.waiters
	c.waiters = nil
	c.dead = true
	c.mu.Unlock()
	for _, w := range waiters {
		w.reply <- fmt.Errorf("%w: %w", ErrBroken, cause)
	}
}
