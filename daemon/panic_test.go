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
	"fulmarrun/wire"
)

// testTimeout ends the polling of a test that hangs.
const testTimeout = 20 * time.Second

// logBuffer collects the log of a daemon.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

// runningDaemon is a daemon that runs until the end of the test.
type runningDaemon struct {
	*daemon.Daemon
	log   *logBuffer
	ended chan error
}

func startDaemon(t *testing.T, opts ...daemon.Option) *runningDaemon {
	t.Helper()
	stub := httptest.NewServer(platformstub.New().Handler())
	t.Cleanup(stub.Close)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	settings := config.Settings{
		Instance: "a1", Service: "agenda", Region: "r", Domain: "d", DrainTimeout: time.Second,
		Peer: anyPort, Caller: anyPort, Target: anyPort, Operator: anyPort, MaxBody: config.DefaultMaxBody, MaxHeader: config.DefaultMaxHeader,
		Platform: netip.MustParseAddrPort(stub.Listener.Addr().String()),
	}
	s := &runningDaemon{log: &logBuffer{}, ended: make(chan error, 1)}
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

// checkSurvives checks that the daemon still answers after it has logged a panic.
func (s *runningDaemon) checkSurvives(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); s.log.count(logs.EventHandlerPanic) == 0; time.Sleep(5 * time.Millisecond) {
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

func withCallerHandler(h http.HandlerFunc, pipelined bool) daemon.Option {
	return daemon.WithProtocols(daemon.Protocols{
		CallerHandler: func(*daemon.Daemon) (http.Handler, func(*http.Request) bool) {
			return h, func(*http.Request) bool { return pipelined }
		},
	})
}

// TestCallerHandlerPanic checks that a request whose handler panics is answered with
// status 502, and that the daemon keeps serving.
func TestCallerHandlerPanic(t *testing.T) {
	s := startDaemon(t, withCallerHandler(func(_ http.ResponseWriter, r *http.Request) {
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
		t.Errorf("status %d, want 502", resp.StatusCode)
	}
	s.checkSurvives(t)
}

// TestActorPanic checks that the configuration source is restarted after a panic.
func TestActorPanic(t *testing.T) {
	calls := make(chan int, 2)
	n := 0
	s := startDaemon(t, daemon.WithProtocols(daemon.Protocols{
		WatchConfig: func(ctx context.Context, _ *daemon.Daemon, _ func(*config.File, wire.ConfigNumber, []byte)) error {
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
	s.checkSurvives(t)
}

// TestEffectPanic checks that a panic in an effect of the control core ends its
// generation, and that another generation follows.
func TestEffectPanic(t *testing.T) {
	s := startDaemon(t)
	for !s.PanicInEffect() {
		time.Sleep(time.Millisecond)
	}
	s.checkSurvives(t)
	for end := time.Now().Add(testTimeout); s.log.count(logs.EventGenerationClosed) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no new generation followed the panic")
		}
	}
}
