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

// TestOperators applies configurations, takes a failure domain out of service and lets
// a target leave, all under load.
func TestOperators(t *testing.T) {
	t.Parallel()
	d := deployTraced(t, 6, true)
	d.awaitServing()
	l := d.startLoad(6, 25*time.Millisecond, 2)
	for _, c := range []struct {
		name string
		run  func(*testing.T, *deployment)
	}{
		{"one of two concurrent changes wins", testApplyConflict},
		{"no daemon reverts to an older configuration", testConfigNeverReverts},
		{"a failure domain is taken out of service and returned", testDomainOut},
		{"a target leaves", testTargetLeaves},
	} {
		if !t.Run(c.name, func(t *testing.T) { c.run(t, d) }) {
			break
		}
		d.awaitSettled()
	}
	l.end()
	t.Log(d.audit())
}

// writeConfig writes a configuration with name in a comment and the given list of domains
// that are out of service, and returns the path.
func (d *deployment) writeConfig(name, out string) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name+".json")
	d.writeFile(path, strings.Replace(configText, "{", fmt.Sprintf("{\n  // %s\n  \"out\": [%s],", name, out), 1))
	return path
}

// showConfig returns the configuration in force at the instance.
func (i *instance) showConfig() (operator.ShowReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return operator.NewClient(netip.MustParseAddrPort(i.operatorAddr), operator.WithTimeout(time.Second)).Show(ctx)
}

// awaitConfig waits until every instance has the configuration of the given number, or
// a newer one, in force.
func (d *deployment) awaitConfig(number uint64) {
	d.t.Helper()
	waitUntil(d.t, 30*time.Second, fmt.Sprintf("configuration %d is in force at every instance", number), func() bool {
		status, err := d.status(d.instances[0])
		return err == nil && len(status.Silent) == 0 && status.Lowest >= number
	})
}

// acceptedNumber returns the number of the newest accepted configuration.
func (d *deployment) acceptedNumber() uint64 {
	d.t.Helper()
	status, err := d.status(d.instances[0])
	if err != nil {
		d.t.Fatal(err)
	}
	return status.Accepted
}

// testApplyConflict has two operators change the same configuration at the same time.
func testApplyConflict(t *testing.T, d *deployment) {
	for n := range 4 {
		base := d.acceptedNumber()
		type result struct {
			out  string
			code int
		}
		results := make([]result, 2)
		authors := []string{fmt.Sprintf("ana-%d", n), fmt.Sprintf("luis-%d", n)}
		var wg sync.WaitGroup
		for o, author := range authors {
			path := d.writeConfig(author, "")
			wg.Go(func() {
				out, code := d.runCLI("apply", path, "--base", fmt.Sprint(base), "--author", author,
					"--daemon", d.instances[o].operatorAddr)
				results[o] = result{out, code}
			})
		}
		wg.Wait()
		winner := 0
		if results[0].code != 0 {
			winner = 1
		}
		loser := 1 - winner
		if results[winner].code != 0 || results[loser].code != 4 {
			t.Fatalf("exit codes %d and %d, want one 0 and one 4: %s%s", results[0].code, results[1].code, results[0].out, results[1].out)
		}
		if text := fmt.Sprintf("configuration %d by %s", base+1, authors[winner]); !strings.Contains(results[loser].out, text) {
			t.Errorf("output of the rejected apply is %q, want it to contain %q", results[loser].out, text)
		}
		d.awaitConfig(base + 1)
		for _, i := range d.instances {
			shown, err := i.showConfig()
			if err != nil {
				t.Fatal(err)
			}
			if shown.Number != base+1 || shown.Author != authors[winner] || strings.Contains(string(shown.Text), authors[loser]) {
				t.Errorf("instance %s has configuration %d by %s in force", i.name, shown.Number, shown.Author)
			}
		}
	}
}

