//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmarrun/platformwire"
)

const (
	loopback = "127.0.0.1:0"
	host     = "jepu9.example"

	deployFile   = "deploy/system.toml"
	settingsFile = "deploy/settings.json"

	// firstPort is the first port of a machine; all machines have the same ports.
	firstPort = 7600

	// Figures of the sheet of calortico-mesh.
	memoryMB    = 284
	descriptors = 4100
	slots       = 18
	coldRate    = 62
	connections = 110

	readyTimeout = 25 * time.Second
	endTimeout   = 5 * time.Second
)

// machine is one machine: a daemon process and the upstream beside it.
type machine struct {
	name, zone string
	ports      map[string]netip.AddrPort
	upstream   *upstream
	settings   string
	command    *exec.Cmd
	ended      chan struct{}
}

// rig is a small deployment: the store, the machines and the record of what was sent and run.
type rig struct {
	dir      string
	store    *store
	machines []*machine
	began    time.Time

	mu     sync.Mutex
	record *os.File
	runs   []run
}

func newRig(dir string, record *os.File) (*rig, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &rig{dir: dir, store: s, record: record, began: time.Now()}, nil
}

// note writes a line to the record.
func (g *rig) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, _ = fmt.Fprintf(g.record, "%8.3f  %s\n", time.Since(g.began).Seconds(), fmt.Sprintf(format, args...))
}

// ran records the arrival of a request at an upstream.
func (g *rig) ran(r run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, r)
}

// targetsOf returns the path and query of each run of a request.
func (g *rig) targetsOf(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, r := range g.runs {
		if r.id == id {
			out = append(out, r.target)
		}
	}
	return out
}

