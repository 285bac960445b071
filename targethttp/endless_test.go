package targethttp_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// endless is a sort of bytes that come without end: first once, and then again and again.
type endless struct {
	name, first, again string
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func endlessAnswers() []endless {
	x := strings.Repeat("x", 4<<10)
	return []endless{
		{"no answer", "", x},
		{"lines that are no answer", "", "x\r\n"},
		{"status line", "HTTP/1.1 200 ", x},
		{"head", "HTTP/1.1 200 OK\r\n", "A: " + x + "\r\n"},
		{"head of one line", "HTTP/1.1 200 OK\r\nA: ", x},
		{"folded line", "HTTP/1.1 200 OK\r\nA: x\r\n", " x\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", x},
		{"body without one", "HTTP/1.1 200 OK\r\n\r\n", x},
		{"chunks", chunkedHead, "1000\r\n" + x + "\r\n"},
		{"chunks of a byte", chunkedHead, "1\r\nx\r\n"},
		{"chunk", chunkedHead + "fffffffffff\r\n", x},
		{"length of a chunk", chunkedHead, "0"},
		{"chunk extension", chunkedHead + "1;", x},
		{"chunk extensions", chunkedHead, "1;a=b\r\nx\r\n"},
		{"trailer", chunkedHead + "0\r\nA: ", x},
		{"trailers", chunkedHead + "0\r\n", "A: b\r\n"},
	}
}

// send writes until the connection ends.
func (e endless) send(c net.Conn) {
	again := e.again
	for len(again) < 4<<10 {
		again += e.again
	}
	if _, err := io.WriteString(c, e.first); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(c, again); err != nil {
			return
		}
	}
}

// TestEndless checks that an answer without end is given up as soon as a bound is passed,
// long before its caller's time is over, and that its connection is closed.
func TestEndless(t *testing.T) {
	for _, e := range endlessAnswers() {
		t.Run(e.name, func(t *testing.T) {
			closed := make(chan struct{})
			address := scripted(t, func(_ int, c net.Conn) {
				if readRequest(c) {
					e.send(c)
				}
				close(closed)
			})
			client := targethttp.NewClient(targethttp.WithMaxBody(1 << 20))
			defer client.Close()
			client.SetDestination(targethttp.Destination{Address: address})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			resp, err := client.Do(ctx, booking(), targethttp.Fence{})
			if err == nil || resp.Outcome != wire.OutcomeUnknown || resp.Reason == targethttp.ReasonTimeout {
				t.Errorf("got outcome %v reason %q, error %v", resp.Outcome, resp.Reason, err)
			}
			<-closed
		})
	}
}

// TestTrickle checks that an answer whose bytes come one by one without end lasts until
// the time of its request is over, and no longer.
func TestTrickle(t *testing.T) {
	for _, first := range []string{"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", chunkedHead + "1;"} {
		closed := make(chan struct{})
		address := scripted(t, func(_ int, c net.Conn) {
			defer close(closed)
			if !readRequest(c) {
				return
			}
			_, err := io.WriteString(c, first)
			for ; err == nil; time.Sleep(5 * time.Millisecond) {
				_, err = io.WriteString(c, "x")
			}
		})
		client := targethttp.NewClient()
		client.SetDestination(targethttp.Destination{Address: address})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		resp, err := client.Do(ctx, booking(), targethttp.Fence{})
		if err == nil || resp.Outcome != wire.OutcomeUnknown || resp.Reason != targethttp.ReasonTimeout {
			t.Errorf("%q: got outcome %v reason %q, error %v", first, resp.Outcome, resp.Reason, err)
		}
		<-closed
		cancel()
		client.Close()
	}
}
