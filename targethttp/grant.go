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
	// GrantPath is where a target that checks takes grants.
	GrantPath = "/grant"

	// defaultLife is the greatest time to live of a grant. It counts from the last
	// stamp, which is as old as the time between two pushes, so it is longer than
	// a lease.
	defaultLife = 2 * time.Second
	// defaultMargin is kept between the end of a grant and that of the lease.
	defaultMargin = 50 * time.Millisecond
	// replyLimit is the greatest size of the answer to a grant in bytes.
	replyLimit = 16 << 10
)

// ErrGrantRefused is returned by Push if the target did not take the grant.
var ErrGrantRefused = errors.New("target did not take the grant")

// Stamp is a moment on the target's clock, in nanoseconds. Its zero is the
// target's own; it doesn't go back when the target restarts.
type Stamp int64

// Add returns the stamp d later.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }

// SlotGrant grants the slots From to To, both included, at Epoch.
type SlotGrant struct {
	From  uint32 `json:"from"`
	To    uint32 `json:"to"`
	Epoch uint64 `json:"epoch"`
}

// HotGrant grants one key that is apart from its slot. A zero Epoch withholds
// the key from a slot that is granted.
type HotGrant struct {
	Key   string `json:"key"`
	Epoch uint64 `json:"epoch"`
}

// Grant tells a target which requests it may run and until when.
type Grant struct {
	Generation wire.Generation `json:"generation"`
	// Number identifies the lists; it rises when they change.
	Number uint64 `json:"number"`
	// Until is on the target's clock.
	Until Stamp `json:"until"`
	// TTL is what was added to the target's last stamp.
	TTL time.Duration `json:"ttl"`
	// Slots and Hot are absent in a renewal.
	Slots []SlotGrant `json:"slots,omitempty"`
	Hot   []HotGrant  `json:"hot,omitempty"`
	// Full is true if the lists are part of this grant, also when empty.
	Full bool `json:"full"`
}

// GrantReply is the target's answer to a Grant.
type GrantReply struct {
	Generation wire.Generation `json:"generation"`
	// Number is that of the lists that the target holds; zero if none.
	Number uint64 `json:"number"`
	Stamp  Stamp  `json:"stamp"`
}

// GrantBuilder builds grants for one target. It is not safe for concurrent use.
//
// A grant ends at the target's last stamp plus a time to live, on the target's
// clock. The time to live is what was left of the lease when that stamp
// arrived, so the grant ends no later than the lease however long the daemon
// pauses between building and sending it.
type GrantBuilder struct {
	generation wire.Generation
	life       time.Duration
	margin     time.Duration
	slots      []SlotGrant
	hot        []HotGrant
	number     uint64
	// held is the number of the lists that the target has told it holds.
	held uint64
	// stamp arrived at seen, on the daemon's clock.
	stamp Stamp
	seen  time.Time
}

// GrantBuilderOption configures Grants.
type GrantBuilderOption func(*GrantBuilder)

// WithMaxTTL is a functional option that bounds the time to live of a grant.
func WithMaxTTL(d time.Duration) GrantBuilderOption { return func(g *GrantBuilder) { g.life = d } }

// WithMargin is a functional option that sets what is kept between the end of a
// grant and that of the lease, for the drift between the two clocks.
func WithMargin(d time.Duration) GrantBuilderOption { return func(g *GrantBuilder) { g.margin = d } }

// NewGrantBuilder returns a builder without slots for one generation of the daemon.
func NewGrantBuilder(generation wire.Generation, opts ...GrantBuilderOption) *GrantBuilder {
	g := &GrantBuilder{generation: generation, life: defaultLife, margin: defaultMargin, number: 1}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Set replaces the lists; the next grant carries them in full.
func (g *GrantBuilder) Set(slots []SlotGrant, hot []HotGrant) {
	g.slots, g.hot = slots, hot
	g.number++
}

// ObserveStamp notes the target's stamp, which arrived at now.
func (g *GrantBuilder) ObserveStamp(now time.Time, stamp Stamp) {
	if stamp > g.stamp {
		g.stamp, g.seen = stamp, now
	}
}

// ObserveReply notes the target's answer to a grant, which arrived at now.
func (g *GrantBuilder) ObserveReply(now time.Time, r GrantReply) {
	g.ObserveStamp(now, r.Stamp)
	g.held = 0
	if r.Generation == g.generation {
		g.held = r.Number
	}
}

// Next returns the grant to send while the lease runs until lease, on the
// daemon's clock. It reports false if nothing may be granted.
func (g *GrantBuilder) Next(lease time.Time) (Grant, bool) {
	if g.seen.IsZero() {
		return Grant{}, false
	}
	life := min(lease.Sub(g.seen)-g.margin, g.life)
	if life <= 0 {
		return Grant{}, false
	}
	out := Grant{Generation: g.generation, Number: g.number, Until: g.stamp.Add(life), TTL: life}
	if g.held != g.number {
		out.Full, out.Slots, out.Hot = true, g.slots, g.hot
	}
	return out, true
}

// PushGrant sends a grant to the target. A target that doesn't check is sent nothing
// and the zero reply is returned.
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
	data, err := c.readWhole(ctx, resp, http.MethodPost, replyLimit)
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
