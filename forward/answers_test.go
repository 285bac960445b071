package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/admission"
	"fulmarrun/clock"
	"fulmarrun/forward"
	"fulmarrun/outcome"
	"fulmarrun/owner"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// What the target does with a request, by the last digit of its path.
const (
	whole = iota
	late
	cut
	doubled
	crossed
	reset
	behaviours
)

// faulty is a target that answers as the path of each request asks.
type faulty struct {
	mu   sync.Mutex
	runs map[string]int
	last string
}

func (f *faulty) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go f.serveConn(c)
	}
}

func (f *faulty) serveConn(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Idempotency-Key")
		f.mu.Lock()
		f.runs[id]++
		before := f.last
		f.last = id
		f.mu.Unlock()
		answer := answerTo(id)
		switch int(req.URL.Path[len(req.URL.Path)-1] - '0') {
		case late:
			time.Sleep(3 * time.Millisecond)
		case cut:
			_, _ = io.WriteString(c, answer[:len(answer)*2/3])
			return
		case doubled:
			answer += answer
		case crossed:
			if before != "" {
				answer = answerTo(before)
			}
		case reset:
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func answerTo(id string) string {
	body := bodyFor(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// bodyFor has a size and content that depend on the ID.
func bodyFor(id string) string { return strings.Repeat(id, 1+int(id[len(id)-1])*7%90) }

// pair is a daemon that takes requests and another that owns their key.
type pair struct {
	t      testing.TB
	target *faulty
	peers  *peer.Client
	first  *forward.Forwarder
	here   *world
	ids    []string
	close  func()
}

type call = func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error)

func newPair(t testing.TB, mutate func(call) call) *pair {
	p := &pair{t: t, target: &faulty{runs: make(map[string]int)}, peers: peer.NewClient()}
	back, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go p.target.serve(back)
	there := newWorld(t, 0)
	client := targethttp.NewClient(targethttp.WithCheck(there.own.CheckFence))
	client.Use(targethttp.Destination{Address: netip.MustParseAddrPort(back.Addr().String())})
	there.own.SetClient(client)
	ledger := outcome.NewLedger()
	ledger.Open(outcome.Unit{Service: "agenda"}, time.Time{})
	there.own.SetLedger(ledger)
	there.own.SetLease(clock.Now().Add(time.Hour))
	there.member(2, peerAddr)
	there.put(routes.SlotsKey("agenda", 0), &wire.Slots{Service: "agenda", TotalSlots: 1, Revision: 1, Slots: []wire.Slot{{Owner: 2, Epoch: 1}}})
	there.own.Publish(&owner.ServingState{
		Generation: 2, Service: "agenda", Domain: "heredia", Snapshot: there.view.Snapshot(), Table: there.table,
	})
	server := peer.NewServer()
	peer.Handle(server, peer.KindRequest, func(ctx context.Context, q *wire.Request) (*wire.Response, error) {
		return there.own.Serve(ctx, q), nil
	})
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(front) }()
	p.here = newWorld(t, 0)
	p.here.member(2, netip.MustParseAddrPort(front.Addr().String()))
	p.here.give(2, 1)
	p.first = forward.NewForwarder(p.here.own, nil, forward.WithAdmission(admission.WithRatio(10)), forward.WithCall(
		mutate(func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
			return peer.Call[wire.Response](ctx, p.peers, to.Peer, peer.KindRequest, req)
		})))
	p.close = func() {
		p.peers.Close()
		_ = front.Close()
		server.Close()
		client.Close()
		_ = back.Close()
	}
	return p
}

// move asks several things at the same time. Negative numbers ask for an earlier
// ID again; one in ten moves cuts the connection between the daemons meanwhile.
func (p *pair) move(asks []int) (wrong, answers int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	known := len(p.ids)
	for _, ask := range asks {
		id := uuid.Must(uuid.NewV7()).String()
		if ask < 0 && known > 0 {
			id = p.ids[-ask%known]
		} else {
			p.ids = append(p.ids, id)
		}
		kind := p.here.kind("book")
		if ask%2 == 0 {
			kind = p.here.kind("visit")
			id = uuid.Must(uuid.NewV7()).String()
		}
		req := p.here.request(kind, false)
		req.ID, req.Wait = id, 2*time.Second
		req.Path = fmt.Sprintf("/visits/%d", max(ask, 0)/2%behaviours)
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := p.first.Route(context.Background(), kind, req)
			mu.Lock()
			defer mu.Unlock()
			if got.Outcome != wire.OutcomeAnswered {
				return
			}
			answers++
			if string(got.Body) != bodyFor(id) {
				wrong++
			}
		}()
	}
	if len(asks) > 0 && asks[0]%10 == 0 {
		p.peers.Retain(func(netip.AddrPort) bool { return false })
	}
	wg.Wait()
	return wrong, answers
}

// twice returns how many IDs that may not be repeated ran more than once.
func (p *pair) twice() int {
	p.target.mu.Lock()
	defer p.target.mu.Unlock()
	n := 0
	for _, id := range p.ids {
		if p.target.runs[id] > 1 {
			n++
		}
	}
	return n
}

// byOrder gives each caller the answer that came before its own.
func byOrder(next call) call {
	var mu sync.Mutex
	var before *wire.Response
	return func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
		r, err := next(ctx, to, req)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && before != nil {
			r, before = before, r
		} else if err == nil {
			before = r
		}
		return r, err
	}
}

func half(next call) call {
	return func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
		r, err := next(ctx, to, req)
		if err == nil {
			r.Body = r.Body[:len(r.Body)/2]
		}
		return r, err
	}
}

// freshAgain sends each request as if its ID had been made for it.
func freshAgain(next call) call {
	return func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
		again := *req
		again.ID = uuid.Must(uuid.NewV7()).String()
		return next(ctx, to, &again)
	}
}

// Each caller receives the whole answer to its own request, even when answers
// arrive late, cut, doubled or crossed, and an ID runs once.
func TestWholeOwnAnswers(t *testing.T) {
	// net/http logs each second answer that it drops.
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	for _, c := range []struct {
		name   string
		mutate func(call) call
		caught bool
	}{
		{"as it is", func(next call) call { return next }, false},
		{"mutation: matched by order", byOrder, true},
		{"mutation: cut answer passed on", half, true},
		{"mutation: another ID at each try", freshAgain, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			params := gopter.DefaultTestParametersWithSeed(11)
			params.MinSuccessfulTests, params.MaxShrinkCount = 30, 0
			answers, asked := 0, 0
			moves := gen.SliceOfN(8, gen.SliceOfN(8, gen.IntRange(-20, 10*behaviours)))
			result := prop.ForAll(func(moves [][]int) bool {
				p := newPair(t, c.mutate)
				defer p.close()
				for _, asks := range moves {
					wrong, n := p.move(asks)
					answers, asked = answers+n, asked+len(asks)
					if wrong > 0 {
						return false
					}
				}
				return p.twice() == 0
			}, moves).Check(params)
			t.Logf("%d of %d answered", answers, asked)
			if result.Passed() == c.caught {
				t.Errorf("%v after %d answers", result.Status, answers)
			}
			if !c.caught && answers < asked/4 {
				t.Errorf("only %d of %d answered, so that little is shown", answers, asked)
			}
		})
	}
}
