package peer_test

import (
	"net"
	"testing"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

// FuzzServer sends arbitrary bytes to a server and checks that it still answers other
// clients.
func FuzzServer(f *testing.F) {
	call, _ := peer.AppendFrame(nil, peer.KindFetch, 1, &wire.FetchObject{Digest: "a"})
	cancel, _ := peer.AppendFrame(nil, peer.KindCancel, 1, &wire.Cancel{Reason: "b"})
	f.Add(call)
	f.Add(append(call, cancel...))
	f.Add(append(append([]byte{}, call...), call...))
	f.Add([]byte{0, 0, 0, 9, 0x7f, 0, 0, 0, 0, 0, 0, 0, 1})
	_, addr := startServer(f, echo)
	c := newClient(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(data)
		_ = conn.Close()
		if got, err := fetch(c, addr, "intact"); err != nil || got != "intact" {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}
