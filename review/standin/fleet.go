//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmarrun/platformwire"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine: a daemon process and its upstream.
type machine struct {
	name, service, zone, ip string
	settings                string
	folder                  string
	log                     *record
	upstream                *upstream

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// Ports of a machine, the same on all of them.
const (
	portPeer     = 17600
	portControl  = 18620
	portReady    = 18625
	portApp      = 18628
	portOutbound = 18629
)

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// startDaemon starts the program with the command of the deploy file.
func (m *machine) startDaemon() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command("target/fulmarrun", "platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARRUN_SETTINGS=" + m.settings}
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(exited)
	}()
	m.command, m.exited, m.started = command, exited, time.Now()
	m.log.line("daemon %s starts, process %d", m.name, command.Process.Pid)
	return nil
}

// signalDaemon sends a signal to the daemon's process.
func (m *machine) signalDaemon(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log.line("daemon %s gets signal %v", m.name, s)
	_ = m.command.Process.Signal(s)
}

func (m *machine) waitExit() { <-m.exited }

func (m *machine) isReady() bool {
	resp, err := http.Get("http://" + m.at(portReady) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// fleet is a small deployment with the limits of clepsidra-ops.
type fleet struct {
	log      *record
	store    *store
	machines []*machine
	// transport is that of all clients.
	transport *http.Transport
	stop      chan struct{}
	wg        sync.WaitGroup

	mu      sync.Mutex
	answers map[string]answer
	nextID  int
}

// answer is the end of one request of a client.
type answer struct {
	sent   time.Time
	status int
	err    string
}

const fleetHost = "jepu9.example"

// site is one machine of a deployment.
type site struct{ service, zone string }

// newFleet starts the store, the daemons and their upstreams.
func newFleet(log *record, folder string, work time.Duration, sharded map[string]bool, sites ...site) (*fleet, error) {
	f := &fleet{log: log, transport: newTransport(), stop: make(chan struct{}), answers: make(map[string]answer)}
	// A network of loopback addresses that other runs do not use.
	network, err := freeNetwork(len(sites))
	if err != nil {
		return nil, err
	}
	if f.store, err = newStore(fmt.Sprintf("%s.250:%d", network, portStore)); err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return nil, err
	}
	services := make(map[string]bool)
	for i, s := range sites {
		m := &machine{
			name: fmt.Sprintf("sidecar-%s-%d", s.zone, i+1), service: s.service, zone: s.zone,
			ip: fmt.Sprintf("%s.%d", network, i+1), folder: folder, log: log,
		}
		m.settings = filepath.Join(folder, m.name+".json")
		if err := os.WriteFile(m.settings, []byte(render(string(template), m, f.store.address)), 0o644); err != nil {
			return nil, err
		}
		m.upstream = &upstream{
			id: fmt.Sprintf("i-%d-%x", i+1, rand.Uint32()), service: s.service, zone: s.zone, address: m.at(portApp),
			control: m.at(portControl), work: work, log: log, sharded: sharded[s.service],
		}
		f.machines = append(f.machines, m)
		services[s.service] = true
	}
	f.store.operate("config", configuration("r3", services, sharded))
	for _, m := range f.machines {
		if err := m.startDaemon(); err != nil {
			return nil, err
		}
		if err := m.upstream.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// portStore and portMetrics are the ports of the store, and of the metrics by the deploy file.
const (
	portStore   = 18627
	portMetrics = 9464
)

// freeNetwork returns the first three numbers of loopback addresses at which all ports of that
// many machines and of the store are free.
func freeNetwork(machines int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 50+rand.N(150), 1+rand.N(250))
		addresses := make([]string, 0, 1+6*machines)
		addresses = append(addresses, fmt.Sprintf("%s.250:%d", network, portStore))
		for i := range machines {
			for _, port := range []int{portPeer, portControl, portReady, portApp, portOutbound, portMetrics} {
				addresses = append(addresses, fmt.Sprintf("%s.%d:%d", network, i+1, port))
			}
		}
		if !slices.ContainsFunc(addresses, inUse) {
			return network, nil
		}
	}
	return "", errors.New("no loopback network with free ports")
}

func inUse(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return true
	}
	_ = l.Close()
	return false
}

