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

// testTimeout ends a test that hangs.
const testTimeout = 20 * time.Second

// isGet selects the requests that the tests start early.
func isGet(r *http.Request) bool { return r.Method == http.MethodGet }

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
	s.ingress = pipeline.New(h, append([]pipeline.Option{pipeline.WithEarlyStart(isGet)}, opts...)...)
	s.http = http.Server{Handler: s.ingress, ConnContext: pipeline.ConnContext, ReadHeaderTimeout: testTimeout}
	return s.start(t, s.ingress.Listen(l))
}

func serveNetHTTP(t testing.TB, h http.Handler) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), http: http.Server{Handler: h, ReadHeaderTimeout: testTimeout}}
	return s.start(t, l)
}

func (s *server) start(t testing.TB, l net.Listener) *server {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.http.Serve(l)
	}()
	t.Cleanup(func() {
		_ = s.http.Close()
		<-done
	})
	return s
}

// client is a connection of a caller.
type client struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial(t testing.TB) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t: t, Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer contains the parts of an answer that the tests compare.
type answer struct {
	status int
	body   string
	closes bool
}

// readAnswer reads one answer; ok is false at the end of the connection.
func (c *client) readAnswer() (answer, bool) {
	resp, err := http.ReadResponse(c.reader, nil)
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

func (c *client) readAnswers() []answer {
	var out []answer
	for {
		a, ok := c.readAnswer()
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

// echo answers with the method, URI, request ID and body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Header.Get("X-Request-Id"), body)
}

// blockingHandler is a handler that blocks each request until the test releases it.
type blockingHandler struct {
	mu       sync.Mutex
	started  map[string]context.Context
	releases map[string]chan struct{}
	// closes contains the paths whose answers close the connection.
	closes map[string]bool
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{started: make(map[string]context.Context), releases: make(map[string]chan struct{}), closes: make(map[string]bool)}
}

// release returns the channel whose close releases the request for path.
func (g *blockingHandler) release(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.releases[path] == nil {
		g.releases[path] = make(chan struct{})
	}
	return g.releases[path]
}

func (g *blockingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.started[r.URL.Path] = r.Context()
	closes := g.closes[r.URL.Path]
	g.mu.Unlock()
	select {
	case <-g.release(r.URL.Path):
	case <-r.Context().Done():
	}
	if closes {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// contextOf returns the context of the request for path if it has started, or nil.
func (g *blockingHandler) contextOf(path string) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started[path]
}

func waitFor(t testing.TB, condition string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met after %v: %s", testTimeout, condition)
		}
	}
}

func (g *blockingHandler) waitStarted(t testing.TB, paths ...string) {
	t.Helper()
	for _, path := range paths {
		waitFor(t, path+" has started", func() bool { return g.contextOf(path) != nil })
	}
}

// TestRequestsRunConcurrently checks that requests behind another one are started early,
// and answered in the order in which they arrived, whatever the order in which they end.
func TestRequestsRunConcurrently(t *testing.T) {
	for _, tc := range []struct {
		name   string
		writes []string
	}{
		{"one write", []string{get("/1") + get("/2") + get("/3")}},
		{"one write each", []string{get("/1"), get("/2"), get("/3")}},
		{"cut in the middle", []string{get("/1")[:20], get("/1")[20:] + get("/2")[:9], get("/2")[9:] + get("/3")}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newBlockingHandler()
			s := serve(t, g)
			c := s.dial(t)
			for _, text := range tc.writes {
				c.send(text)
				time.Sleep(20 * time.Millisecond)
			}
			g.waitStarted(t, "/1", "/2", "/3")
			for _, path := range []string{"/3", "/2", "/1"} {
				close(g.release(path))
			}
			for _, path := range []string{"/1", "/2", "/3"} {
				if a, ok := c.readAnswer(); !ok || a.body != path || a.closes {
					t.Fatalf("got %+v, %v, want %s", a, ok, path)
				}
			}
			waitFor(t, "no early request is left", func() bool { return s.ingress.EarlyRequests() == 0 })
		})
	}
}

