package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarrun/pipeline"
)

// limit ends a test that hangs.
const limit = 20 * time.Second

// safe tells which requests the tests begin before their turn.
func safe(r *http.Request) bool { return r.Method == http.MethodGet }

// server serves a handler on loopback, by an ingress or by net/http alone.
type server struct {
	http    http.Server
	ingress *pipeline.Ingress
	address string
}

func serve(t testing.TB, h http.Handler, opts ...pipeline.Option) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	s.ingress = pipeline.New(h, append([]pipeline.Option{pipeline.WithEarlyStart(safe)}, opts...)...)
	s.http = http.Server{Handler: s.ingress, ConnContext: pipeline.ConnContext, ReadHeaderTimeout: limit}
	return s.start(t, s.ingress.Listen(l))
}

func servePlain(t testing.TB, h http.Handler) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), http: http.Server{Handler: h, ReadHeaderTimeout: limit}}
	return s.start(t, l)
}

func (s *server) start(t testing.TB, l net.Listener) *server {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.http.Serve(l)
	}()
	t.Cleanup(func() {
		_ = s.http.Close()
		<-ended
	})
	return s
}

// client is a connection of a caller.
type client struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

func (s *server) dial(t testing.TB) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(limit))
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t: t, Conn: conn, in: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer is what the tests compare of an answer.
type answer struct {
	status int
	body   string
	closes bool
}

// next reads one answer; ok is false at the end of the connection.
func (c *client) next() (answer, bool) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, false
	}
	return answer{resp.StatusCode, string(body), resp.Close}, true
}

func (c *client) all() []answer {
	var out []answer
	for {
		a, ok := c.next()
		if !ok {
			return out
		}
		out = append(out, a)
	}
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + path + "\r\n\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// echo answers with what it was asked.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Header.Get("X-Request-Id"), body)
}

// gate is a handler whose requests wait for the test.
type gate struct {
	mu    sync.Mutex
	begun map[string]context.Context
	open  map[string]chan struct{}
	// closes names the paths whose answers close the connection.
	closes map[string]bool
}

func newGate() *gate {
	return &gate{begun: make(map[string]context.Context), open: make(map[string]chan struct{}), closes: make(map[string]bool)}
}

func (g *gate) door(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[path] == nil {
		g.open[path] = make(chan struct{})
	}
	return g.open[path]
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.begun[r.URL.Path] = r.Context()
	closes := g.closes[r.URL.Path]
	g.mu.Unlock()
	select {
	case <-g.door(r.URL.Path):
	case <-r.Context().Done():
	}
	if closes {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// contextOf returns the context of a request that was begun, or nil.
func (g *gate) contextOf(path string) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun[path]
}

func until(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not so after %v: %s", limit, what)
		}
	}
}

func (g *gate) waitBegun(t testing.TB, paths ...string) {
	t.Helper()
	for _, path := range paths {
		until(t, path+" is begun", func() bool { return g.contextOf(path) != nil })
	}
}

// TestSideBySide checks that requests which wait behind another are begun, and answered
// in the order in which they came, whatever the order in which they end.
func TestSideBySide(t *testing.T) {
	for _, tc := range []struct {
		name   string
		writes []string
	}{
		{"one write", []string{get("/1") + get("/2") + get("/3")}},
		{"one write each", []string{get("/1"), get("/2"), get("/3")}},
		{"cut in the middle", []string{get("/1")[:20], get("/1")[20:] + get("/2")[:9], get("/2")[9:] + get("/3")}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate()
			s := serve(t, g)
			c := s.dial(t)
			for _, text := range tc.writes {
				c.send(text)
				time.Sleep(20 * time.Millisecond)
			}
			g.waitBegun(t, "/1", "/2", "/3")
			for _, path := range []string{"/3", "/2", "/1"} {
				close(g.door(path))
			}
			for _, path := range []string{"/1", "/2", "/3"} {
				if a, ok := c.next(); !ok || a.body != path || a.closes {
					t.Fatalf("got %+v, %v, want %s", a, ok, path)
				}
			}
			until(t, "none is left", func() bool { return s.ingress.EarlyRequests() == 0 })
		})
	}
}

