package e2e_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarrun/platformstub"
)

// newID returns a request ID that was not used before.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// TestPath checks the path of requests through daemons to targets, in normal operation,
// during a platform outage, after a loss and while a daemon leaves.
func TestPath(t *testing.T) {
	d := deploy(t, 4, true)
	d.awaitServing()

	t.Run("any daemon accepts any request, and a request ID runs once", func(t *testing.T) {
		id := newID()
		for _, i := range d.instances {
			a := i.send(http.MethodPost, "/agenda/visits/17", id)
			if a.outcome != "answered" || a.body.ID != id {
				t.Errorf("at %s: %+v", i.name, a)
			}
		}
		if n := d.runs()[id]; n != 1 {
			t.Errorf("request ID was started %d times, want 1", n)
		}
	})

	t.Run("invalid requests are rejected and do not run", func(t *testing.T) {
		cases := []struct {
			method, path string
			headers      []string
			status       int
			reason       string
		}{
			{"GET", "/nobody/visits/17", nil, 404, "service"},
			{"GET", "/agenda/nothing", nil, 404, "path"},
			{"DELETE", "/agenda/visits/17", nil, 405, "method"},
			{"POST", "/agenda/visits/17", []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, 400, "id"},
			{"POST", "/agenda/visits/17", []string{"Idempotency-Key", strings.Repeat("x", 200)}, 400, "id"},
			{"GET", "/agenda/visits/" + strings.Repeat("k", 600), nil, 400, "key"},
			{"GET", "/agenda/visits/17", []string{"Fulmar-Depth", "many"}, 400, "depth"},
		}
		for _, c := range cases {
			a := d.instances[0].send(c.method, c.path, "", c.headers...)
			if a.status != c.status || a.outcome != "not-run" || a.reason != c.reason {
				t.Errorf("%s %.40s: %+v", c.method, c.path, a)
			}
		}
	})

	t.Run("owners continue to serve while the platform is down", func(t *testing.T) {
		d.setFaults(platformstub.Faults{Outage: true})
		defer d.setFaults(platformstub.Faults{})
		for range 3 {
			for _, i := range d.instances {
				if a := i.send(http.MethodPost, "/agenda/visits/17", newID()); a.outcome != "answered" {
					t.Errorf("at %s: %+v", i.name, a)
				}
			}
			time.Sleep(time.Second)
		}
	})

	t.Run("a lost owner is replaced", func(t *testing.T) {
		owner := d.owner("17")
		other := d.other(owner)
		owner.kill()
		waitUntil(t, 20*time.Second, "requests for the key are answered again", func() bool {
			return other.send(http.MethodPost, "/agenda/visits/17", "").outcome == "answered"
		})
		d.startInstance(owner)
		d.awaitServing()
	})

	t.Run("a stopped daemon leaves without cutting off requests", func(t *testing.T) {
		owner := d.owner("17")
		// Shortly after a loss, a request with a caller-supplied ID may have run at the
		// previous owner, so its outcome is unknown.
		waitUntil(t, 20*time.Second, "a request with a caller-supplied ID is answered", func() bool {
			return owner.send(http.MethodPost, "/agenda/visits/17", newID()).outcome == "answered"
		})
		responses := make(chan response, 16)
		for range cap(responses) {
			go func() { responses <- d.other(owner).send(http.MethodPost, "/agenda/visits/17", newID()) }()
		}
		owner.daemon.signal(syscall.SIGTERM)
		for range cap(responses) {
			if a := <-responses; a.outcome != "answered" {
				t.Errorf("response while the owner leaves: %+v", a)
			}
		}
		select {
		case <-owner.daemon.done:
		case <-time.After(30 * time.Second):
			t.Fatal("daemon is still running 30 s after SIGTERM")
		}
		if code := owner.daemon.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("daemon exited with code %d, want 0", code)
		}
	})
}
