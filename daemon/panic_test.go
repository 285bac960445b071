package daemon_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"fulmarrun/config"
	"fulmarrun/daemon"
	"fulmarrun/logs"
	"fulmarrun/platformstub"
	"fulmarrun/storage"
)

// limit ends a test that hangs.
const limit = 20 * time.Second

// journal keeps the log of a daemon.
type journal struct {
	mu   sync.Mutex
	text strings.Builder
}

func (j *journal) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(p)
}

func (j *journal) count(text string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Count(j.text.String(), text)
}

// started is a daemon that runs until the end of the test.
type started struct {
	*daemon.Daemon
	log   *journal
	ended chan error
}

func start(t *testing.T, opts ...daemon.Option) *started {
	t.Helper()
	stub := httptest.NewServer(platformstub.New().Handler())
	t.Cleanup(stub.Close)
	any := netip.MustParseAddrPort("127.0.0.1:0")
	settings := config.Settings{
		Instance: "a1", Service: "agenda", Region: "r", Domain: "d", Drain: time.Second,
		Peer: any, Caller: any, Target: any, Operator: any, Body: config.DefaultBody, Header: config.DefaultHeader,
		Platform: netip.MustParseAddrPort(stub.Listener.Addr().String()),
	}
	s := &started{log: &journal{}, ended: make(chan error, 1)}
	opts = append(opts, daemon.WithLogger(log.NewWithOptions(s.log, log.Options{Formatter: log.LogfmtFormatter})))
	d, err := daemon.New(settings, storage.NewHTTP(settings.Platform), opts...)
	if err != nil {
		t.Fatal(err)
	}
	s.Daemon = d
	ctx, cancel := context.WithCancel(context.Background())
	go func() { s.ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		d.Abort()
		<-s.ended
	})
	return s
}

// survives checks that the daemon still answers once it has logged a panic.
func (s *started) survives(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(limit); s.log.count(logs.EventPanic) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no panic was logged")
		}
	}
	resp, err := http.Get("http://" + s.Settings().Caller.String() + "/after")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	select {
	case err := <-s.ended:
		t.Errorf("the daemon ended: %v", err)
		s.ended <- err
	default:
	}
}

func callers(h http.HandlerFunc, ahead bool) daemon.Option {
	return daemon.WithProtocols(daemon.Protocols{
		CallerHandler: func(*daemon.Daemon) (http.Handler, func(*http.Request) bool) {
			return h, func(*http.Request) bool { return ahead }
		},
	})
}

// TestCallerPanics checks that a request whose handling panics is answered, and is the
// only one that is harmed.
func TestCallerPanics(t *testing.T) {
	s := start(t, callers(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/broken" {
			panic("broken")
		}
	}, true))
	resp, err := http.Get("http://" + s.Settings().Caller.String() + "/broken")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", resp.StatusCode)
	}
	s.survives(t)
}

// TestActorPanics checks that the source of the configuration is started again.
func TestActorPanics(t *testing.T) {
	calls := make(chan int, 2)
	n := 0
	s := start(t, daemon.WithProtocols(daemon.Protocols{
		WatchConfig: func(ctx context.Context, _ *daemon.Daemon, _ func(*config.File, uint64, []byte)) error {
			n++
			calls <- n
			if n == 1 {
				panic("broken")
			}
			<-ctx.Done()
			return nil
		},
	}))
	for want := 1; want <= 2; want++ {
		if got := <-calls; got != want {
			t.Errorf("call %d, want %d", got, want)
		}
	}
	s.survives(t)
}

// TestEffectPanics checks that a panic in what the control state has asked for ends its
// generation, and that the next one takes over.
func TestEffectPanics(t *testing.T) {
	s := start(t)
	for !s.PanicInEffect() {
		time.Sleep(time.Millisecond)
	}
	s.survives(t)
	for end := time.Now().Add(limit); s.log.count(logs.EventRejoin) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no other generation followed")
		}
	}
}
