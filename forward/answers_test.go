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

// Behaviours of the target, selected by the last digit of the request's path.
const (
	complete = iota
	delayed
	// cut sends the first two thirds of the answer and closes the connection.
	cut
	duplicated
	// otherRequest sends the answer to the previous request.
	otherRequest
	// noAnswer closes the connection without an answer.
	noAnswer
	behaviourCount
)

// faultyTarget is a target whose behaviour is selected by the path of each request.
// It counts the runs of each request ID.
type faultyTarget struct {
	mu     sync.Mutex
	runs   map[string]int
	lastID string
}

func (f *faultyTarget) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go f.serveConn(c)
	}
}

func (f *faultyTarget) serveConn(c net.Conn) {
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
		previous := f.lastID
		f.lastID = id
		f.mu.Unlock()
		answer := answerTo(id)
		switch int(req.URL.Path[len(req.URL.Path)-1] - '0') {
		case delayed:
			time.Sleep(3 * time.Millisecond)
		case cut:
			_, _ = io.WriteString(c, answer[:len(answer)*2/3])
			return
		case duplicated:
			answer += answer
		case otherRequest:
			if previous != "" {
				answer = answerTo(previous)
			}
		case noAnswer:
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

// bodyFor returns a body whose size and content depend on the ID.
func bodyFor(id string) string { return strings.Repeat(id, 1+int(id[len(id)-1])*7%90) }

// daemonPair consists of a daemon that accepts requests and another that owns their
// key.
type daemonPair struct {
	t         testing.TB
	target    *faultyTarget
	peers     *peer.Client
	forwarder *forward.Forwarder
	ingress   *testDaemon
	ids       []string
	close     func()
}

type callFunc = func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error)

func newDaemonPair(t testing.TB, mutate func(callFunc) callFunc) *daemonPair {
	p := &daemonPair{t: t, target: &faultyTarget{runs: make(map[string]int)}, peers: peer.NewClient()}
	targetListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go p.target.serve(targetListener)
	ownerDaemon := newTestDaemon(t, 0)
	client := targethttp.NewClient(targethttp.WithSendCheck(ownerDaemon.ownServer.CheckFence))
	client.SetDestination(targethttp.Destination{Address: netip.MustParseAddrPort(targetListener.Addr().String())})
	ownerDaemon.ownServer.SetClient(client)
	ledger := outcome.NewLedger()
	ledger.Open(outcome.Unit{Service: "agenda"}, time.Time{})
	ownerDaemon.ownServer.SetLedger(ledger)
	ownerDaemon.ownServer.SetLease(clock.Now().Add(time.Hour))
	ownerDaemon.addMember(2, peerAddr)
	ownerDaemon.put(routes.SlotsKey("agenda", 0), &wire.Slots{Service: "agenda", TotalSlots: 1, Revision: 1, Slots: []wire.Slot{{Owner: 2, Epoch: 1}}})
	ownerDaemon.ownServer.Publish(&owner.ServingState{
		Generation: 2, Service: "agenda", Domain: "heredia", Snapshot: ownerDaemon.view.Snapshot(), Table: ownerDaemon.table,
	})
	server := peer.NewServer()
	peer.Handle(server, peer.KindRequest, func(ctx context.Context, q *wire.Request) (*wire.Response, error) {
		return ownerDaemon.ownServer.Serve(ctx, q), nil
	})
	peerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(peerListener) }()
	p.ingress = newTestDaemon(t, 0)
	p.ingress.addMember(2, netip.MustParseAddrPort(peerListener.Addr().String()))
	p.ingress.assignSlot(2, 1)
	p.forwarder = forward.NewForwarder(p.ingress.ownServer, nil, forward.WithAdmission(admission.WithRetryRatio(10)), forward.WithCall(
		mutate(func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
			return peer.Call[wire.Response](ctx, p.peers, to.Peer, peer.KindRequest, req)
		})))
	p.close = func() {
		p.peers.Close()
		_ = peerListener.Close()
		server.Close()
		client.Close()
		_ = targetListener.Close()
	}
	return p
}

