package peer_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

// waitLimit bounds the wait for an expected event; it is no performance limit.
const waitLimit = 20 * time.Second

func listenTCP(t testing.TB) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// startServer starts a server that handles KindFetch with fetchHandler.
func startServer(t testing.TB, fetchHandler func(context.Context, *wire.FetchObject) (*wire.Object, error), opts ...peer.Option) (*peer.Server, netip.AddrPort) {
	t.Helper()
	l, addr := listenTCP(t)
	s := peer.NewServer(opts...)
	peer.Handle(s, peer.KindFetch, fetchHandler)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	return s, addr
}

func echo(_ context.Context, q *wire.FetchObject) (*wire.Object, error) {
	return &wire.Object{Data: []byte(q.Digest)}, nil
}

func newClient(t testing.TB) *peer.Client {
	t.Helper()
	c := peer.NewClient()
	t.Cleanup(c.Close)
	return c
}

func fetch(c *peer.Client, addr netip.AddrPort, digest string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	return fetchContext(ctx, c, addr, digest)
}

func fetchContext(ctx context.Context, c *peer.Client, addr netip.AddrPort, digest string) (string, error) {
	got, err := peer.Call[wire.Object](ctx, c, addr, peer.KindFetch, &wire.FetchObject{Digest: digest})
	if err != nil {
		return "", err
	}
	return string(got.Data), nil
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// serveFrames accepts connections and passes each frame that it reads to handle.
func serveFrames(t testing.TB, handle func(c net.Conn, f peer.Frame)) netip.AddrPort {
	t.Helper()
	l, addr := listenTCP(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := peer.NewFrameReader(c, peer.DefaultMaxFrame); ; {
					f, err := r.Next()
					if err != nil {
						return
					}
					handle(c, f)
				}
			}()
		}
	}()
	return addr
}

func sendReply(c net.Conn, id uint64, data string) {
	frame, _ := peer.AppendFrame(nil, peer.KindFetch|0x80, id, &wire.Object{Data: []byte(data)})
	_, _ = c.Write(frame)
}

