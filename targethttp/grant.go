package targethttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/wire"
)

const (
	// GrantPath is the path at which a target that checks fences accepts grants.
	GrantPath = "/grant"

	// defaultMaxTTL is the maximum time to live of a grant. It counts from the target's
	// last stamp, which is as old as the time between two pushes, so it is longer than
	// a lease.
	defaultMaxTTL = 2 * time.Second
	// defaultMargin is the time by which a grant ends before the lease.
	defaultMargin = 50 * time.Millisecond
	// maxReplyBytes is the maximum size of the reply to a grant in bytes.
	maxReplyBytes = 16 << 10
)

// ErrGrantRefused is returned by PushGrant if the target did not accept the grant.
var ErrGrantRefused = errors.New("target did not accept the grant")

// Stamp is a time on the target's clock, in nanoseconds since a zero that the target
// chooses. The clock does not go back when the target restarts.
type Stamp int64

// Add returns the stamp d later.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }

// SlotGrant grants the slots From to To, both inclusive, at Epoch.
type SlotGrant struct {
	From  uint32 `json:"from"`
	To    uint32 `json:"to"`
	Epoch uint64 `json:"epoch"`
}

// HotGrant grants one hot key, which is owned separately from its slot. A zero Epoch
// excludes the key from a slot that is granted.
type HotGrant struct {
	Key   string `json:"key"`
	Epoch uint64 `json:"epoch"`
}

// Grant informs a target which requests it may run and until when.
type Grant struct {
	Generation wire.Generation `json:"generation"`
	// Number is the version of the lists; it increases when they change.
	Number uint64 `json:"number"`
	// Until is the end of the grant on the target's clock.
	Until Stamp `json:"until"`
	// TTL is what was added to the target's last stamp.
	TTL time.Duration `json:"ttl"`
	// Slots and Hot are empty in a renewal, which leaves the lists as they are.
	Slots []SlotGrant `json:"slots,omitempty"`
	Hot   []HotGrant  `json:"hot,omitempty"`
	// Full is true if this grant replaces the lists, even by empty ones.
	Full bool `json:"full"`
}

// GrantReply is the target's reply to a Grant.
type GrantReply struct {
	Generation wire.Generation `json:"generation"`
	// Number is the version of the lists that the target has; zero if it has none.
	Number uint64 `json:"number"`
	Stamp  Stamp  `json:"stamp"`
}

// GrantBuilder builds grants for one target. It is not safe for concurrent use.
//
// A grant ends at the target's last stamp plus a time to live, on the target's
// clock. The time to live is the rest of the lease at the time when that stamp
// arrived, so the grant ends no later than the lease, no matter how long the daemon
// pauses between building and sending it.
type GrantBuilder struct {
	generation wire.Generation
	ttl        time.Duration
	margin     time.Duration
	slots      []SlotGrant
	hot        []HotGrant
	number     uint64
	// heldNumber is the version of the lists that the target last reported to have.
	heldNumber uint64
	// stamp is the last stamp of the target; stampTime is the time of its arrival on the
	// daemon's clock.
	stamp     Stamp
	stampTime time.Time
}

// GrantBuilderOption configures a GrantBuilder.
type GrantBuilderOption func(*GrantBuilder)

// WithMaxTTL is a functional option that bounds the time to live of a grant.
func WithMaxTTL(d time.Duration) GrantBuilderOption { return func(g *GrantBuilder) { g.ttl = d } }

// WithMargin is a functional option that sets the time by which a grant ends before the
// lease, to allow for the drift between the two clocks.
func WithMargin(d time.Duration) GrantBuilderOption { return func(g *GrantBuilder) { g.margin = d } }

// NewGrantBuilder returns a builder for one generation of the daemon, with empty lists.
func NewGrantBuilder(generation wire.Generation, opts ...GrantBuilderOption) *GrantBuilder {
	g := &GrantBuilder{generation: generation, ttl: defaultMaxTTL, margin: defaultMargin, number: 1}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Set replaces the lists; the next grant contains them in full.
func (g *GrantBuilder) Set(slots []SlotGrant, hot []HotGrant) {
	g.slots, g.hot = slots, hot
	g.number++
}

// ObserveStamp records a stamp of the target, which arrived at now.
func (g *GrantBuilder) ObserveStamp(now time.Time, stamp Stamp) {
	if stamp > g.stamp {
		g.stamp, g.stampTime = stamp, now
	}
}

// ObserveReply records the target's reply to a grant, which arrived at now.
func (g *GrantBuilder) ObserveReply(now time.Time, r GrantReply) {
	g.ObserveStamp(now, r.Stamp)
	g.heldNumber = 0
	if r.Generation == g.generation {
		g.heldNumber = r.Number
	}
}

// Next returns the grant to send, given the end of the lease on the daemon's clock. It
// reports false if nothing may be granted.
func (g *GrantBuilder) Next(lease time.Time) (Grant, bool) {
	if g.stampTime.IsZero() {
		return Grant{}, false
	}
	ttl := min(lease.Sub(g.stampTime)-g.margin, g.ttl)
	if ttl <= 0 {
		return Grant{}, false
	}
	out := Grant{Generation: g.generation, Number: g.number, Until: g.stamp.Add(ttl), TTL: ttl}
	if g.heldNumber != g.number {
		out.Full, out.Slots, out.Hot = true, g.slots, g.hot
	}
	return out, true
}

// PushGrant sends a grant to the target. If the target does not check fences, it sends
// nothing and returns the zero reply.
func (c *Client) PushGrant(ctx context.Context, grant Grant) (GrantReply, error) {
	d := c.destination.Load()
	if d == nil {
		return GrantReply{}, fmt.Errorf("push grant: %w", errNoTarget)
	}
	if !d.ChecksFences {
		return GrantReply{}, nil
	}
	data, err := json.Marshal(grant)
	if err != nil {
		return GrantReply{}, fmt.Errorf("encode grant: %w", err)
	}
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: d.Address.String(), Path: GrantPath},
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          io.NopCloser(bytes.NewReader(data)),
		ContentLength: int64(len(data)),
	}
	resp, err := c.send(ctx, req, &attempt{})
	if err != nil {
		return GrantReply{}, fmt.Errorf("push grant: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readReply(ctx, resp)
}

func (c *Client) readReply(ctx context.Context, resp *http.Response) (GrantReply, error) {
	var reply GrantReply
	data, err := c.readWhole(ctx, resp, http.MethodPost, maxReplyBytes)
	if err != nil {
		return reply, fmt.Errorf("read reply to grant: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("status %d: %w", resp.StatusCode, ErrGrantRefused)
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return reply, fmt.Errorf("decode reply to grant: %w", err)
	}
	return reply, nil
}
