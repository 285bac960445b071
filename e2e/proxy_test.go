package e2e_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// weather is what a proxy does to the bytes that pass.
type weather struct {
	// delay is how much later they arrive.
	delay time.Duration
	// up and down are true if bytes to the server, or back, are held up.
	up, down bool
}

// proxy passes connections on to one address, and can harm them from outside.
type proxy struct {
	addr, to string
	listener net.Listener

	mu    sync.Mutex
	now   weather
	conns map[net.Conn]bool
}

func newProxy(t testing.TB, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{addr: l.Addr().String(), to: to, listener: l, conns: make(map[net.Conn]bool)}
	go p.serve()
	t.Cleanup(func() {
		_ = l.Close()
		p.set(weather{})
		p.reset()
	})
	return p
}

func (p *proxy) set(w weather) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = w
}

func (p *proxy) weather() weather {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// reset breaks all connections off.
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

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.pass(in, out, func(w weather) bool { return w.up })
		go p.pass(out, in, func(w weather) bool { return w.down })
	}
}

// pass copies bytes one way, and holds them up as the weather has it.
func (p *proxy) pass(from, to net.Conn, held func(weather) bool) {
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
		for w := p.weather(); held(w); w = p.weather() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(p.weather().delay)
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