// testConfigNeverReverts samples the configuration in force at each daemon while two
// configurations are applied, one daemon restarts and another is frozen.
func testConfigNeverReverts(t *testing.T, d *deployment) {
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for _, i := range d.instances {
		wg.Go(func() {
			var last uint64
			for ctx.Err() == nil {
				// A newly started daemon has no configuration yet.
				if shown, err := i.showConfig(); err == nil && shown.Number > 0 {
					if shown.Number < last {
						t.Errorf("%s reverted from configuration %d to %d", i.name, last, shown.Number)
					}
					last = shown.Number
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	paused, restarted := d.instances[5], d.instances[4]
	paused.daemon.signal(syscall.SIGSTOP)
	for n := range 2 {
		base := d.acceptedNumber()
		path := d.writeConfig(fmt.Sprintf("step-%d", n), "")
		if out, code := d.runCLI("apply", path, "--base", fmt.Sprint(base), "--author", "ana",
			"--daemon", d.instances[n].operatorAddr); code != 0 {
			t.Fatalf("apply: exit %d: %s", code, out)
		}
		restarted.daemon.kill()
		restarted.daemon = d.startProcess("fulmarrun", "run", "--settings", restarted.settingsFile)
		time.Sleep(time.Second)
	}
	paused.daemon.signal(syscall.SIGCONT)
	d.awaitSettled()
	d.awaitConfig(d.acceptedNumber())
}

// testDomainOut takes a failure domain out of service, checks that nothing new runs in
// it, and returns it to service.
func testDomainOut(t *testing.T, d *deployment) {
	const out = "heredia"
	applyOut := func(name, list string) {
		base := d.acceptedNumber()
		if text, code := d.runCLI("apply", d.writeConfig(name, list), "--base", fmt.Sprint(base), "--author", "ana",
			"--daemon", d.instances[0].operatorAddr); code != 0 {
			t.Fatalf("apply: exit %d: %s", code, text)
		}
	}
	countRuns := func() (inside, outside int) {
		for _, i := range d.instances {
			if n := i.targetRuns(t).Total; i.domain == out {
				inside += n
			} else {
				outside += n
			}
		}
		return inside, outside
	}
	applyOut("out", fmt.Sprintf("%q", out))
	time.Sleep(propagationLimit)
	insideBefore, outsideBefore := countRuns()
	time.Sleep(2 * time.Second)
	inside, outside := countRuns()
	if inside != insideBefore {
		t.Errorf("%d new runs in the failure domain that is out of service", inside-insideBefore)
	}
	if outside == outsideBefore {
		t.Error("no new runs in the other failure domains")
	}
	applyOut("back", "")
	waitUntil(t, 30*time.Second, "the returned failure domain runs requests again", func() bool {
		now, _ := countRuns()
		return now > inside
	})
}

// testTargetLeaves drains a target and expects its daemon to exit without cutting off
// requests.
func testTargetLeaves(t *testing.T, d *deployment) {
	leaving := d.owner("24")
	earlier := len(d.trace.uncertain())
	resp, err := client.Post("http://"+leaving.targetAddr+"/drain", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	select {
	case <-leaving.daemon.done:
	case <-time.After(30 * time.Second):
		t.Fatal("daemon is still running 30 s after its target left")
	}
	if code := leaving.daemon.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("daemon exited with code %d, want 0", code)
	}
	if late := leaving.targetRuns(t).Late; late > propagationLimit {
		t.Errorf("target received a new request %s after it started to leave", late)
	}
	for _, a := range d.trace.uncertain()[earlier:] {
		t.Errorf("request was cut off: %+v", a)
	}
	leaving.stub.kill()
	d.startInstance(leaving)
}

// uncertain returns the requests that may have run without an answer: those whose
// outcome is unknown, and those whose connection broke after a daemon had accepted it.
func (tr *trace) uncertain() []requestRecord {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []requestRecord
	for _, a := range tr.requests {
		if a.response.outcome == "unknown" {
			out = append(out, a)
		}
		if a.response.err != nil && !strings.Contains(a.response.err.Error(), "connection refused") {
			out = append(out, a)
		}
	}
	return out
}