// TestRequestsNotStartedEarly checks which requests are not started early: those that are
// not safe, those behind one that is not, and those over the limit.
func TestRequestsNotStartedEarly(t *testing.T) {
	for _, tc := range []struct {
		name                string
		text                string
		started, notStarted string
		opts                []pipeline.Option
	}{
		{"unsafe behind a safe one", get("/1") + post("/2", "b"), "/1", "/2", nil},
		{"behind an unsafe one", post("/1", "b") + get("/2"), "/1", "/2", nil},
		{"behind a queued unsafe one", get("/1") + post("/3", "b") + get("/2"), "/1", "/2", nil},
		{"behind one with Connection: close", "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/2"), "/1", "/2", nil},
		{"over the limit", get("/1") + get("/3") + get("/2"), "/3", "/2", []pipeline.Option{pipeline.WithMaxPipelined(1)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newBlockingHandler()
			c := serve(t, g, tc.opts...).dial(t)
			c.send(tc.text)
			g.waitStarted(t, tc.started)
			time.Sleep(50 * time.Millisecond)
			if g.contextOf(tc.notStarted) != nil {
				t.Errorf("%s was started early", tc.notStarted)
			}
		})
	}
}

// TestClosingAnswer checks that an answer with Connection: close leaves the connection
// open for requests behind it that were started early, and that none is started early
// once the connection will be closed.
func TestClosingAnswer(t *testing.T) {
	g := newBlockingHandler()
	g.closes["/1"], g.closes["/2"], g.closes["/3"] = true, true, true
	s := serve(t, g)
	c := s.dial(t)
	c.send(get("/1") + get("/2"))
	g.waitStarted(t, "/1", "/2")
	close(g.release("/1"))
	if a, ok := c.readAnswer(); !ok || a.body != "/1" || a.closes {
		t.Fatalf("got %+v, %v, want /1 and an open connection", a, ok)
	}
	c.send(get("/3"))
	g.waitStarted(t, "/3")
	close(g.release("/3"))
	close(g.release("/2"))
	if a, ok := c.readAnswer(); !ok || a.body != "/2" || a.closes {
		t.Fatalf("got %+v, %v, want /2 and an open connection", a, ok)
	}
	if a, ok := c.readAnswer(); !ok || a.body != "/3" || !a.closes {
		t.Fatalf("got %+v, %v, want /3 and the end of the connection", a, ok)
	}
}

// TestCallerDisconnects checks that the contexts of all requests of a connection end when
// the caller closes it, also if the requests were sent one at a time.
func TestCallerDisconnects(t *testing.T) {
	g := newBlockingHandler()
	c := serve(t, g).dial(t)
	c.send(get("/1"))
	g.waitStarted(t, "/1")
	c.send(get("/2"))
	g.waitStarted(t, "/2")
	c.send(get("/3"))
	g.waitStarted(t, "/3")
	_ = c.Close()
	for _, path := range []string{"/1", "/2", "/3"} {
		<-g.contextOf(path).Done()
	}
}

// TestShutdown checks that a server that shuts down once EarlyRequests is zero cuts off no
// request.
func TestShutdown(t *testing.T) {
	g := newBlockingHandler()
	var mu sync.Mutex
	stopping := false
	s := serve(t, g, pipeline.WithEarlyStart(func(*http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		return !stopping
	}))
	c := s.dial(t)
	c.send(get("/1") + get("/2") + get("/3"))
	g.waitStarted(t, "/1", "/2", "/3")
	mu.Lock()
	stopping = true
	mu.Unlock()
	c.send(get("/4"))
	for _, path := range []string{"/3", "/2", "/1"} {
		close(g.release(path))
	}
	waitFor(t, "no early request is left", func() bool { return s.ingress.EarlyRequests() == 0 })
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	shutdown := make(chan error)
	go func() { shutdown <- s.http.Shutdown(ctx) }()
	for _, path := range []string{"/1", "/2", "/3"} {
		if a, ok := c.readAnswer(); !ok || a.body != path {
			t.Errorf("got %+v, %v, want %s", a, ok, path)
		}
	}
	close(g.release("/4"))
	if err := <-shutdown; err != nil {
		t.Error(err)
	}
}

