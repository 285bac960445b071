package peer_test

import (
	"context"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

const (
	// maxReplyBytes is how much of a reply that does not end a client may take before it closes the
	// connection, in bytes: the longest frame, and what the buffers of the sockets hold.
	maxReplyBytes = peer.DefaultMaxFrame + 16<<20
	// maxReplyMemory is by how much the heap may grow while a daemon sends replies to no call without
	// end, which a client reads on and drops, in bytes.
	maxReplyMemory = peer.DefaultMaxFrame
)

// TestEndlessReplies checks that a client takes no more than a frame of a reply that does not end and
// keeps none of the replies to no call, and that a call ends by its deadline at the latest.
func TestEndlessReplies(t *testing.T) {
	unknown, err := peer.AppendFrame(nil, peer.KindRows|0x80, 1<<60, &wire.Ack{Reason: strings.Repeat("x", 1<<20)})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name, first, repeated string
		// framed is true if the bytes are valid frames, so that the client reads on.
		framed bool
	}{
		{"bytes that are no frame", "", strings.Repeat("x", 32<<10), false},
		{"frame over the limit", "\x7f\xff\xff\xff", strings.Repeat("x", 32<<10), false},
		{"longest frame", "\x01\x00\x00\x00\x83\x00\x00\x00\x00\x00\x00\x00\x01", strings.Repeat("x", 32<<10), false},
		{"empty frames", "", strings.Repeat("\x00", 32<<10), false},
		{"replies to no call", "", string(unknown), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, address := listenTCP(t)
			taken := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					taken <- 0
					return
				}
				defer func() { _ = conn.Close() }()
				total, err := io.WriteString(conn, tc.first)
				for n := 0; err == nil && (tc.framed || total <= maxReplyBytes); total += n {
					n, err = io.WriteString(conn, tc.repeated)
				}
				taken <- total
			}()
			client := peer.NewClient()
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			_, err := peer.Call[wire.Ack](ctx, client, address, peer.KindRows, &wire.Ack{})
			runtime.GC()
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("the call got a reply")
			}
			if tc.framed {
				client.Close()
			}
			n := <-taken
			if tc.framed && after.HeapAlloc > before.HeapAlloc+maxReplyMemory {
				t.Errorf("heap grew from %d to %d bytes while %d bytes were read", before.HeapAlloc, after.HeapAlloc, n)
			}
			if !tc.framed && n > maxReplyBytes {
				t.Errorf("more than %d bytes were read", maxReplyBytes)
			}
		})
	}
}
