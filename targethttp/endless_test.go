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

// endlessAnswer is an answer that never ends: prefix once, and then repeated forever.
type endlessAnswer struct {
	name, prefix, repeated string
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func endlessAnswers() []endlessAnswer {
	x := strings.Repeat("x", 4<<10)
	return []endlessAnswer{
		{"no answer", "", x},
		{"lines that are no HTTP answer", "", "x\r\n"},
		{"status line", "HTTP/1.1 200 ", x},
		{"head", "HTTP/1.1 200 OK\r\n", "A: " + x + "\r\n"},
		{"head of one line", "HTTP/1.1 200 OK\r\nA: ", x},
		{"folded line", "HTTP/1.1 200 OK\r\nA: x\r\n", " x\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", x},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", x},
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

// send writes the answer until a write fails, and returns the number of bytes written.
func (e endlessAnswer) send(w io.Writer) (total int) {
	repeated := e.repeated
	for len(repeated) < 4<<10 {
		repeated += e.repeated
	}
	total, err := io.WriteString(w, e.prefix)
	for n := 0; err == nil; total += n {
		n, err = io.WriteString(w, repeated)
	}
	return total
}

// TestEndlessAnswers checks that the client stops reading an endless answer as soon as a
// limit is exceeded, long before the deadline of the request, and closes the connection.
func TestEndlessAnswers(t *testing.T) {
	for _, e := range endlessAnswers() {
		t.Run(e.name, func(t *testing.T) {
			closed := make(chan struct{})
			address := listen(t, func(_ int, c net.Conn) {
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
			resp, err := client.Do(ctx, newRequest(), targethttp.Fence{})
			if err == nil || resp.Outcome != wire.OutcomeUnknown || resp.Reason == targethttp.ReasonTimeout {
				t.Errorf("got outcome %v reason %q, error %v", resp.Outcome, resp.Reason, err)
			}
			<-closed
		})
	}
}

// TestSlowEndlessAnswer checks that the client stops reading an endless answer that
// arrives byte by byte at the deadline of the request.
func TestSlowEndlessAnswer(t *testing.T) {
	for _, first := range []string{"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", chunkedHead + "1;"} {
		closed := make(chan struct{})
		address := listen(t, func(_ int, c net.Conn) {
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
		resp, err := client.Do(ctx, newRequest(), targethttp.Fence{})
		if err == nil || resp.Outcome != wire.OutcomeUnknown || resp.Reason != targethttp.ReasonTimeout {
			t.Errorf("%q: got outcome %v reason %q, error %v", first, resp.Outcome, resp.Reason, err)
		}
		<-closed
		cancel()
		client.Close()
	}
}

// maxReportBytes is how much of an endless report a client may take before it closes the
// connection: what it reads at most, and what the buffers of the sockets hold.
const maxReportBytes = 8 << 20

// TestEndlessReports checks that the client stops reading a health report, a report of load or a
// reply to a grant that does not end.
func TestEndlessReports(t *testing.T) {
	for _, e := range endlessAnswers() {
		t.Run(e.name, func(t *testing.T) {
			taken := make(chan int, 2)
			address := listen(t, func(_ int, c net.Conn) {
				total := 0
				if readRequest(c) {
					_ = c.SetWriteDeadline(time.Now().Add(time.Minute))
					total = e.send(c)
				}
				taken <- total
			})
			client := targethttp.NewClient()
			defer client.Close()
			client.SetDestination(targethttp.Destination{Address: address, ChecksFences: true})
			if status, err := client.Status(t.Context()); err == nil {
				t.Errorf("health: got %+v", status)
			}
			if reply, err := client.PushGrant(t.Context(), targethttp.Grant{}); err == nil {
				t.Errorf("grant: got %+v", reply)
			}
			for range 2 {
				if n := <-taken; n > maxReportBytes {
					t.Errorf("more than %d bytes were read", maxReportBytes)
				}
			}
		})
	}
}
