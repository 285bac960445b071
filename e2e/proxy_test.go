package e2e_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is how a proxy disturbs the bytes that it forwards.
type linkFault struct {
	// delay is added before each forwarded chunk.
	delay time.Duration
	// blockUp holds back bytes to the server, and blockDown bytes from the server.
	blockUp, blockDown bool
}

// proxy forwards TCP connections to one address and can inject faults into them.
type proxy struct {
	addr, server string
	listener     net.Listener

	mu      sync.Mutex
	current linkFault
	conns   map[net.Conn]bool
}

// newProxy starts a proxy to server on a free loopback port.
func newProxy(t testing.TB, server string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{addr: l.Addr().String(), server: server, listener: l, conns: make(map[net.Conn]bool)}
	go p.serve()
	t.Cleanup(func() {
		_ = l.Close()
		p.setFault(linkFault{})
		p.reset()
	})
	return p
}

// setFault replaces the fault for open and future connections.
func (p *proxy) setFault(w linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = w
}

// linkFault returns the fault in effect.
func (p *proxy) linkFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// serve accepts connections until the listener is closed.
func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.server)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.forward(in, out, func(w linkFault) bool { return w.blockUp })
		go p.forward(out, in, func(w linkFault) bool { return w.blockDown })
	}
}

// forward copies bytes in one direction, and delays or blocks them by the fault in effect.
func (p *proxy) forward(from, to net.Conn, blocked func(linkFault) bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, from)
		delete(p.conns, to)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for w := p.linkFault(); blocked(w); w = p.linkFault() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(p.linkFault().delay)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
