package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fulmarrun/caller"
	"fulmarrun/platformstub"
	"fulmarrun/targetstub"
)

// binaries is the folder of the built commands.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fulmarrun-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "fulmarrun/cmd/fulmarrun", "fulmarrun/cmd/fulmarstub")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one process of a deployment.
type process struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

// instance is a daemon and its target.
type instance struct {
	name     string
	domain   string
	peer     string
	caller   string
	operator string
	target   string
	announce string
	settings string
	journal  string
	checks   bool
	daemon   *process
	stub     *process
	// links are the proxies between the daemon and the store, and the target; nil if
	// there are none.
	toStore, toTarget *proxy
}

// deployment is a platform and some instances, each a process of its own.
type deployment struct {
	t         testing.TB
	dir       string
	store     string
	platform  *process
	instances []*instance
	file      string
	// trace, if there is one, takes down each request and its runs.
	trace *trace
	// proxied is true if each instance has its links.
	proxied bool
}

// fileSlots is the number of slots in file.
const fileSlots = 64

const file = `{
  "services": [
    {"name": "agenda", "slots": 64, "kinds": [
      {"name": "look", "method": "GET", "path": "/visits/{visit}", "key": {"path": "visit"},
       "wait": "4s", "repeat": 0, "class": "urgent"},
      {"name": "book", "method": "POST", "path": "/visits/{visit}", "key": {"path": "visit"},
       "wait": "4s", "repeat": "never", "class": "urgent"},
      {"name": "order", "method": "POST", "path": "/orders", "wait": "4s", "repeat": "never", "class": "urgent"},
      {"name": "free", "method": "GET", "path": "/free", "wait": "2s", "repeat": 0.5, "class": "urgent"},
    ]},
  ],
}
`

// deploy starts a platform and n instances and applies the configuration.
func deploy(t testing.TB, n int, checks bool) *deployment {
	t.Helper()
	return deployWith(t, n, checks, nil)
}

// deployTraced is deploy, with all requests and runs taken down.
func deployTraced(t testing.TB, n int, checks bool) *deployment {
	t.Helper()
	return deployWith(t, n, checks, &trace{})
}

func deployWith(t testing.TB, n int, checks bool, tr *trace) *deployment {
	t.Helper()
	return (&deployment{t: t, dir: t.TempDir(), trace: tr}).up(n, checks)
}

