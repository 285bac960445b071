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

// binDir is the directory that TestMain builds the commands into.
var binDir string

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
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "fulmarrun/cmd/fulmarrun", "fulmarrun/cmd/fulmarstub")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a started child process with its captured output.
type process struct {
	cmd *exec.Cmd
	log *bytes.Buffer
	// done is closed when the process has exited.
	done chan struct{}
}

// instance is a daemon process and its target process.
type instance struct {
	name         string
	domain       string
	peerAddr     string
	callerAddr   string
	operatorAddr string
	targetAddr   string
	announceAddr string
	settingsFile string
	journalFile  string
	checkGrants  bool
	daemon       *process
	stub         *process
	// storeProxy carries the daemon's connections to the platform and targetProxy those
	// to the target; both are nil if the deployment runs without proxies.
	storeProxy, targetProxy *proxy
}

// deployment is a platform stub and a number of instances, each in separate processes.
type deployment struct {
	t            testing.TB
	dir          string
	platformAddr string
	platform     *process
	instances    []*instance
	configFile   string
	// trace, if not nil, records each request; the targets then also journal their runs.
	trace *trace
	// proxied makes each instance connect to the platform and its target through proxies.
	proxied bool
}

// configSlots is the number of slots in configText.
const configSlots = 64

// configText is the configuration that a deployment starts with.
const configText = `{
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

// deploy starts a platform and n instances, and applies configText.
func deploy(t testing.TB, n int, checkGrants bool) *deployment {
	t.Helper()
	return deployWith(t, n, checkGrants, nil)
}

// deployTraced is like deploy, but records all requests and runs.
func deployTraced(t testing.TB, n int, checkGrants bool) *deployment {
	t.Helper()
	return deployWith(t, n, checkGrants, &trace{})
}

// deployWith is like deploy, but records requests in tr unless it is nil.
func deployWith(t testing.TB, n int, checkGrants bool, tr *trace) *deployment {
	t.Helper()
	return (&deployment{t: t, dir: t.TempDir(), trace: tr}).startAll(n, checkGrants)
}

// startAll starts the platform and n instances, and applies configText.
func (d *deployment) startAll(n int, checkGrants bool) *deployment {
	t := d.t
	t.Helper()
	d.platformAddr = d.freeAddr()
	d.platform = d.startProcess("fulmarstub", "platform", "--listen", d.platformAddr)
	t.Cleanup(d.killAll)
	waitUntil(t, 10*time.Second, "platform stub answers", func() bool {
		resp, err := http.Get("http://" + d.platformAddr + "/counts")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
	for range n {
		d.addInstance(checkGrants)
	}
	d.configFile = filepath.Join(d.dir, "file.json")
	d.writeFile(d.configFile, configText)
	d.apply(0)
	return d
}

// freeAddr hands out ports one after another from below the system's ephemeral range.
// The system could give an ephemeral port to another connection before the process
// that it is meant for binds it.
const (
	firstPort = 12000
	portCount = 20000
)

// portsTaken counts the ports that freeAddr has tried.
var portsTaken atomic.Uint32

// freeAddr returns a loopback address whose port is free for TCP and UDP.
func (d *deployment) freeAddr() string {
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
	d.t.Fatal("no free loopback port found")
	return ""
}

func (d *deployment) writeFile(name, text string) {
	d.t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// addInstance writes the settings of one more instance and starts it.
func (d *deployment) addInstance(checkGrants bool) *instance {
	d.t.Helper()
	index := len(d.instances)
	i := &instance{
		name:     fmt.Sprintf("agenda-%d", index+1),
		domain:   []string{"sanjose", "heredia", "cartago"}[index%3],
		peerAddr: d.freeAddr(), callerAddr: d.freeAddr(), operatorAddr: d.freeAddr(), targetAddr: d.freeAddr(), announceAddr: d.freeAddr(),
		checkGrants: checkGrants,
	}
	platformAddr := d.platformAddr
	if d.proxied {
		i.storeProxy, i.targetProxy = newProxy(d.t, d.platformAddr), newProxy(d.t, i.targetAddr)
		platformAddr = i.storeProxy.addr
	}
	i.settingsFile = filepath.Join(d.dir, i.name+".json")
	i.journalFile = filepath.Join(d.dir, i.name+".runs")
	d.writeFile(i.settingsFile, fmt.Sprintf(`{
  "instance": %q, "service": "agenda", "region": "valle-central", "domain": %q,
  "peer": %q, "caller": %q, "target": %q, "operator": %q, "platform": %q,
  "drain": "10s", "log": "info",
}`, i.name, i.domain, i.peerAddr, i.callerAddr, i.announceAddr, i.operatorAddr, platformAddr))
	d.instances = append(d.instances, i)
	d.startInstance(i)
	return i
}

// startInstance starts the daemon and the target of an instance.
func (d *deployment) startInstance(i *instance) {
	d.t.Helper()
	i.daemon = d.startProcess("fulmarrun", "run", "--settings", i.settingsFile)
	args := []string{
		"target", "--listen", i.targetAddr, "--daemon", i.announceAddr, "--name", i.name,
	}
	if d.trace != nil {
		args = append(args, "--journal", i.journalFile, "--work", "2ms")
	}
	if i.checkGrants {
		args = append(args, "--checks")
	}
	if i.targetProxy != nil {
		args = append(args, "--announce", i.targetProxy.addr)
	}
	i.stub = d.startProcess("fulmarstub", args...)
}

// startProcess starts one of the built commands and captures its output.
func (d *deployment) startProcess(command string, args ...string) *process {
	d.t.Helper()
	p := &process{
		cmd: exec.Command(filepath.Join(binDir, command), args...),
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

// signal sends s to the process and ignores errors, such as that it has exited.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill resumes and kills the process, and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// kill kills the daemon and the target, without a graceful stop.
func (i *instance) kill() {
	i.daemon.signal(syscall.SIGKILL)
	i.stub.kill()
	i.daemon.kill()
}

// killAll kills all processes and, if the test failed, logs the daemons' last output.
func (d *deployment) killAll() {
	for _, i := range d.instances {
		i.kill()
		if d.t.Failed() {
			d.t.Logf("--- %s\n%s", i.name, lastLines(i.daemon.log.String()))
		}
	}
	d.platform.kill()
}

// lastLines returns the last 25 lines of text.
func lastLines(text string) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}

// runCLI runs an operator command of fulmarrun and returns its output and exit code.
func (d *deployment) runCLI(args ...string) (string, int) {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "fulmarrun"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		d.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// apply applies d.configFile as a change of configuration base.
func (d *deployment) apply(base int) {
	d.t.Helper()
	args := make([]string, 0, 6+2*len(d.instances))
	args = append(args, "apply", d.configFile, "--base", fmt.Sprint(base), "--author", "test")
	for _, i := range d.instances {
		args = append(args, "--daemon", i.operatorAddr)
	}
	if out, code := d.runCLI(args...); code != 0 {
		d.t.Fatalf("apply: exit %d: %s", code, out)
	}
}

// response is what a caller received for one request.
type response struct {
	status     int
	outcome    string
	reason     string
	retryAfter string
	id         string
	// echoedID is the request ID that the target returns in its response header.
	echoedID string
	body     targetstub.Echo
	err      error
}

// client sends the requests of callers and of the tests.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 15 * time.Second}

// send sends a request to the caller address of an instance, with an ID unless id is
// empty. headers are alternating names and values.
func (i *instance) send(method, path, id string, headers ...string) response {
	req, err := http.NewRequest(method, "http://"+i.callerAddr+path, strings.NewReader("{}"))
	if err != nil {
		return response{err: err}
	}
	if id != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, id)
	}
	for h := 0; h+1 < len(headers); h += 2 {
		req.Header.Add(headers[h], headers[h+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := response{
		status: resp.StatusCode, outcome: resp.Header.Get(caller.HeaderOutcome),
		reason: resp.Header.Get(caller.HeaderReason), retryAfter: resp.Header.Get("Retry-After"),
		id: resp.Header.Get(caller.HeaderRequestID), echoedID: resp.Header.Get(caller.HeaderIdempotencyKey),
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{err: err}
	}
	_ = json.Unmarshal(data, &a.body)
	return a
}

// awaitServing waits until every instance answers requests for eight keys each.
func (d *deployment) awaitServing() {
	d.t.Helper()
	waitUntil(d.t, 30*time.Second, "every instance answers requests for all probed keys", func() bool {
		for n, i := range d.instances {
			for k := range 8 {
				if i.send(http.MethodGet, fmt.Sprintf("/agenda/visits/%d-%d", n, k), "").outcome != "answered" {
					return false
				}
			}
		}
		return true
	})
}

// owner returns the instance that owns a key according to the first daemon that answers.
func (d *deployment) owner(key string) *instance {
	d.t.Helper()
	var owner *instance
	waitUntil(d.t, 10*time.Second, "the key has an owner", func() bool {
		for _, queried := range d.instances {
			out, code := d.runCLI("key", "agenda", key, "--daemon", queried.operatorAddr, "--json")
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

// other returns an instance that is not excluded; nil if there is none.
func (d *deployment) other(excluded ...*instance) *instance {
	for _, i := range d.instances {
		isExcluded := false
		for _, n := range excluded {
			isExcluded = isExcluded || n == i
		}
		if !isExcluded {
			return i
		}
	}
	return nil
}

// runs returns how often each request ID was started, summed over all reachable targets.
func (d *deployment) runs() map[string]int {
	d.t.Helper()
	out := make(map[string]int)
	for _, i := range d.instances {
		resp, err := client.Get("http://" + i.targetAddr + "/runs")
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

// setFaults replaces the faults that the platform stub injects.
func (d *deployment) setFaults(f platformstub.Faults) {
	d.t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := client.Post("http://"+d.platformAddr+"/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		d.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// waitUntil polls check until it returns true. The limit only ends a test that hangs.
func waitUntil(t testing.TB, limit time.Duration, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", limit, what)
}
