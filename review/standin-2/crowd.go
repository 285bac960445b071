//go:build review

package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// crowdClients is the number of clients of a crowd, at one machine.
	crowdClients = 2700
	// crowdBody is the stated length of their bodies, in bytes; the last byte is never sent.
	crowdBody = 1 << 20
	// crowdRounds is how often a crowd comes, at each of crowdMachines machines.
	crowdRounds   = 4
	crowdMachines = 2
	// crowdEnds is how often a process has to exceed its memory, in crowds, to break the rule.
	crowdEnds  = 3
	crowdTime  = 9 * time.Second
	crowdPause = 1 * time.Second
	// crowdWait is the time from the first connection of a crowd to its first byte.
	crowdWait = 3 * time.Second
	// returnTime is the time after which a client comes again that was turned away.
	returnTime   = 200 * time.Millisecond
	lookInterval = 50 * time.Millisecond
)

// usage is the memory of a process.
type usage struct {
	resident, unread int64
	sockets          int
}

// total returns what counts toward the limit.
func (u usage) total() int64 { return u.resident + u.unread }

// String returns the usage as a part of a line of the record.
func (u usage) String() string {
	return fmt.Sprintf("%d MB resident + %d MB received and not yet read in %d sockets = %d MB of %d MB",
		u.resident>>20, u.unread>>20, u.sockets, u.total()>>20, memoryMB)
}

// crowded sends crowds of clients whose bodies stop one byte short of their end to each of two machines,
// and checks that each process stays within the memory of its machine. It breaks the rule if two
// processes exceed it in three crowds each.
func crowded(ctx context.Context, g *rig, trouble bool) error {
	wait(ctx, calmTime)
	var over [crowdMachines]int
	for round := range crowdRounds {
		for i, m := range g.machines[:crowdMachines] {
			top := g.crowd(ctx, m, trouble)
			g.note("crowd %d at %s: at most %v", round+1, m.name, top)
			if top.total() > memoryMB<<20 || m.hasEnded() {
				over[i]++
			}
			wait(ctx, crowdPause)
		}
	}
	for i, n := range over {
		g.note("%s exceeded its memory in %d of %d crowds", g.machines[i].name, n, crowdRounds)
		if n < crowdEnds {
			return nil
		}
	}
	return fmt.Errorf("rule Fault: %d of %d processes exceeded their memory %d times or more: %w", crowdMachines, len(g.machines), crowdEnds, errBroken)
}

// crowd plays one crowd and returns the usage at its peak.
func (g *rig) crowd(ctx context.Context, m *machine, trouble bool) (top usage) {
	ctx, cancel := context.WithTimeout(ctx, crowdTime)
	defer cancel()
	var wg sync.WaitGroup
	if trouble {
		sendAt := time.Now().Add(crowdWait)
		body := strings.Repeat("x", crowdBody-1)
		for i := range crowdClients {
			wg.Go(func() {
				for ctx.Err() == nil {
					id := fmt.Sprintf("%s-%d-%d", m.name, i, time.Now().UnixNano())
					sendShort(ctx, m.ports["caller"], sendAt, head("POST", "/visits/1", id, 1500*time.Millisecond, fmt.Sprintf("Content-Length: %d", crowdBody)), body)
					wait(ctx, returnTime)
				}
			})
		}
	}
	for ctx.Err() == nil {
		now, err := m.usage()
		if err != nil {
			g.note("%s: %v", m.name, err)
			break
		}
		if now.total() > top.total() {
			top = now
		}
		wait(ctx, lookInterval)
	}
	wg.Wait()
	return top
}

// sendShort connects, and later sends a head and a part of its body in one piece. It stays open until
// the other side closes.
func sendShort(ctx context.Context, to netip.AddrPort, sendAt time.Time, head, body string) {
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	wait(ctx, time.Until(sendAt))
	_, _ = io.WriteString(conn, head)
	_, _ = io.WriteString(conn, body)
	_, _ = io.Copy(io.Discard, conn)
}

// usage reads the memory of the daemon. The resident memory is the lesser of that before and that
// after the sockets were read.
func (m *machine) usage() (usage, error) {
	before, err := resident(m.command.Process.Pid)
	if err != nil {
		return usage{}, err
	}
	unread, sockets, err := unreadBytes(m.ports["caller"])
	if err != nil {
		return usage{}, err
	}
	after, err := resident(m.command.Process.Pid)
	return usage{resident: min(before, after), unread: unread, sockets: sockets}, err
}

// resident returns the resident memory of a process in bytes.
func resident(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	_, line, _ := strings.Cut(string(data), "\nVmRSS:")
	var kb int64
	if _, err := fmt.Sscan(line, &kb); err != nil {
		return 0, fmt.Errorf("read memory of process %d: %w", pid, err)
	}
	return kb << 10, nil
}

// unreadBytes returns the bytes that wait unread in the connections that were accepted at a local
// address, and the number of these connections.
func unreadBytes(local netip.AddrPort) (unread int64, sockets int, err error) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0, fmt.Errorf("read sockets: %w", err)
	}
	ip := local.Addr().As4()
	prefix := fmt.Sprintf("%08X:%04X ", binary.NativeEndian.Uint32(ip[:]), local.Port())
	const (
		listening = "0A"
		// notAccepted is the inode of a connection that the process hasn't accepted yet.
		notAccepted = "0"
	)
	for line := range strings.Lines(string(data)) {
		_, line, _ = strings.Cut(line, ": ")
		rest, ok := strings.CutPrefix(line, prefix)
		fields := strings.Fields(rest)
		if !ok || len(fields) < 8 || fields[1] == listening {
			continue
		}
		var sent, received int64
		if _, err := fmt.Sscanf(fields[2], "%x:%x", &sent, &received); err != nil {
			return 0, 0, fmt.Errorf("read sockets: %w", err)
		}
		if received > 0 && fields[7] != notAccepted {
			unread += received
			sockets++
		}
	}
	return unread, sockets, nil
}
