package control

import (
	"time"

	"fulmarrun/lease"
	"fulmarrun/wire"
)

// leaseState is the state of the generation's lease and of the leases that it
// witnesses.
type leaseState struct {
	holder  *lease.Holder
	witness *lease.Witness
	// leased reports whether the lease was valid at the last tick, and leasedSince
	// since when it has been valid or invalid.
	leased      bool
	leasedSince time.Time
}

func (c *Core) sendHeartbeats(now time.Time) {
	if c.muted(now) {
		return
	}
	for _, hb := range c.holder.Beat(now) {
		if to := c.peerAddr(hb.To); to.IsValid() {
			c.emit(SendHeartbeat{To: to, Heartbeat: hb})
		}
	}
}

// muted reports whether heartbeats are withheld. The witnesses of a daemon that can
// send but not receive would renew its lease forever although it holds none;
// without its heartbeats they can close it. If they don't, it sends heartbeats
// again after a pause.
func (c *Core) muted(now time.Time) bool {
	if c.holder.Valid(now) {
		return false
	}
	phase := mutePhaseTTLs * c.holder.TTL()
	return now.Sub(c.leasedSince)%(2*phase) >= phase
}

// trackLease records since when the lease has been valid or invalid.
func (c *Core) trackLease(now time.Time) {
	if held := c.holder.Valid(now); held != c.leased || c.leasedSince.IsZero() {
		c.leased, c.leasedSince = held, now
	}
}

func (c *Core) heartbeat(now time.Time, hb wire.Heartbeat) {
	if hb.To != c.self.Generation || !c.joined {
		return
	}
	c.recordHeard(hb.From)
	if hb.Answer {
		c.holder.Renew(now, hb)
		return
	}
	to := c.peerAddr(hb.From)
	if !to.IsValid() {
		return
	}
	answer, ok := c.witness.Answer(now, hb, !c.closing && c.holder.Supported(now) && c.mayRenew(now, hb.From))
	if !ok {
		return
	}
	c.emit(SendHeartbeat{To: to, Heartbeat: answer})
}