// render fills in the template of the deploy file as the platform does.
func render(template string, m *machine, store string) string {
	values := map[string]string{
		"node_name": m.name, "service": m.service, "region": "ro-nord", "zone": m.zone, "ip": m.ip,
		"port_range.0": fmt.Sprint(portPeer), "bind_addrs.outbound": m.at(portOutbound), "bind_addrs.control": m.at(portControl),
		"bind_addrs.ready": m.at(portReady), "platform.address": store, "limits.cpu_cores|json": "1", "limits.memory_mb|json": "284",
		"heartbeat_ms|json": "870", "bounds.max_hold_ms|json": "10000", "bounds.retry_budget_ratio|json": "0.2",
		"bounds.budget_window_s|json": "10", "bounds.drain_ms|json": "2000", "bounds.grace_s|json": "6",
		"bounds.evacuate_ms|json": "5000", "bounds.budget_min_retries|json": "64",
	}
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	return template
}

// configuration has one host with two routes for each service: /safe/SERVICE/ and
// /unsafe/SERVICE/.
func configuration(version string, services, sharded map[string]bool) *platformwire.Config {
	c := &platformwire.Config{Version: version, Limits: platformwire.Limits{
		Header: number(16384), Body: number(1 << 20), HeaderTimeout: number(5000), IdleTimeout: number(30000),
	}}
	host := platformwire.Host{Host: fleetHost}
	for name := range services {
		c.Services = append(c.Services, platformwire.Service{Name: name, MaxConnections: number(100), ColdRate: number(24), Keyed: sharded[name]})
		for _, kind := range []string{"safe", "unsafe"} {
			host.Routes = append(host.Routes, platformwire.Route{
				Name: kind + "-" + name, Prefix: "/" + kind + "/" + name + "/", Repeat: kind, Wait: number(4000), LatencyGoal: number(600),
				Priority: number(1), Attempts: number(2), Service: name,
			})
		}
	}
	c.Hosts = []platformwire.Host{host}
	return c
}

// waitReady waits until all daemons are ready and requests are served.
func (f *fleet) waitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for _, m := range f.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(f.machines) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// client sends requests of a route to one machine at a steady rate until the fleet ends. Like
// the clients of the pages it sends nothing to a daemon that is not ready.
func (f *fleet) client(m *machine, kind, service string, every time.Duration) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-f.stop:
				return
			case <-ticker.C:
			}
			f.wg.Add(1)
			go func() {
				defer f.wg.Done()
				f.request(m, kind, service, "")
			}()
		}
	}()
}

// newTransport returns the transport of the clients, which keep their connections.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
		IdleConnTimeout: 20 * time.Second,
	}
}

// request sends one request and records its end.
func (f *fleet) request(m *machine, kind, service, key string) answer {
	f.mu.Lock()
	f.nextID++
	id := fmt.Sprintf("%s-%06d", kind, f.nextID)
	f.mu.Unlock()
	method := http.MethodGet
	var body io.Reader
	if kind == "unsafe" {
		method, body = http.MethodPost, strings.NewReader("book")
	}
	req, _ := http.NewRequest(method, "http://"+m.at(portOutbound)+"/"+kind+"/"+service+"/"+id, body)
	req.Host = fleetHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "4000")
	if key != "" {
		req.Header.Set("X-Shard-Key", key)
	}
	a := answer{sent: time.Now()}
	f.log.line("client at %s sends %s", m.name, id)
	resp, err := (&http.Client{Transport: f.transport, Timeout: 4 * time.Second}).Do(req)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status = resp.StatusCode
	}
	if err != nil {
		a.err = "no answer"
	}
	f.log.line("client at %s gets %d %s for %s", m.name, a.status, a.err, id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[id] = a
	return a
}

// end stops the clients and ends all processes.
func (f *fleet) end() {
	close(f.stop)
	f.wg.Wait()
	for _, m := range f.machines {
		m.signalDaemon(syscall.SIGKILL)
		m.waitExit()
		m.upstream.end()
	}
}
