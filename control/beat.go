package control

import (
	"time"

	"fulmarrun/wire"
)

func (c *Core) beat(now time.Time) {
	digest := c.view.Digest()
	for _, hb := range c.holder.Beat(now) {
		hb.Digest = digest
		if to := c.addr(hb.To); to.IsValid() {
			c.emit(SendHeartbeat{To: to, Heartbeat: hb})
		}
	}
}

func (c *Core) heartbeat(now time.Time, hb wire.Heartbeat) {
	if hb.To != c.self.Generation || !c.joined {
		return
	}
	if hb.Answer {
		c.holder.Renew(now, hb)
		return
	}
	to := c.addr(hb.From)
	if !to.IsValid() {
		return
	}
	answer, ok := c.witness.Answer(now, hb, !c.closing && c.holder.Supported(now))
	if !ok {
		return
	}
	answer.Digest = c.view.Digest()
	c.emit(SendHeartbeat{To: to, Heartbeat: answer})
}
