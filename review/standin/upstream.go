//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"fulmarrun/platformwire"
)

// beatInterval is heartbeat_ms of the small deployments.
const beatInterval = 870 * time.Millisecond

// run is one run of a request at an upstream.
type run struct {
	id       string
	upstream string
	at       time.Time
	cut      bool
}

// upstream is a stand-in for an application upstream. It speaks what PROTOCOL.md says.
type upstream struct {
	id, service, zone, address, control string
	work                                time.Duration
	born                                int64
	log                                 *record

	server *http.Server
	cancel context.CancelFunc

	mu       sync.Mutex
	sequence int
	// sharded is true if requests need a key that is held.
	sharded  bool
	holds    []platformwire.Grant
	until    time.Time
	released []platformwire.Released
	runs     []*run
	ended    bool
}

func number(f float64) msgp.Number {
	var n msgp.Number
	if f == float64(int64(f)) {
		n.AsInt(int64(f))
	} else {
		n.AsFloat64(f)
	}
	return n
}

// start listens and sends heartbeats until end.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.born = time.Now().UnixMilli()
	u.server = &http.Server{Handler: u}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	go func() { _ = u.server.Serve(l) }()
	go func() {
		for ctx.Err() == nil {
			next := time.Now().Add(beatInterval)
			u.beat(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(next)):
			}
		}
	}()
	return nil
}

// end ends the upstream: it closes its connections and sends nothing more.
func (u *upstream) end() {
	u.cancel()
	u.mu.Lock()
	u.ended = true
	u.mu.Unlock()
	_ = u.server.Close()
}

// post sends a message about the upstream to the daemon on its machine.
func (u *upstream) post(ctx context.Context, path string, m msgp.Marshaler) (int, []byte) {
	body, _ := m.MarshalMsg(nil)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.control+path+u.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/msgpack")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// message returns what the upstream says of itself. It never says "draining".
func (u *upstream) message() *platformwire.Beat {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	m := &platformwire.Beat{
		Address: u.address, Started: number(float64(u.born)),
		Info:   platformwire.BeatInfo{Service: u.service, Software: "v1", Domain: u.zone, Slots: number(18)},
		Status: platformwire.Status{State: "ready", Sequence: number(float64(u.sequence)), Cold: number(0)},
	}
	if time.Now().Before(u.until) {
		for _, h := range u.holds {
			m.Holds = append(m.Holds, platformwire.Held{First: h.First, Last: h.Last, Fence: h.Fence})
		}
	}
	m.Released = u.released
	return m
}

func (u *upstream) beat(ctx context.Context) {
	sent := time.Now()
	status, data := u.post(ctx, "/-/Instances.Heartbeat/", u.message())
	if status != http.StatusOK || !bytes.Contains(data, []byte("holds")) {
		return
	}
	var granted platformwire.Granted
	if _, err := granted.UnmarshalMsg(data); err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.released = nil
	for _, old := range u.holds {
		kept := false
		for _, g := range granted.Grants {
			kept = kept || g.First <= old.First && old.Last <= g.Last
		}
		if !kept {
			u.released = append(u.released, platformwire.Released{First: old.First, Last: old.Last, Token: "warm"})
		}
	}
	u.holds, u.until = granted.Grants, sent.Add(time.Duration(granted.HoldTime)*time.Millisecond)
}

// deregister says once that the upstream leaves for good, and reports whether that was
// acknowledged.
func (u *upstream) deregister() bool {
	status, _ := u.post(context.Background(), "/-/Instances.Deregister/", u.message())
	return status/100 == 2
}

func (u *upstream) holdsKey(text string) bool {
	key, err := strconv.Atoi(text)
	if err != nil || !time.Now().Before(u.until) {
		return false
	}
	for _, g := range u.holds {
		if int(g.First) <= key && key <= int(g.Last) {
			return true
		}
	}
	return false
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	if u.sharded && !u.holdsKey(r.Header.Get("X-Shard-Key")) {
		u.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	this := &run{id: id, upstream: u.id, at: time.Now()}
	u.runs = append(u.runs, this)
	u.mu.Unlock()
	u.log.line("%s runs %s", u.id, id)
	time.Sleep(u.work)
	u.mu.Lock()
	this.cut = u.ended
	u.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(w, "%s %s by %s, %d bytes", r.Method, r.URL.Path, u.id, len(body))
}

// runsAfter returns the runs that began later than t.
func (u *upstream) runsAfter(t time.Time) []*run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*run
	for _, r := range u.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}