func TestCallErrors(t *testing.T) {
	failingHandler := func(context.Context, *wire.FetchObject) (*wire.Object, error) { return nil, errors.New("not ready") }
	longReplyHandler := func(context.Context, *wire.FetchObject) (*wire.Object, error) {
		return newObject(peer.DefaultMaxFrame+1, 0), nil
	}
	_, failingAddr := startServer(t, failingHandler)
	_, longReplyAddr := startServer(t, longReplyHandler)
	_, fullAddr := startServer(t, echo, peer.WithMaxCalls(0))
	l, refusingAddr := listenTCP(t)
	_ = l.Close()
	cases := []struct {
		name   string
		addr   netip.AddrPort
		digest string
		want   error
	}{
		{"dial refused", refusingAddr, "x", peer.ErrNotSent},
		{"request too long", failingAddr, string(make([]byte, peer.DefaultMaxFrame)), peer.ErrNotSent},
		{"handler returns an error", failingAddr, "x", peer.ErrFailed},
		{"reply too long", longReplyAddr, "x", peer.ErrFailed},
		{"too many calls", fullAddr, "x", peer.ErrRefused},
		{"connection closed", serveFrames(t, func(c net.Conn, _ peer.Frame) { _ = c.Close() }), "x", peer.ErrBroken},
		{"reply of another kind", serveFrames(t, func(c net.Conn, f peer.Frame) {
			frame, _ := peer.AppendFrame(nil, peer.KindVote|0x80, f.ID, &wire.Verdict{})
			_, _ = c.Write(frame)
		}), "x", peer.ErrBroken},
		{"truncated reply", serveFrames(t, func(c net.Conn, f peer.Frame) {
			frame, _ := peer.AppendFrame(nil, peer.KindFetch|0x80, f.ID, newObject(100, 1))
			_, _ = c.Write(frame[:50])
			_ = c.Close()
		}), "x", peer.ErrBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newClient(t)
			if _, err := fetch(client, c.addr, c.digest); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

func TestReplyMatching(t *testing.T) {
	t.Run("reply without a pending call is dropped and counted", func(t *testing.T) {
		addr := serveFrames(t, func(c net.Conn, f peer.Frame) {
			sendReply(c, f.ID+1000, "unknown ID")
			sendReply(c, f.ID, "own")
			sendReply(c, f.ID, "duplicate")
		})
		client := newClient(t)
		for range 3 {
			if got, err := fetch(client, addr, "x"); got != "own" {
				t.Errorf("got %q, %v", got, err)
			}
		}
		waitFor(t, "six late replies", func() bool { return client.Stats().LateReplies == 6 })
	})
	t.Run("reply to a cancelled call is dropped", func(t *testing.T) {
		heldID := make(chan uint64, 1)
		addr := serveFrames(t, func(c net.Conn, f peer.Frame) {
			switch f.Kind {
			case peer.KindFetch:
				select {
				case heldID <- f.ID:
				default:
					sendReply(c, f.ID, "second")
				}
			case peer.KindCancel:
				sendReply(c, f.ID, "first")
			}
		})
		client := newClient(t)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			waitFor(t, "the call to reach the peer", func() bool { return len(heldID) == 1 })
			cancel()
		}()
		if _, err := fetchContext(ctx, client, addr, "x"); !errors.Is(err, context.Canceled) {
			t.Errorf("cancelled call: %v", err)
		}
		waitFor(t, "a late reply", func() bool { return client.Stats().LateReplies == 1 })
		if got, err := fetch(client, addr, "x"); got != "second" {
			t.Errorf("got %q, %v", got, err)
		}
	})
}

func TestCancelReachesHandler(t *testing.T) {
	started, handlerErr := make(chan struct{}), make(chan error, 1)
	_, addr := startServer(t, func(ctx context.Context, _ *wire.FetchObject) (*wire.Object, error) {
		close(started)
		<-ctx.Done()
		handlerErr <- ctx.Err()
		return &wire.Object{}, nil
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("rerouted")
	go func() {
		<-started
		cancel(cause)
	}()
	if _, err := fetchContext(ctx, newClient(t), addr, "x"); !errors.Is(err, cause) {
		t.Errorf("cancelled call: %v, want the cause of the cancellation", err)
	}
	select {
	case <-handlerErr:
	case <-time.After(waitLimit):
		t.Error("the context of the handler was not cancelled")
	}
}

func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	short := binary.BigEndian.AppendUint32(nil, 3)
	unknownKind, _ := peer.AppendFrame(nil, 99, 1, &wire.FetchObject{})
	wrongBody, _ := peer.AppendFrame(nil, peer.KindFetch, 1, &wire.Heartbeat{})
	release := make(chan struct{})
	heldCall, _ := peer.AppendFrame(nil, peer.KindFetch, 1, &wire.FetchObject{Digest: "hold"})
	s, addr := startServer(t, func(ctx context.Context, q *wire.FetchObject) (*wire.Object, error) {
		if q.Digest == "hold" {
			<-ctx.Done()
		}
		return echo(ctx, q)
	})
	defer close(release)
	client := newClient(t)
	if _, err := fetch(client, addr, "before"); err != nil {
		t.Fatal(err)
	}
	for i, input := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"), short, unknownKind, wrongBody, append(heldCall, heldCall...),
	} {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(input)
		_ = c.SetReadDeadline(time.Now().Add(waitLimit))
		if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("malformed input %d: the connection is still open", i)
		}
		_ = c.Close()
	}
	waitFor(t, "five malformed frames", func() bool { return s.Stats().MalformedFrames == 5 })
	if got, err := fetch(client, addr, "after"); got != "after" || client.Stats().OpenConns != 1 {
		t.Errorf("got %q, %v, stats %+v", got, err, client.Stats())
	}
}

// TestPeerStopsReadingReplies checks that the server closes the connection of a peer
// that was paused for longer than the write timeout. A connection left open after a
// partly written frame could not carry a readable reply again.
func TestPeerStopsReadingReplies(t *testing.T) {
	_, addr := startServer(t, func(context.Context, *wire.FetchObject) (*wire.Object, error) { return newObject(8<<20, 1), nil })
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for id := range uint64(4) {
		call, _ := peer.AppendFrame(nil, peer.KindFetch, id, &wire.FetchObject{})
		_, _ = c.Write(call)
	}
	time.Sleep(1500 * time.Millisecond)
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open")
	}
}

// TestPeerStopsReadingCalls checks that calls to a peer that does not read fail before
// their own deadline.
func TestPeerStopsReadingCalls(t *testing.T) {
	l, addr := listenTCP(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
		}
	}()
	client := newClient(t)
	longDigest := string(make([]byte, 4<<20))
	errs := make(chan error, 8)
	for range cap(errs) {
		go func() {
			_, err := fetch(client, addr, longDigest)
			errs <- err
		}()
	}
	for range cap(errs) {
		if err := <-errs; errors.Is(err, context.DeadlineExceeded) || err == nil {
			t.Errorf("%v", err)
		}
	}
}

