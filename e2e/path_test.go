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

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func TestPath(t *testing.T) {
	d := deploy(t, 4, true)
	d.serving()

	t.Run("any daemon takes any request, and an ID runs once", func(t *testing.T) {
		id := newID()
		for _, i := range d.instances {
			a := i.ask(http.MethodPost, "/agenda/visits/17", id)
			if a.outcome != "answered" || a.body.ID != id {
				t.Errorf("at %s: %+v", i.name, a)
			}
		}
		if n := d.runs()[id]; n != 1 {
			t.Errorf("started %d times", n)
		}
	})

	t.Run("bad requests are refused and not run", func(t *testing.T) {
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
			a := d.instances[0].ask(c.method, c.path, "", c.headers...)
			if a.status != c.status || a.outcome != "not-run" || a.reason != c.reason {
				t.Errorf("%s %.40s: %+v", c.method, c.path, a)
			}
		}
	})

	t.Run("owners go on while the platform is down", func(t *testing.T) {
		d.faults(platformstub.Faults{Outage: true})
		defer d.faults(platformstub.Faults{})
		for range 3 {
			for _, i := range d.instances {
				if a := i.ask(http.MethodPost, "/agenda/visits/17", newID()); a.outcome != "answered" {
					t.Errorf("at %s: %+v", i.name, a)
				}
			}
			time.Sleep(time.Second)
		}
	})

	t.Run("an owner that is lost is replaced", func(t *testing.T) {
		owner := d.owner("17")
		other := d.other(owner)
		owner.kill()
		until(t, 20*time.Second, "the key is served again", func() bool {
			return other.ask(http.MethodPost, "/agenda/visits/17", "").outcome == "answered"
		})
		d.launch(owner)
		d.serving()
	})

	t.Run("a stopped daemon leaves and cuts off no request", func(t *testing.T) {
		owner := d.owner("17")
		// Soon after a loss an ID of the caller's own may have run at the owner
		// before, and is answered unknown.
		until(t, 20*time.Second, "an ID of the caller's own runs", func() bool {
			return owner.ask(http.MethodPost, "/agenda/visits/17", newID()).outcome == "answered"
		})
		answers := make(chan answer, 16)
		for range cap(answers) {
			go func() { answers <- d.other(owner).ask(http.MethodPost, "/agenda/visits/17", newID()) }()
		}
		owner.daemon.signal(syscall.SIGTERM)
		for range cap(answers) {
			if a := <-answers; a.outcome != "answered" {
				t.Errorf("%+v", a)
			}
		}
		select {
		case <-owner.daemon.done:
		case <-time.After(30 * time.Second):
			t.Fatal("the daemon did not end")
		}
		if code := owner.daemon.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("exit code %d", code)
		}
	})
}
