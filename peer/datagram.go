package peer

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"

	"fulmarrun/wire"
)

// maxDatagram is the maximum size of a heartbeat, in bytes.
const maxDatagram = 128

// Datagrams sends and receives heartbeats over UDP.
type Datagrams struct {
	conn      *net.UDPConn
	malformed atomic.Uint64
	sent      atomic.Uint64
	received  atomic.Uint64
	bytes     atomic.Uint64
}

// DatagramStats contains the counters of Datagrams.
type DatagramStats struct {
	Malformed uint64
	Sent      uint64
	Received  uint64
	// Bytes counts the payload bytes sent and received.
	Bytes uint64
}

// NewDatagrams returns a Datagrams that takes ownership of conn.
func NewDatagrams(conn *net.UDPConn) *Datagrams {
	return &Datagrams{conn: conn}
}

// Send sends one heartbeat. It does not report packets lost in the network.
func (d *Datagrams) Send(to netip.AddrPort, hb *wire.Heartbeat) error {
	var buf [maxDatagram]byte
	data, err := hb.MarshalMsg(buf[:0])
	if err != nil {
		return fmt.Errorf("encode heartbeat: %w", err)
	}
	if _, err := d.conn.WriteToUDPAddrPort(data, to); err != nil {
		return fmt.Errorf("send heartbeat: %w", err)
	}
	d.sent.Add(1)
	d.bytes.Add(uint64(len(data)))
	return nil
}

// Serve calls receive with each heartbeat that arrives, until Close. It drops and
// counts datagrams that are too long or do not decode.
func (d *Datagrams) Serve(receive func(from netip.AddrPort, hb wire.Heartbeat)) error {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			continue
		}
		var hb wire.Heartbeat
		if n > maxDatagram || wire.Decode(buf[:n], &hb) != nil {
			d.malformed.Add(1)
			continue
		}
		d.received.Add(1)
		d.bytes.Add(uint64(n))
		receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), hb)
	}
}

// Close closes the socket, which ends Serve.
func (d *Datagrams) Close() error {
	if err := d.conn.Close(); err != nil {
		return fmt.Errorf("close datagrams: %w", err)
	}
	return nil
}

// Stats returns the current counters.
func (d *Datagrams) Stats() DatagramStats {
	return DatagramStats{
		Malformed: d.malformed.Load(), Sent: d.sent.Load(),
		Received: d.received.Load(), Bytes: d.bytes.Load(),
	}
}