// sendBatch sends requests concurrently, one for each number. A negative number
// repeats an earlier ID. In one of ten batches it closes the connections between the
// daemons meanwhile. It returns the number of wrong answers and of all answers.
func (p *daemonPair) sendBatch(batch []int) (wrong, answers int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	earlier := len(p.ids)
	for _, n := range batch {
		id := uuid.Must(uuid.NewV7()).String()
		if n < 0 && earlier > 0 {
			id = p.ids[-n%earlier]
		} else {
			p.ids = append(p.ids, id)
		}
		kind := p.ingress.kind("book")
		if n%2 == 0 {
			kind = p.ingress.kind("visit")
			id = uuid.Must(uuid.NewV7()).String()
		}
		req := p.ingress.request(kind, false)
		req.ID, req.Wait = id, 2*time.Second
		req.Path = fmt.Sprintf("/visits/%d", max(n, 0)/2%behaviourCount)
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := p.forwarder.Route(context.Background(), kind, req)
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
	if len(batch) > 0 && batch[0]%10 == 0 {
		p.peers.Retain(func(netip.AddrPort) bool { return false })
	}
	wg.Wait()
	return wrong, answers
}

// repeatedRuns returns the number of IDs that may not be repeated but ran more than
// once.
func (p *daemonPair) repeatedRuns() int {
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

// matchByOrder gives each caller the answer that arrived before its own.
func matchByOrder(next callFunc) callFunc {
	var mu sync.Mutex
	var previous *wire.Response
	return func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
		r, err := next(ctx, to, req)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && previous != nil {
			r, previous = previous, r
		} else if err == nil {
			previous = r
		}
		return r, err
	}
}

// truncateAnswer drops the second half of each body.
func truncateAnswer(next callFunc) callFunc {
	return func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
		r, err := next(ctx, to, req)
		if err == nil {
			r.Body = r.Body[:len(r.Body)/2]
		}
		return r, err
	}
}

// newIDEachTry sends each try under a new ID.
func newIDEachTry(next callFunc) callFunc {
	return func(ctx context.Context, to *routes.Owner, req *wire.Request) (*wire.Response, error) {
		modified := *req
		modified.ID = uuid.Must(uuid.NewV7()).String()
		return next(ctx, to, &modified)
	}
}

// TestCallersGetOwnCompleteAnswers checks that each caller receives the complete
// answer to its own request, even if the target answers late, cuts or duplicates an
// answer or sends that of another request, and that an ID runs at most once. The
// mutations break one rule each and must be detected.
func TestCallersGetOwnCompleteAnswers(t *testing.T) {
	// net/http logs each duplicate answer that it drops.
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	for _, c := range []struct {
		name     string
		mutate   func(callFunc) callFunc
		detected bool
	}{
		{"without mutation", func(next callFunc) callFunc { return next }, false},
		{"mutation: matched by order", matchByOrder, true},
		{"mutation: cut answer passed on", truncateAnswer, true},
		{"mutation: another ID at each try", newIDEachTry, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			params := gopter.DefaultTestParametersWithSeed(11)
			params.MinSuccessfulTests, params.MaxShrinkCount = 30, 0
			answers, sent := 0, 0
			batches := gen.SliceOfN(8, gen.SliceOfN(8, gen.IntRange(-20, 10*behaviourCount)))
			result := prop.ForAll(func(batches [][]int) bool {
				p := newDaemonPair(t, c.mutate)
				defer p.close()
				for _, asks := range batches {
					wrong, n := p.sendBatch(asks)
					answers, sent = answers+n, sent+len(asks)
					if wrong > 0 {
						return false
					}
				}
				return p.repeatedRuns() == 0
			}, batches).Check(params)
			t.Logf("%d of %d requests answered", answers, sent)
			if result.Passed() == c.detected {
				t.Errorf("%v after %d answers", result.Status, answers)
			}
			if !c.detected && answers < sent/4 {
				t.Errorf("only %d of %d requests answered: too few for the test to be meaningful", answers, sent)
			}
		})
	}
}
