package tcp_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fulmarrun/tcp"
)

// connPair returns both ends of a connection.
func connPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err = tcp.NewDialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	tcp.SetTimeouts(server)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

func TestClosedByPeer(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  func(client net.Conn)
		want bool
	}{
		{"quiet", func(net.Conn) {}, false},
		{"bytes wait", func(c net.Conn) { _, _ = c.Write([]byte("x")) }, false},
		{"closed", func(c net.Conn) { _ = c.Close() }, true},
		{"reset", func(c net.Conn) {
			if tc, ok := c.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			_ = c.Close()
		}, true},
	} {
		client, server := connPair(t)
		tc.act(client)
		got := tcp.ClosedByPeer(server)
		for end := time.Now().Add(10 * time.Second); got != tc.want && time.Now().Before(end); got = tcp.ClosedByPeer(server) {
			time.Sleep(time.Millisecond)
		}
		if got != tc.want {
			t.Errorf("%s: closed by peer is %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestClosedByPeerConsumesNothing(t *testing.T) {
	client, server := connPair(t)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	tcp.ClosedByPeer(server)
	var b [1]byte
	if n, err := server.Read(b[:]); n != 1 || err != nil || b[0] != 'x' {
		t.Errorf("read %d bytes and error %v, want the sent byte", n, err)
	}
}

// TestAckTimeout checks how long sent bytes may stay unacknowledged, for both ends of a
// connection.
func TestAckTimeout(t *testing.T) {
	for _, tc := range []struct {
		name string
		opts []tcp.Option
		want time.Duration
	}{
		{"default", nil, 3 * time.Second},
		{"another daemon", []tcp.Option{tcp.WithAckTimeout(tcp.PeerAckTimeout)}, 1500 * time.Millisecond},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		dialed, err := tcp.NewDialer(time.Second, tc.opts...).DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		tcp.SetTimeouts(accepted, tc.opts...)
		for _, conn := range []net.Conn{dialed, accepted} {
			if got := ackTimeout(t, conn); got != tc.want {
				t.Errorf("%s: acknowledgement time-out %v, want %v", tc.name, got, tc.want)
			}
			_ = conn.Close()
		}
		_ = l.Close()
	}
}

func ackTimeout(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	c, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatal("connection is not TCP")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if err := raw.Control(func(fd uintptr) {
		value, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	return time.Duration(value) * time.Millisecond
}