// TestOneAfterTheOther checks what is not begun before its turn: requests that are not
// safe, those behind one that is not, and those over the limit.
func TestOneAfterTheOther(t *testing.T) {
	for _, tc := range []struct {
		name          string
		text          string
		begun, behind string
		opts          []pipeline.Option
	}{
		{"behind a safe one", get("/1") + post("/2", "b"), "/1", "/2", nil},
		{"behind one that is not", post("/1", "b") + get("/2"), "/1", "/2", nil},
		{"behind one that waits", get("/1") + post("/3", "b") + get("/2"), "/1", "/2", nil},
		{"behind the last of its caller", "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/2"), "/1", "/2", nil},
		{"over the limit", get("/1") + get("/3") + get("/2"), "/3", "/2", []pipeline.Option{pipeline.WithMaxPipelined(1)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate()
			c := serve(t, g, tc.opts...).dial(t)
			c.send(tc.text)
			g.waitBegun(t, tc.begun)
			time.Sleep(50 * time.Millisecond)
			if g.contextOf(tc.behind) != nil {
				t.Errorf("%s was begun", tc.behind)
			}
		})
	}
}

// TestClosingAnswer checks that an answer which closes the connection leaves it open for
// requests that were begun behind it, and that none is begun once it will be closed.
func TestClosingAnswer(t *testing.T) {
	g := newGate()
	g.closes["/1"], g.closes["/2"], g.closes["/3"] = true, true, true
	s := serve(t, g)
	c := s.dial(t)
	c.send(get("/1") + get("/2"))
	g.waitBegun(t, "/1", "/2")
	close(g.door("/1"))
	if a, ok := c.next(); !ok || a.body != "/1" || a.closes {
		t.Fatalf("got %+v, %v, want /1 and an open connection", a, ok)
	}
	c.send(get("/3"))
	g.waitBegun(t, "/3")
	close(g.door("/3"))
	close(g.door("/2"))
	if a, ok := c.next(); !ok || a.body != "/2" || a.closes {
		t.Fatalf("got %+v, %v, want /2 and an open connection", a, ok)
	}
	if a, ok := c.next(); !ok || a.body != "/3" || !a.closes {
		t.Fatalf("got %+v, %v, want /3 and the end of the connection", a, ok)
	}
}

// TestCallerLeaves checks that all requests of a connection end with it, also those that
// were sent on their own.
func TestCallerLeaves(t *testing.T) {
	g := newGate()
	c := serve(t, g).dial(t)
	c.send(get("/1"))
	g.waitBegun(t, "/1")
	c.send(get("/2"))
	g.waitBegun(t, "/2")
	c.send(get("/3"))
	g.waitBegun(t, "/3")
	_ = c.Close()
	for _, path := range []string{"/1", "/2", "/3"} {
		<-g.contextOf(path).Done()
	}
}