// up starts the platform and n instances, and applies the configuration.
func (d *deployment) up(n int, checks bool) *deployment {
	t := d.t
	t.Helper()
	d.store = d.address()
	d.platform = d.start("fulmarstub", "platform", "--listen", d.store)
	t.Cleanup(d.stop)
	until(t, 10*time.Second, "the platform answers", func() bool {
		resp, err := http.Get("http://" + d.store + "/counts")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
	for range n {
		d.add(checks)
	}
	d.file = filepath.Join(d.dir, "file.json")
	d.write(d.file, file)
	d.apply(0)
	return d
}

// Ports are taken in turn from below the range that the system gives to sockets
// without a port of their own, or another connection could take one before its
// process binds it.
const (
	firstPort = 12000
	portCount = 20000
)

var portsTaken atomic.Uint32

// address returns a loopback address whose port is free for TCP and UDP.
func (d *deployment) address() string {
	d.t.Helper()
	for range portCount {
		offset := (uint32(os.Getpid())*64 + portsTaken.Add(1)) % portCount
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		return addr
	}
	d.t.Fatal("no port is free")
	return ""
}

func (d *deployment) write(name, text string) {
	d.t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// add starts one more instance.
func (d *deployment) add(checks bool) *instance {
	d.t.Helper()
	index := len(d.instances)
	i := &instance{
		name:   fmt.Sprintf("agenda-%d", index+1),
		domain: []string{"sanjose", "heredia", "cartago"}[index%3],
		peer:   d.address(), caller: d.address(), operator: d.address(), target: d.address(), announce: d.address(),
		checks: checks,
	}
	store := d.store
	if d.proxied {
		i.toStore, i.toTarget = newProxy(d.t, d.store), newProxy(d.t, i.target)
		store = i.toStore.addr
	}
	i.settings = filepath.Join(d.dir, i.name+".json")
	i.journal = filepath.Join(d.dir, i.name+".runs")
	d.write(i.settings, fmt.Sprintf(`{
  "instance": %q, "service": "agenda", "region": "valle-central", "domain": %q,
  "peer": %q, "caller": %q, "target": %q, "operator": %q, "platform": %q,
  "drain": "10s", "log": "info",
}`, i.name, i.domain, i.peer, i.caller, i.announce, i.operator, store))
	d.instances = append(d.instances, i)
	d.launch(i)
	return i
}

// launch starts the processes of an instance.
func (d *deployment) launch(i *instance) {
	d.t.Helper()
	i.daemon = d.start("fulmarrun", "run", "--settings", i.settings)
	args := []string{
		"target", "--listen", i.target, "--daemon", i.announce, "--name", i.name,
	}
	if d.trace != nil {
		args = append(args, "--journal", i.journal, "--work", "2ms")
	}
	if i.checks {
		args = append(args, "--checks")
	}
	if i.toTarget != nil {
		args = append(args, "--announce", i.toTarget.addr)
	}
	i.stub = d.start("fulmarstub", args...)
}

func (d *deployment) start(command string, args ...string) *process {
	d.t.Helper()
	p := &process{
		cmd: exec.Command(filepath.Join(binaries, command), args...),
		log: &bytes.Buffer{}, done: make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

// signal sends a signal to a process of this test.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// kill ends an instance, daemon and target, at once.
func (i *instance) kill() {
	i.daemon.signal(syscall.SIGKILL)
	i.stub.kill()
	i.daemon.kill()
}

func (d *deployment) stop() {
	for _, i := range d.instances {
		i.kill()
		if d.t.Failed() {
			d.t.Logf("--- %s\n%s", i.name, tail(i.daemon.log.String()))
		}
	}
	d.platform.kill()
}

func tail(text string) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}

// run runs an operator's command and returns its output and exit code.
func (d *deployment) run(args ...string) (string, int) {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "fulmarrun"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		d.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// apply applies the file that was made from version base.
func (d *deployment) apply(base int) {
	d.t.Helper()
	args := make([]string, 0, 6+2*len(d.instances))
	args = append(args, "apply", d.file, "--base", fmt.Sprint(base), "--author", "test")
	for _, i := range d.instances {
		args = append(args, "--daemon", i.operator)
	}
	if out, code := d.run(args...); code != 0 {
		d.t.Fatalf("apply: exit %d: %s", code, out)
	}
}

// answer is what a caller saw.
type answer struct {
	status  int
	outcome string
	reason  string
	retry   string
	id      string
	// target is the ID that the target repeats in its answer.
	target string
	body   targetstub.Echo
	err    error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 15 * time.Second}

// ask sends a request to an instance as a caller would.
func (i *instance) ask(method, path, id string, headers ...string) answer {
	req, err := http.NewRequest(method, "http://"+i.caller+path, strings.NewReader("{}"))
	if err != nil {
		return answer{err: err}
	}
	if id != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, id)
	}
	for h := 0; h+1 < len(headers); h += 2 {
		req.Header.Add(headers[h], headers[h+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{
		status: resp.StatusCode, outcome: resp.Header.Get(caller.HeaderOutcome),
		reason: resp.Header.Get(caller.HeaderReason), retry: resp.Header.Get("Retry-After"),
		id: resp.Header.Get(caller.HeaderRequestID), target: resp.Header.Get(caller.HeaderIdempotencyKey),
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	_ = json.Unmarshal(data, &a.body)
	return a
}

// serving waits until every instance answers for a number of keys.
func (d *deployment) serving() {
	d.t.Helper()
	until(d.t, 30*time.Second, "every instance answers for all keys", func() bool {
		for n, i := range d.instances {
			for k := range 8 {
				if i.ask(http.MethodGet, fmt.Sprintf("/agenda/visits/%d-%d", n, k), "").outcome != "answered" {
					return false
				}
			}
		}
		return true
	})
}

// owner returns the instance that owns a key, as another one knows it.
func (d *deployment) owner(key string) *instance {
	d.t.Helper()
	var owner *instance
	until(d.t, 10*time.Second, "the key has an owner", func() bool {
		for _, asked := range d.instances {
			out, code := d.run("key", "agenda", key, "--daemon", asked.operator, "--json")
			if code != 0 {
				continue
			}
			var reply struct {
				Instance string `json:"instance"`
			}
			_ = json.Unmarshal([]byte(out), &reply)
			for _, i := range d.instances {
				if i.name == reply.Instance {
					owner = i
				}
			}
			return owner != nil
		}
		return false
	})
	return owner
}

// other returns an instance that is none of those given.
func (d *deployment) other(not ...*instance) *instance {
	for _, i := range d.instances {
		taken := false
		for _, n := range not {
			taken = taken || n == i
		}
		if !taken {
			return i
		}
	}
	return nil
}

// runs returns how often each request ID was started, over all living targets.
func (d *deployment) runs() map[string]int {
	d.t.Helper()
	out := make(map[string]int)
	for _, i := range d.instances {
		resp, err := client.Get("http://" + i.target + "/runs")
		if err != nil {
			continue
		}
		var runs targetstub.Runs
		_ = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		for _, r := range runs.Runs {
			out[r.ID] += r.Started
		}
	}
	return out
}

// faults sets the faults of the platform.
func (d *deployment) faults(f platformstub.Faults) {
	d.t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := client.Post("http://"+d.store+"/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		d.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// until repeats check until it holds; the limit only ends a test that hangs.
func until(t testing.TB, limit time.Duration, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not within %s: %s", limit, what)
}
