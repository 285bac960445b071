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

// patience bounds what must happen sooner or later; it is no bound of speed.
const patience = 20 * time.Second

func listen(t testing.TB) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// serve starts a server whose handler of Fetch is fn.
func serve(t testing.TB, fn func(context.Context, *wire.FetchObject) (*wire.Object, error), opts ...peer.Option) (*peer.Server, netip.AddrPort) {
	t.Helper()
	l, addr := listen(t)
	s := peer.NewServer(opts...)
	peer.Handle(s, peer.KindFetch, fn)
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return fetchIn(ctx, c, addr, digest)
}

func fetchIn(ctx context.Context, c *peer.Client, addr netip.AddrPort, digest string) (string, error) {
	got, err := peer.Call[wire.Object](ctx, c, addr, peer.KindFetch, &wire.FetchObject{Digest: digest})
	if err != nil {
		return "", err
	}
	return string(got.Data), nil
}

func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen: %s", what)
		}
	}
}

// calls accepts one connection and gives each frame that comes to answer.
func calls(t testing.TB, answer func(c net.Conn, f peer.Frame)) netip.AddrPort {
	t.Helper()
	l, addr := listen(t)
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
					answer(c, f)
				}
			}()
		}
	}()
	return addr
}

func reply(c net.Conn, id uint64, data string) {
	frame, _ := peer.AppendFrame(nil, peer.KindFetch|0x80, id, &wire.Object{Data: []byte(data)})
	_, _ = c.Write(frame)
}