// startAll starts a small deployment and waits until all daemons are ready.
func (g *rig) startAll(ctx context.Context) error {
	if err := g.store.write("config", newConfig()); err != nil {
		return err
	}
	net, err := freeNet()
	if err != nil {
		return err
	}
	for i, place := range []struct {
		zone, service string
		sharded       bool
	}{{"sanjose", "agenda", true}, {"heredia", "agenda", true}, {"cartago", "despacho", false}, {"sanjose", "despacho", false}, {"heredia", "compras", false}} {
		m := &machine{name: fmt.Sprintf("side-%d", i+1), zone: place.zone, ports: make(map[string]netip.AddrPort)}
		for k, port := range portNames() {
			m.ports[port] = netip.AddrPortFrom(net[i], uint16(firstPort+k))
		}
		m.upstream = &upstream{rig: g, service: place.service, zone: place.zone, sharded: place.sharded, control: m.ports["target"]}
		g.machines = append(g.machines, m)
		if err := g.startDaemon(m); err != nil {
			return err
		}
		if err := m.upstream.start(ctx, fmt.Sprintf("i-%d", i+1)); err != nil {
			return err
		}
	}
	for _, m := range g.machines {
		if !waitFor(ctx, readyTimeout, m.ready) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	g.note("all daemons are ready")
	return nil
}

func portNames() []string {
	return []string{"peer", "caller", "target", "operator", "metrics"}
}

// freeNet returns a loopback address for each machine whose ports are free.
func freeNet() ([]netip.Addr, error) {
	const machines = 5
	for try := range 50 {
		seed := os.Getpid() + try*7919
		out := make([]netip.Addr, 0, machines)
		for i := range machines {
			out = append(out, netip.AddrFrom4([4]byte{127, byte(1 + seed%250), byte(1 + seed/250%250), byte(i + 1)}))
		}
		if allFree(out) {
			return out, nil
		}
	}
	return nil, fmt.Errorf("no free ports from %d", firstPort)
}

func allFree(addresses []netip.Addr) bool {
	for _, a := range addresses {
		for k := range portNames() {
			l, err := net.Listen("tcp", netip.AddrPortFrom(a, uint16(firstPort+k)).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// words returns a replacer of the placeholders of the deploy file and of the settings' template.
func (g *rig) words(m *machine) *strings.Replacer {
	null := "null"
	return strings.NewReplacer(
		"{{node_name}}", m.name, "{{service}}", m.upstream.service, "{{region}}", "valle-central", "{{zone}}", m.zone,
		"{{ip}}:{{port_range.0}}", m.ports["peer"].String(), "{{ip}}:9464", m.ports["metrics"].String(),
		"{{bind_addrs.outbound}}", m.ports["caller"].String(), "{{bind_addrs.control}}", m.ports["target"].String(),
		"{{bind_addrs.ready}}", m.ports["operator"].String(), "{{platform.address}}", g.store.address.String(),
		"{{contracts|json}}", `["base", "drain", "config", "cost", "retry", "recover", "own", "places", "platform"]`,
		"{{limits.max_fds}}", strconv.Itoa(descriptors), "{{platform.reads_per_s}}", "2000",
		"{{limits.cpu_cores|json}}", "1", "{{limits.memory_mb|json}}", strconv.Itoa(memoryMB),
		"{{heartbeat_ms|json}}", strconv.FormatInt(beatInterval.Milliseconds(), 10),
		"{{bounds.quota_window_s|json}}", null, "{{bounds.quota_overshoot|json}}", null, "{{bounds.quota_slack|json}}", null,
		"{{bounds.revoke_ms|json}}", null, "{{bounds.fail_closed|json}}", null, "{{bounds.max_hold_ms|json}}", "10000",
		"{{bounds.retry_budget_ratio|json}}", "0.2", "{{bounds.budget_window_s|json}}", "10",
		"{{bounds.drain_ms|json}}", "2000", "{{bounds.grace_s|json}}", "6", "{{bounds.evacuate_ms|json}}", "5000",
		"{{bounds.budget_min_retries|json}}", "56",
	)
}

// startDaemon starts the daemon of a machine with the command of the deploy file.
func (g *rig) startDaemon(m *machine) error {
	words := g.words(m)
	template, err := os.ReadFile(settingsFile)
	if err != nil {
		return fmt.Errorf("read template: %w", err)
	}
	m.settings = filepath.Join(g.dir, m.name+".json")
	if err := os.WriteFile(m.settings, []byte(words.Replace(string(template))), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		return fmt.Errorf("read deploy file: %w", err)
	}
	_, line, _ := strings.Cut(string(deploy), "\nrun = \"")
	line, _, ok := strings.Cut(line, "\"")
	command := strings.Fields(words.Replace(line))
	if !ok || len(command) == 0 {
		return fmt.Errorf("no command in %s", deployFile)
	}
	out, err := os.Create(filepath.Join(g.dir, m.name+".log"))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = out.Close() }()
	m.command = exec.Command(command[0], command[1:]...)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARRUN_SETTINGS=" + m.settings}
	m.command.Stdout, m.command.Stderr = out, out
	if err := m.command.Start(); err != nil {
		m.command = nil
		return fmt.Errorf("start daemon: %w", err)
	}
	m.ended = make(chan struct{})
	go func() {
		_ = m.command.Wait()
		close(m.ended)
	}()
	g.note("%s (%s, %s): daemon started, clients at %s, upstream at %s", m.name, m.upstream.service, m.zone, m.ports["caller"], m.ports["target"])
	return nil
}

// hasEnded reports whether the daemon's process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// close ends all processes.
func (g *rig) close() {
	for _, m := range g.machines {
		if m.upstream.stop != nil {
			m.upstream.close()
		}
		if m.command == nil {
			continue
		}
		_ = m.command.Process.Signal(syscall.SIGKILL)
		select {
		case <-m.ended:
		case <-time.After(endTimeout):
		}
	}
}

// ready asks whether the daemon is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ports["operator"].String() + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newConfig returns a configuration like that of the sheet.
func newConfig() *platformwire.Config {
	service := func(name string, keyed bool) platformwire.Service {
		return platformwire.Service{Name: name, MaxConnections: number(connections), ColdRate: number(coldRate), Keyed: keyed}
	}
	route := func(prefix, repeat, service string, timeout, goal float64) platformwire.Route {
		return platformwire.Route{
			Name: service, Prefix: prefix, Repeat: repeat, Wait: number(timeout), LatencyGoal: number(goal),
			Priority: number(1), Attempts: number(2), Service: service,
		}
	}
	return &platformwire.Config{
		Version:  "r1",
		Services: []platformwire.Service{service("agenda", true), service("despacho", false), service("compras", false)},
		Limits:   platformwire.Limits{Header: number(16384), Body: number(64 << 20), HeaderTimeout: number(5000), IdleTimeout: number(20000)},
		Hosts: []platformwire.Host{{Host: host, Routes: []platformwire.Route{
			route("/slots/", "safe", "agenda", 1200, 200),
			route("/visits/", "unsafe", "despacho", 800, 250),
			route("/units/", "unsafe", "compras", 1000, 150),
			route("/crews/", "safe", "despacho", 1000, 60),
		}}},
	}
}