func TestClosedClientSendsNothing(t *testing.T) {
	s, addr := startServer(t, echo)
	client := newClient(t)
	if _, err := fetch(client, addr, "x"); err != nil {
		t.Fatal(err)
	}
	client.Retain(func(netip.AddrPort) bool { return false })
	waitFor(t, "no open connection", func() bool { return s.Stats().OpenConns == 0 })
	if _, err := fetch(client, addr, "x"); err != nil {
		t.Errorf("after Retain: %v", err)
	}
	client.Close()
	if _, err := fetch(client, addr, "x"); !errors.Is(err, peer.ErrNotSent) {
		t.Errorf("after Close: %v", err)
	}
	waitFor(t, "no open connection", func() bool { return s.Stats().OpenConns == 0 && client.Stats().OpenConns == 0 })
}

// TestWorkersExitAfterBurst checks that a burst of concurrent calls leaves few
// goroutines behind and that these still serve calls.
func TestWorkersExitAfterBurst(t *testing.T) {
	var running atomic.Int32
	release := make(chan struct{})
	s, addr := startServer(t, func(ctx context.Context, q *wire.FetchObject) (*wire.Object, error) {
		running.Add(1)
		<-release
		return echo(ctx, q)
	})
	client := newClient(t)
	const calls = 300
	errs := make(chan error, calls)
	before := runtime.NumGoroutine()
	for range calls {
		go func() {
			_, err := fetch(client, addr, "x")
			errs <- err
		}()
	}
	waitFor(t, "all calls to run", func() bool { return running.Load() == calls })
	if n := s.Stats().OpenConns; n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
	close(release)
	for range calls {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	waitFor(t, "few goroutines", func() bool { return runtime.NumGoroutine() < before+calls/10 })
	if got, err := fetch(client, addr, "after"); got != "after" {
		t.Errorf("got %q, %v", got, err)
	}
}

func TestServerCloseEndsCalls(t *testing.T) {
	started := make(chan struct{})
	s, addr := startServer(t, func(ctx context.Context, q *wire.FetchObject) (*wire.Object, error) {
		close(started)
		<-ctx.Done()
		return echo(ctx, q)
	})
	callErr := make(chan error, 1)
	client := newClient(t)
	go func() {
		_, err := fetch(client, addr, "x")
		callErr <- err
	}()
	<-started
	s.Close()
	if err := <-callErr; !errors.Is(err, peer.ErrBroken) {
		t.Errorf("%v", err)
	}
}

func TestDatagrams(t *testing.T) {
	openSocket := func() (*peer.Datagrams, netip.AddrPort) {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		d := peer.NewDatagrams(c)
		t.Cleanup(func() { _ = d.Close() })
		return d, netip.MustParseAddrPort(c.LocalAddr().String())
	}
	from, fromAddr := openSocket()
	to, toAddr := openSocket()
	var lastReceived atomic.Pointer[wire.Heartbeat]
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- to.Serve(func(addr netip.AddrPort, hb wire.Heartbeat) {
			if addr != fromAddr {
				t.Errorf("heartbeat from %s", addr)
			}
			lastReceived.Store(&hb)
		})
	}()
	raw, err := net.Dial("udp", toAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	encoded, _ := wire.Encode(&wire.Heartbeat{From: 1, To: 2, Seq: 3})
	for _, payload := range [][]byte{[]byte("x"), encoded[:len(encoded)-1], append(encoded[:len(encoded):len(encoded)], 0), make([]byte, 4000)} {
		_, _ = raw.Write(payload)
	}
	sent := wire.Heartbeat{Answer: true, From: 1 << 63, To: 2, Seq: 1 << 31}
	waitFor(t, "the heartbeat", func() bool {
		if err := from.Send(toAddr, &sent); err != nil {
			t.Fatal(err)
		}
		got := lastReceived.Load()
		return got != nil && *got == sent
	})
	waitFor(t, "four malformed datagrams", func() bool { return to.Stats().Malformed == 4 })
	if s := from.Stats(); s.Sent == 0 || s.Bytes == 0 {
		t.Errorf("stats of the sender: %+v", s)
	}
	_ = to.Close()
	if err := <-serveErr; err != nil {
		t.Errorf("Serve: %v", err)
	}
}