func TestCallErrors(t *testing.T) {
	failing := func(context.Context, *wire.FetchObject) (*wire.Object, error) { return nil, errors.New("not ready") }
	big := func(context.Context, *wire.FetchObject) (*wire.Object, error) {
		return object(peer.DefaultMaxFrame+1, 0), nil
	}
	_, failed := serve(t, failing)
	_, tooLong := serve(t, big)
	_, full := serve(t, echo, peer.WithMaxCalls(0))
	l, refused := listen(t)
	_ = l.Close()
	cases := []struct {
		name   string
		addr   netip.AddrPort
		digest string
		want   error
	}{
		{"refused dial", refused, "x", peer.ErrNotSent},
		{"request too long", failed, string(make([]byte, peer.DefaultMaxFrame)), peer.ErrNotSent},
		{"handler has no reply", failed, "x", peer.ErrFailed},
		{"reply too long", tooLong, "x", peer.ErrFailed},
		{"too many calls", full, "x", peer.ErrRefused},
		{"cut", calls(t, func(c net.Conn, _ peer.Frame) { _ = c.Close() }), "x", peer.ErrBroken},
		{"reply of another kind", calls(t, func(c net.Conn, f peer.Frame) {
			frame, _ := peer.AppendFrame(nil, peer.KindVote|0x80, f.ID, &wire.Verdict{})
			_, _ = c.Write(frame)
		}), "x", peer.ErrBroken},
		{"half a reply", calls(t, func(c net.Conn, f peer.Frame) {
			frame, _ := peer.AppendFrame(nil, peer.KindFetch|0x80, f.ID, object(100, 1))
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

func TestRepliesFindTheirCall(t *testing.T) {
	t.Run("one that nobody waits for is dropped and counted", func(t *testing.T) {
		addr := calls(t, func(c net.Conn, f peer.Frame) {
			reply(c, f.ID+1000, "crossed")
			reply(c, f.ID, "own")
			reply(c, f.ID, "doubled")
		})
		client := newClient(t)
		for range 3 {
			if got, err := fetch(client, addr, "x"); got != "own" {
				t.Errorf("%q, %v", got, err)
			}
		}
		until(t, "six late replies", func() bool { return client.Stats().LateReplies == 6 })
	})
	t.Run("one that comes after its call was given up", func(t *testing.T) {
		held := make(chan uint64, 1)
		addr := calls(t, func(c net.Conn, f peer.Frame) {
			switch f.Kind {
			case peer.KindFetch:
				select {
				case held <- f.ID:
				default:
					reply(c, f.ID, "second")
				}
			case peer.KindCancel:
				reply(c, f.ID, "first")
			}
		})
		client := newClient(t)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			until(t, "the call at the peer", func() bool { return len(held) == 1 })
			cancel()
		}()
		if _, err := fetchIn(ctx, client, addr, "x"); !errors.Is(err, context.Canceled) {
			t.Errorf("given up: %v", err)
		}
		until(t, "a late reply", func() bool { return client.Stats().LateReplies == 1 })
		if got, err := fetch(client, addr, "x"); got != "second" {
			t.Errorf("%q, %v", got, err)
		}
	})
}

func TestCancelReachesTheHandler(t *testing.T) {
	began, ended := make(chan struct{}), make(chan error, 1)
	_, addr := serve(t, func(ctx context.Context, _ *wire.FetchObject) (*wire.Object, error) {
		close(began)
		<-ctx.Done()
		ended <- ctx.Err()
		return &wire.Object{}, nil
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("rerouted")
	go func() {
		<-began
		cancel(cause)
	}()
	if _, err := fetchIn(ctx, newClient(t), addr, "x"); !errors.Is(err, cause) {
		t.Errorf("%v", err)
	}
	select {
	case <-ended:
	case <-time.After(patience):
		t.Error("the handler was not told")
	}
}

func TestGarbageEndsItsConnectionOnly(t *testing.T) {
	short := binary.BigEndian.AppendUint32(nil, 3)
	noKind, _ := peer.AppendFrame(nil, 99, 1, &wire.FetchObject{})
	noBody, _ := peer.AppendFrame(nil, peer.KindFetch, 1, &wire.Heartbeat{})
	release := make(chan struct{})
	held, _ := peer.AppendFrame(nil, peer.KindFetch, 1, &wire.FetchObject{Digest: "hold"})
	s, addr := serve(t, func(ctx context.Context, q *wire.FetchObject) (*wire.Object, error) {
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
	for i, garbage := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"), short, noKind, noBody, append(held, held...),
	} {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(garbage)
		_ = c.SetReadDeadline(time.Now().Add(patience))
		if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("garbage %d: still open", i)
		}
		_ = c.Close()
	}
	until(t, "five malformed", func() bool { return s.Stats().MalformedFrames == 5 })
	if got, err := fetch(client, addr, "after"); got != "after" || client.Stats().OpenConns != 1 {
		t.Errorf("%q, %v, %+v", got, err, client.Stats())
	}
}

// A peer that was paused for longer than a write may take must find its
// connection ended, not one on which no reply is ever whole again.
func TestStoppedReaderOfReplies(t *testing.T) {
	_, addr := serve(t, func(context.Context, *wire.FetchObject) (*wire.Object, error) { return object(8<<20, 1), nil })
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
	_ = c.SetReadDeadline(time.Now().Add(patience))
	if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open")
	}
}

// A peer that does not read holds nobody up until the end of their wait.
func TestStoppedReaderOfCalls(t *testing.T) {
	l, addr := listen(t)
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
	big := string(make([]byte, 4<<20))
	errs := make(chan error, 8)
	for range cap(errs) {
		go func() {
			_, err := fetch(client, addr, big)
			errs <- err
		}()
	}
	for range cap(errs) {
		if err := <-errs; errors.Is(err, context.DeadlineExceeded) || err == nil {
			t.Errorf("%v", err)
		}
	}
}

func TestClosedClientStaysClosed(t *testing.T) {
	s, addr := serve(t, echo)
	client := newClient(t)
	if _, err := fetch(client, addr, "x"); err != nil {
		t.Fatal(err)
	}
	client.Retain(func(netip.AddrPort) bool { return false })
	until(t, "no connection", func() bool { return s.Stats().OpenConns == 0 })
	if _, err := fetch(client, addr, "x"); err != nil {
		t.Errorf("after Retain: %v", err)
	}
	client.Close()
	if _, err := fetch(client, addr, "x"); !errors.Is(err, peer.ErrNotSent) {
		t.Errorf("after Close: %v", err)
	}
	until(t, "no connection", func() bool { return s.Stats().OpenConns == 0 && client.Stats().OpenConns == 0 })
}

// Many calls at a time leave few goroutines behind, and those serve on.
func TestWorkersEndAfterABurst(t *testing.T) {
	var running atomic.Int32
	release := make(chan struct{})
	s, addr := serve(t, func(ctx context.Context, q *wire.FetchObject) (*wire.Object, error) {
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
	until(t, "all calls", func() bool { return running.Load() == calls })
	if n := s.Stats().OpenConns; n != 1 {
		t.Errorf("%d connections", n)
	}
	close(release)
	for range calls {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	until(t, "few goroutines", func() bool { return runtime.NumGoroutine() < before+calls/10 })
	if got, err := fetch(client, addr, "after"); got != "after" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestServerCloseEndsCalls(t *testing.T) {
	began := make(chan struct{})
	s, addr := serve(t, func(ctx context.Context, q *wire.FetchObject) (*wire.Object, error) {
		close(began)
		<-ctx.Done()
		return echo(ctx, q)
	})
	ended := make(chan error, 1)
	client := newClient(t)
	go func() {
		_, err := fetch(client, addr, "x")
		ended <- err
	}()
	<-began
	s.Close()
	if err := <-ended; !errors.Is(err, peer.ErrBroken) {
		t.Errorf("%v", err)
	}
}

func TestDatagrams(t *testing.T) {
	open := func() (*peer.Datagrams, netip.AddrPort) {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		d := peer.NewDatagrams(c)
		t.Cleanup(func() { _ = d.Close() })
		return d, netip.MustParseAddrPort(c.LocalAddr().String())
	}
	from, fromAddr := open()
	to, toAddr := open()
	var heard atomic.Pointer[wire.Heartbeat]
	served := make(chan error, 1)
	go func() {
		served <- to.Serve(func(addr netip.AddrPort, hb wire.Heartbeat) {
			if addr != fromAddr {
				t.Errorf("from %s", addr)
			}
			heard.Store(&hb)
		})
	}()
	raw, err := net.Dial("udp", toAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	whole, _ := wire.Encode(&wire.Heartbeat{From: 1, To: 2, Seq: 3})
	for _, garbage := range [][]byte{[]byte("x"), whole[:len(whole)-1], append(whole[:len(whole):len(whole)], 0), make([]byte, 4000)} {
		_, _ = raw.Write(garbage)
	}
	sent := wire.Heartbeat{Answer: true, From: 1 << 63, To: 2, Seq: 1 << 31}
	until(t, "the heartbeat", func() bool {
		if err := from.Send(toAddr, &sent); err != nil {
			t.Fatal(err)
		}
		got := heard.Load()
		return got != nil && *got == sent
	})
	until(t, "four malformed", func() bool { return to.Stats().Malformed == 4 })
	if s := from.Stats(); s.Sent == 0 || s.Bytes == 0 {
		t.Errorf("%+v", s)
	}
	_ = to.Close()
	if err := <-served; err != nil {
		t.Errorf("Serve: %v", err)
	}
}