// TestRequestsRunOnce checks over many connections that each request runs once, and that
// EarlyRequests returns to zero.
func TestRequestsRunOnce(t *testing.T) {
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
					if a, ok := c.readAnswer(); !ok || !strings.HasPrefix(a.body, "GET "+path+" ") {
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
	waitFor(t, "no early request is left", func() bool { return s.ingress.EarlyRequests() == 0 })
}

// TestPanic checks that a handler that panics closes its own connection only.
func TestPanic(t *testing.T) {
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			panic(http.ErrAbortHandler)
		}
		echo(w, r)
	}))
	c := s.dial(t)
	c.send(get("/1") + get("/2"))
	if got := len(c.readAnswers()); got != 1 {
		t.Errorf("%d answers, want 1", got)
	}
	c = s.dial(t)
	c.send(get("/3"))
	if _, ok := c.readAnswer(); !ok {
		t.Error("the next connection is not served after a panic")
	}
}

// TestSlowHead checks that a request whose head arrives in parts is served, even if the
// second part arrives after headTimeout.
func TestSlowHead(t *testing.T) {
	c := serve(t, http.HandlerFunc(echo)).dial(t)
	c.send(get("/1")[:10])
	time.Sleep(2500 * time.Millisecond)
	c.send(get("/1")[10:] + get("/2"))
	for _, path := range []string{"/1", "/2"} {
		if a, ok := c.readAnswer(); !ok || !strings.HasPrefix(a.body, "GET "+path) {
			t.Errorf("got %+v, %v", a, ok)
		}
	}
}

// TestAnswersMatchRequests checks that no request gets the answer to another one: the
// package finds the same end of a head as net/http, and compares each request with the
// one that was started early. If a mutation breaks both rules, the test must detect the
// wrong answer.
func TestAnswersMatchRequests(t *testing.T) {
	// For net/http, the empty line without CR is the end of the first request.
	text := "GET /1 HTTP/1.1\r\nHost: a\r\n\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, tc := range []struct {
		name string
		opts []pipeline.Option
		// startsEarly is true if /1 and /3 are started early.
		startsEarly bool
		wrong       bool
	}{
		{"neither", nil, false, false},
		{"end", []pipeline.Option{pipeline.WithWrongHeadEnd()}, true, false},
		{"comparison", []pipeline.Option{pipeline.WithoutRequestComparison()}, false, false},
		{"both", []pipeline.Option{pipeline.WithWrongHeadEnd(), pipeline.WithoutRequestComparison()}, true, true},
	} {
		g := newBlockingHandler()
		// With room for one request, the start of the next one is passed to net/http while
		// one is served.
		s := serve(t, g, append(tc.opts, pipeline.WithMaxPipelined(1))...)
		c := s.dial(t)
		c.send(get("/0"))
		g.waitStarted(t, "/0")
		c.send(text + get("/3"))
		if tc.startsEarly {
			g.waitStarted(t, "/1")
		}
		close(g.release("/0"))
		if tc.startsEarly {
			g.waitStarted(t, "/3")
		}
		for _, path := range []string{"/1", "/2", "/3"} {
			close(g.release(path))
		}
		wrong := false
		for _, path := range []string{"/0", "/1", "/2", "/3"} {
			a, ok := c.readAnswer()
			wrong = wrong || !ok || a.body != path
		}
		if wrong != tc.wrong {
			t.Errorf("mutation %q: wrong answers %v, want %v", tc.name, wrong, tc.wrong)
		}
	}
}
