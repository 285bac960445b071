package e2e_test

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fulmarrun/operator"
)

// TestOperators changes files, takes a domain out and lets targets leave, under
// load.
func TestOperators(t *testing.T) {
	t.Parallel()
	d := deployTraced(t, 6, true)
	d.serving()
	l := d.spread(6, 25*time.Millisecond, 2)
	for _, c := range []struct {
		name string
		run  func(*testing.T, *deployment)
	}{
		{"of two operators one wins", conflict},
		{"a configuration is never taken back", neverBack},
		{"a domain is taken out and returned", domainOut},
		{"a target leaves", targetLeaves},
	} {
		if !t.Run(c.name, func(t *testing.T) { c.run(t, d) }) {
			break
		}
		d.settled()
	}
	l.end()
	t.Log(d.audit())
}

// next writes a file with a mark and a list of domains that are out.
func (d *deployment) next(name, out string) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name+".json")
	d.write(path, strings.Replace(file, "{", fmt.Sprintf("{\n  // %s\n  \"out\": [%s],", name, out), 1))
	return path
}

// shown returns the configuration in force at an instance.
func (i *instance) shown() (operator.ShowReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return operator.NewClient(netip.MustParseAddrPort(i.operator), operator.WithTimeout(time.Second)).Show(ctx)
}

// inForce waits until every instance has a configuration in force and returns
// its number.
func (d *deployment) inForce(number uint64) {
	d.t.Helper()
	until(d.t, 30*time.Second, fmt.Sprintf("configuration %d is in force", number), func() bool {
		status, err := d.status(d.instances[0])
		return err == nil && len(status.Silent) == 0 && status.Lowest >= number
	})
}

// number returns the number of the newest configuration.
func (d *deployment) number() uint64 {
	d.t.Helper()
	status, err := d.status(d.instances[0])
	if err != nil {
		d.t.Fatal(err)
	}
	return status.Accepted
}

func conflict(t *testing.T, d *deployment) {
	for n := range 4 {
		base := d.number()
		type result struct {
			out  string
			code int
		}
		results := make([]result, 2)
		authors := []string{fmt.Sprintf("ana-%d", n), fmt.Sprintf("luis-%d", n)}
		var wg sync.WaitGroup
		for o, author := range authors {
			path := d.next(author, "")
			wg.Go(func() {
				out, code := d.run("apply", path, "--base", fmt.Sprint(base), "--author", author,
					"--daemon", d.instances[o].operator)
				results[o] = result{out, code}
			})
		}
		wg.Wait()
		won := 0
		if results[0].code != 0 {
			won = 1
		}
		lost := 1 - won
		if results[won].code != 0 || results[lost].code != 4 {
			t.Fatalf("exit codes %d and %d: %s%s", results[0].code, results[1].code, results[0].out, results[1].out)
		}
		if text := fmt.Sprintf("configuration %d by %s", base+1, authors[won]); !strings.Contains(results[lost].out, text) {
			t.Errorf("the loser is told %q, without %q", results[lost].out, text)
		}
		d.inForce(base + 1)
		for _, i := range d.instances {
			shown, err := i.shown()
			if err != nil {
				t.Fatal(err)
			}
			if shown.Number != base+1 || shown.Author != authors[won] || strings.Contains(string(shown.Text), authors[lost]) {
				t.Errorf("at %s: configuration %d by %s", i.name, shown.Number, shown.Author)
			}
		}
	}
}

// neverBack samples the configuration in force at each daemon while daemons
// restart, one sleeps through two changes, and files are applied.
func neverBack(t *testing.T, d *deployment) {
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for _, i := range d.instances {
		wg.Go(func() {
			var last uint64
			for ctx.Err() == nil {
				// A daemon that has just started knows of none yet.
				if shown, err := i.shown(); err == nil && shown.Number > 0 {
					if shown.Number < last {
						t.Errorf("%s went from configuration %d to %d", i.name, last, shown.Number)
					}
					last = shown.Number
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	sleeper, restarted := d.instances[5], d.instances[4]
	sleeper.daemon.signal(syscall.SIGSTOP)
	for n := range 2 {
		base := d.number()
		path := d.next(fmt.Sprintf("step-%d", n), "")
		if out, code := d.run("apply", path, "--base", fmt.Sprint(base), "--author", "ana",
			"--daemon", d.instances[n].operator); code != 0 {
			t.Fatalf("apply: exit %d: %s", code, out)
		}
		restarted.daemon.kill()
		restarted.daemon = d.start("fulmarrun", "run", "--settings", restarted.settings)
		time.Sleep(time.Second)
	}
	sleeper.daemon.signal(syscall.SIGCONT)
	d.settled()
	d.inForce(d.number())
}

func domainOut(t *testing.T, d *deployment) {
	const out = "heredia"
	take := func(name, list string) {
		base := d.number()
		if text, code := d.run("apply", d.next(name, list), "--base", fmt.Sprint(base), "--author", "ana",
			"--daemon", d.instances[0].operator); code != 0 {
			t.Fatalf("apply: exit %d: %s", code, text)
		}
	}
	ran := func() (inside, outside int) {
		for _, i := range d.instances {
			if n := i.counts(t).Total; i.domain == out {
				inside += n
			} else {
				outside += n
			}
		}
		return inside, outside
	}
	take("out", fmt.Sprintf("%q", out))
	time.Sleep(settle)
	insideBefore, outsideBefore := ran()
	time.Sleep(2 * time.Second)
	inside, outside := ran()
	if inside != insideBefore {
		t.Errorf("%d new runs in the domain that is out", inside-insideBefore)
	}
	if outside == outsideBefore {
		t.Error("nothing ran elsewhere")
	}
	take("back", "")
	until(t, 30*time.Second, "the domain gets work again", func() bool {
		now, _ := ran()
		return now > inside
	})
}

func targetLeaves(t *testing.T, d *deployment) {
	leaver := d.owner("24")
	marked := len(d.trace.broken())
	resp, err := client.Post("http://"+leaver.target+"/drain", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	select {
	case <-leaver.daemon.done:
	case <-time.After(30 * time.Second):
		t.Fatal("the daemon did not end after its target left")
	}
	if code := leaver.daemon.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if late := leaver.counts(t).Late; late > settle {
		t.Errorf("new work came %s after the target began to leave", late)
	}
	for _, a := range d.trace.broken()[marked:] {
		t.Errorf("cut off: %+v", a)
	}
	leaver.stub.kill()
	d.launch(leaver)
}

// broken returns the requests that were given to a daemon and whose connection
// broke, or whose outcome is unknown.
func (tr *trace) broken() []asked {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []asked
	for _, a := range tr.asks {
		if a.answer.outcome == "unknown" {
			out = append(out, a)
		}
		if a.answer.err != nil && !strings.Contains(a.answer.err.Error(), "connection refused") {
			out = append(out, a)
		}
	}
	return out
}
