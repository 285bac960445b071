//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"fulmarrun/platformwire"
)

const (
	beatInterval = 870 * time.Millisecond
	beatTimeout  = time.Second
	// releaseInterval is the time to the next beat while there are released keys to tell.
	releaseInterval = 100 * time.Millisecond
	// workTime is how long an upstream works on a request.
	workTime = 20 * time.Millisecond
)

func number(v float64) msgp.Number {
	var n msgp.Number
	n.AsFloat64(v)
	return n
}

// run is one arrival of a request at an upstream.
type run struct{ id, upstream, target string }

// upstream is a stand-in for an application server. It sends heartbeats to the daemon beside it,
// holds keys as told, and answers requests.
type upstream struct {
	rig           *rig
	service, zone string
	sharded       bool
	control       netip.AddrPort
	stop          context.CancelFunc

	mu       sync.Mutex
	name     string
	born     int64
	sequence int
	holds    []platformwire.Grant
	until    time.Time
	released []platformwire.Released
	fences   map[int]uint64
	server   *http.Server
	address  string
	running  int
}

// start starts the upstream under a name.
func (u *upstream) start(ctx context.Context, name string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("listen for upstream %s: %w", name, err)
	}
	u.name, u.born, u.fences = name, time.Now().UnixMilli(), make(map[int]uint64)
	u.address = l.Addr().String()
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	ctx, u.stop = context.WithCancel(ctx)
	go u.beats(ctx)
	return nil
}

// close ends the upstream.
func (u *upstream) close() {
	u.stop()
	_ = u.server.Close()
}

func (u *upstream) beats(ctx context.Context) {
	for ctx.Err() == nil {
		u.beat(ctx)
		u.mu.Lock()
		pause := beatInterval
		if len(u.released) > 0 {
			pause = releaseInterval
		}
		u.mu.Unlock()
		wait(ctx, pause)
	}
}

// beat sends one heartbeat and applies the answer.
func (u *upstream) beat(ctx context.Context) {
	u.mu.Lock()
	u.sequence++
	sequence := u.sequence
	message := &platformwire.Beat{
		Address: u.address, Started: number(float64(u.born)),
		Info:   platformwire.BeatInfo{Service: u.service, Domain: u.zone, Software: "v1", Slots: number(slots)},
		Status: platformwire.Status{State: "ready", Sequence: number(float64(sequence)), Cold: number(0)},
	}
	if time.Now().Before(u.until) {
		for _, h := range u.holds {
			message.Holds = append(message.Holds, platformwire.Held{First: h.First, Last: h.Last, Fence: h.Fence})
		}
	}
	message.Released = u.released
	released := len(u.released)
	name := u.name
	u.mu.Unlock()
	sent := time.Now()
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return
	}
	data, ok := u.post(ctx, "/-/Instances.Heartbeat/"+name, body)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !ok || u.sequence != sequence {
		return
	}
	u.released = u.released[released:]
	var granted platformwire.Granted
	if !bytes.Contains(data, []byte("holds")) {
		return
	}
	if _, err := granted.UnmarshalMsg(data); err == nil {
		u.apply(&granted, sent)
	}
}

// post sends a message to the daemon beside the upstream.
func (u *upstream) post(ctx context.Context, path string, body []byte) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.control.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	req.Header.Set("Content-Type", "application/msgpack")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return data, err == nil && resp.StatusCode/100 == 2
}

// apply replaces the held ranges by those of an answer. The caller holds the lock.
func (u *upstream) apply(granted *platformwire.Granted, sent time.Time) {
	before := u.holds
	if time.Now().After(u.until) {
		before = nil
	}
	u.holds, u.until = nil, sent.Add(time.Duration(granted.HoldTime)*time.Millisecond)
	for _, g := range granted.Grants {
		if u.accepts(g) {
			u.holds = append(u.holds, g)
		}
	}
	for _, h := range before {
		kept := false
		for _, g := range u.holds {
			kept = kept || g.First <= h.First && h.Last <= g.Last
		}
		if !kept {
			u.released = append(u.released, platformwire.Released{First: h.First, Last: h.Last, Token: fmt.Sprintf("%016x", time.Now().UnixNano())})
		}
	}
}

// accepts reports whether no key of a grant had a higher fence here. The caller holds the lock.
func (u *upstream) accepts(g platformwire.Grant) bool {
	for key := int(g.First); key <= int(g.Last); key++ {
		if u.fences[key] > g.Fence {
			return false
		}
	}
	for key := int(g.First); key <= int(g.Last); key++ {
		u.fences[key] = g.Fence
	}
	return true
}

// heldFence returns the fence under which the upstream holds a key.
func (u *upstream) heldFence(key int) (fence uint64, ok bool) {
	if !time.Now().Before(u.until) {
		return 0, false
	}
	for _, g := range u.holds {
		if int(g.First) <= key && key <= int(g.Last) {
			return g.Fence, true
		}
	}
	return 0, false
}

// ServeHTTP serves one request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	u.mu.Lock()
	expected := r.Header.Get("X-Expected-Instance")
	key, keyErr := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	_, held := u.heldFence(key)
	switch {
	case expected != "" && expected != u.name, u.sharded && (keyErr != nil || !held):
		u.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case u.running >= slots:
		u.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.running++
	name := u.name
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.running--
	}()
	u.rig.ran(run{id: id, upstream: name, target: r.RequestURI})
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Seal", name+"."+id)
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s ran %s %s with %d bytes", name, r.Method, r.RequestURI, len(body))
}