// TestStop checks that nothing is cut off if a server stops once none is left that was
// begun before its turn.
func TestStop(t *testing.T) {
	g := newGate()
	var mu sync.Mutex
	stopping := false
	s := serve(t, g, pipeline.WithEarlyStart(func(*http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		return !stopping
	}))
	c := s.dial(t)
	c.send(get("/1") + get("/2") + get("/3"))
	g.waitBegun(t, "/1", "/2", "/3")
	mu.Lock()
	stopping = true
	mu.Unlock()
	c.send(get("/4"))
	for _, path := range []string{"/3", "/2", "/1"} {
		close(g.door(path))
	}
	until(t, "none is left", func() bool { return s.ingress.EarlyRequests() == 0 })
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	ended := make(chan error)
	go func() { ended <- s.http.Shutdown(ctx) }()
	for _, path := range []string{"/1", "/2", "/3"} {
		if a, ok := c.next(); !ok || a.body != path {
			t.Errorf("got %+v, %v, want %s", a, ok, path)
		}
	}
	close(g.door("/4"))
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestOnce checks over many connections that each request is run once, and that nothing is
// left behind.
func TestOnce(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]int)
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.URL.Path]++
		mu.Unlock()
		echo(w, r)
	}))
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			for i := range 100 {
				c := s.dial(t)
				text := ""
				for k := range 4 {
					text += get(fmt.Sprintf("/%d-%d-%d", n, i, k))
				}
				if _, err := io.WriteString(c.Conn, text); err != nil {
					t.Error(err)
				}
				for k := range 4 {
					path := fmt.Sprintf("/%d-%d-%d", n, i, k)
					if a, ok := c.next(); !ok || !strings.HasPrefix(a.body, "GET "+path+" ") {
						t.Errorf("got %+v, %v, want %s", a, ok, path)
					}
				}
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	for path, n := range ran {
		if n != 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
	until(t, "none is left", func() bool { return s.ingress.EarlyRequests() == 0 })
}

// TestPanic checks that a handler which panics ends its connection alone.
func TestPanic(t *testing.T) {
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			panic(http.ErrAbortHandler)
		}
		echo(w, r)
	}))
	c := s.dial(t)
	c.send(get("/1") + get("/2"))
	if got := len(c.all()); got != 1 {
		t.Errorf("%d answers, want 1", got)
	}
	c = s.dial(t)
	c.send(get("/3"))
	if _, ok := c.next(); !ok {
		t.Error("the next connection is not served")
	}
}

// TestSlowHead checks that a head which comes in parts is served, after a pause too.
func TestSlowHead(t *testing.T) {
	c := serve(t, http.HandlerFunc(echo)).dial(t)
	c.send(get("/1")[:10])
	time.Sleep(2500 * time.Millisecond)
	c.send(get("/1")[10:] + get("/2"))
	for _, path := range []string{"/1", "/2"} {
		if a, ok := c.next(); !ok || !strings.HasPrefix(a.body, "GET "+path) {
			t.Errorf("got %+v, %v", a, ok)
		}
	}
}

// TestMistakes checks that an answer never goes to another request: the end of a head is
// found as net/http does, and each answer is compared with its request. Without both, the
// oracle finds the wrong answer.
func TestMistakes(t *testing.T) {
	// net/http takes the empty line without CR for the end of the first request.
	text := "GET /1 HTTP/1.1\r\nHost: a\r\n\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, tc := range []struct {
		name string
		opts []pipeline.Option
		// begins is true if requests behind are begun before their turn.
		begins bool
		wrong  bool
	}{
		{"neither", nil, false, false},
		{"end", []pipeline.Option{pipeline.WithWrongHeadEnd()}, true, false},
		{"comparison", []pipeline.Option{pipeline.WithoutRequestComparison()}, false, false},
		{"both", []pipeline.Option{pipeline.WithWrongHeadEnd(), pipeline.WithoutRequestComparison()}, true, true},
	} {
		g := newGate()
		// With room for one, the beginning of the next is handed over while one is served.
		s := serve(t, g, append(tc.opts, pipeline.WithMaxPipelined(1))...)
		c := s.dial(t)
		c.send(get("/0"))
		g.waitBegun(t, "/0")
		c.send(text + get("/3"))
		if tc.begins {
			g.waitBegun(t, "/1")
		}
		close(g.door("/0"))
		if tc.begins {
			g.waitBegun(t, "/3")
		}
		for _, path := range []string{"/1", "/2", "/3"} {
			close(g.door(path))
		}
		wrong := false
		for _, path := range []string{"/0", "/1", "/2", "/3"} {
			a, ok := c.next()
			wrong = wrong || !ok || a.body != path
		}
		if wrong != tc.wrong {
			t.Errorf("mistake %q: wrong answers %v, want %v", tc.name, wrong, tc.wrong)
		}
	}
}
