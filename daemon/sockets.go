package daemon

import (
	"fmt"
	"net"
	"net/netip"

	"fulmarrun/peer"
)

// maxBindAttempts bounds the search for a port that is free for both TCP and UDP.
const maxBindAttempts = 32

// listeners are the sockets of the process.
type listeners struct {
	peer     net.Listener
	caller   net.Listener
	target   net.Listener
	operator net.Listener
	// metrics is nil if the settings contain no metrics address.
	metrics net.Listener
}

func (d *Daemon) bind() error {
	if err := d.bindPeer(); err != nil {
		return err
	}
	s := d.settings
	for _, b := range []struct {
		listener *net.Listener
		addr     netip.AddrPort
		what     string
	}{
		{&d.listeners.caller, s.Caller, "callers"},
		{&d.listeners.target, s.Target, "target"},
		{&d.listeners.operator, s.Operator, "operators"},
		{&d.listeners.metrics, s.Metrics, "metrics"},
	} {
		if b.listener == &d.listeners.metrics && !b.addr.IsValid() {
			continue
		}
		l, err := net.Listen("tcp", b.addr.String())
		if err != nil {
			d.unbind()
			return fmt.Errorf("bind %s: %w", b.what, err)
		}
		*b.listener = l
	}
	d.settings.Caller = boundAddr(d.listeners.caller.Addr())
	d.settings.Target = boundAddr(d.listeners.target.Addr())
	d.settings.Operator = boundAddr(d.listeners.operator.Addr())
	if d.listeners.metrics != nil {
		d.settings.Metrics = boundAddr(d.listeners.metrics.Addr())
	}
	return nil
}

// bindPeer binds one port for both TCP and UDP. If the settings leave the port open, it
// retries until a port is free for both.
func (d *Daemon) bindPeer() error {
	var err error
	for range maxBindAttempts {
		var udp *net.UDPConn
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.settings.Peer)); err != nil {
			return fmt.Errorf("bind UDP port for heartbeats: %w", err)
		}
		bound := boundAddr(udp.LocalAddr())
		if d.listeners.peer, err = net.Listen("tcp", bound.String()); err == nil {
			d.datagrams, d.settings.Peer = peer.NewDatagrams(udp), bound
			return nil
		}
		_ = udp.Close()
		if d.settings.Peer.Port() != 0 {
			break
		}
	}
	return fmt.Errorf("bind port for peers: %w", err)
}

// boundAddr returns the address that a socket is bound to.
func boundAddr(a net.Addr) netip.AddrPort {
	switch a := a.(type) {
	case *net.TCPAddr:
		return a.AddrPort()
	case *net.UDPAddr:
		return a.AddrPort()
	default:
		return netip.AddrPort{}
	}
}

func (d *Daemon) unbind() {
	_ = d.datagrams.Close()
	for _, l := range []net.Listener{d.listeners.peer, d.listeners.caller, d.listeners.target, d.listeners.operator, d.listeners.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}
