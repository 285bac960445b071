package pipeline_test

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"fulmarrun/pipeline"
)

// stream returns requests of each sort, one of them with a body that looks like a
// request.
func stream() string {
	return get("/1") + get("/2") + post("/3", get("/not")) + get("/4") +
		"POST /5 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n0\r\n\r\n" +
		get("/6") + get("/7")
}

// exchange sends text in pieces and returns the answers until the server closes the
// connection.
func exchange(t testing.TB, s *server, pieces ...string) []answer {
	t.Helper()
	c := s.dial(t)
	defer func() { _ = c.Close() }()
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(time.Millisecond)
		}
		if _, err := c.Write([]byte(piece)); err != nil {
			break
		}
	}
	if half, ok := c.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	return c.readAnswers()
}

// TestStreamCutAnywhere checks that requests are answered as by net/http alone wherever
// the stream is cut in two writes.
func TestStreamCutAnywhere(t *testing.T) {
	text := stream()
	s := serve(t, http.HandlerFunc(echo))
	want := exchange(t, serveNetHTTP(t, http.HandlerFunc(echo)), text)
	if len(want) != 7 {
		t.Fatalf("%d answers: %+v", len(want), want)
	}
	for cut := range text {
		if got := exchange(t, s, text[:cut], text[cut:]); !slices.Equal(got, want) {
			t.Fatalf("cut at %d: got %+v", cut, got)
		}
	}
}

// withoutFinalBadRequest drops a final 400, which net/http does not send reliably. If the
// last request of a stream is malformed or truncated, the final answer is a 400 or is
// missing, depending on whether the connection is closed before or after the rest of the
// stream has arrived: with net/http alone, 4 of 100 exchanges of one corpus input had the
// 400, and 596 of 600 of another.
func withoutFinalBadRequest(answers []answer) []answer {
	if len(answers) == 0 {
		return answers
	}
	last := answers[len(answers)-1]
	if last.status == http.StatusBadRequest && last.closes && strings.HasPrefix(last.body, "400 Bad Request") {
		return answers[:len(answers)-1]
	}
	return answers
}

// FuzzIngress compares the answers to arbitrary bytes, cut anywhere, with those of
// net/http alone.
func FuzzIngress(f *testing.F) {
	f.Add([]byte(stream()), uint16(10), uint16(100))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"), uint16(3), uint16(30))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"+get("/2")), uint16(3), uint16(30))
	f.Add([]byte(get("/1")+"GET /2 HTTP/1.1\r\nHost: a\r\n \r\nX: y\r\n\r\n"+get("/3")), uint16(3), uint16(60))
	f.Add([]byte(post("/1", strings.Repeat("b", 9000))+get("/2")), uint16(30), uint16(5000))
	f.Add([]byte("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+get("/2")), uint16(3), uint16(90))
	f.Add([]byte("GET /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab"+get("/2")), uint16(3), uint16(90))
	served := serve(f, http.HandlerFunc(echo), pipeline.WithMaxPipelined(3))
	netHTTP := serveNetHTTP(f, http.HandlerFunc(echo))
	f.Fuzz(func(t *testing.T, data []byte, a, b uint16) {
		text := string(data)
		cuts := []int{min(int(a), len(text)), min(int(b), len(text))}
		slices.Sort(cuts)
		pieces := []string{text[:cuts[0]], text[cuts[0]:cuts[1]], text[cuts[1]:]}
		want := withoutFinalBadRequest(exchange(t, netHTTP, pieces...))
		if got := withoutFinalBadRequest(exchange(t, served, pieces...)); !slices.Equal(got, want) {
			t.Errorf("%q cut at %v: got %+v, want %+v", text, cuts, got, want)
		}
	})
}
