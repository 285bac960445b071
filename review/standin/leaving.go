//go:build review

package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

var errNotReady = errors.New("the daemons are not ready, or serve nothing, before the disruption")

const (
	leavingService = "casierie"
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// stay is how long the upstream serves after the acknowledgement: drain_ms and "at times
	// many seconds".
	stay = 10 * time.Second
	// leaveRetry is the time between two tries of an upstream to say that it leaves.
	leaveRetry = 100 * time.Millisecond
)

// leavingFleet starts four machines of an unkeyed service in three zones, with clients of an
// unsafe route at three of them. The upstream of the last machine is to leave.
func leavingFleet(log *record, folder string) (*fleet, error) {
	f, err := newFleet(log, folder, 210*time.Millisecond, nil,
		site{leavingService, "cluj-a"}, site{leavingService, "cluj-b"}, site{leavingService, "cluj-c"}, site{leavingService, "cluj-a"})
	if err != nil {
		return nil, err
	}
	if !f.waitReady(30 * time.Second) {
		f.end()
		return nil, errNotReady
	}
	time.Sleep(2 * time.Second)
	for _, m := range f.machines[:3] {
		f.client(m, "unsafe", leavingService, 40*time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	if len(f.machines[3].upstream.runsAfter(time.Time{})) == 0 {
		f.end()
		return nil, errNotReady
	}
	return f, nil
}

// leave sends Deregister until it is acknowledged, and returns when it was.
func (u *upstream) leave() (time.Time, error) {
	for range 100 {
		if u.deregister() {
			u.log.line("%s: Deregister is acknowledged", u.id)
			return time.Now(), nil
		}
		time.Sleep(leaveRetry)
	}
	return time.Time{}, errors.New("no acknowledgement of Deregister within 10 s")
}

// judgeLeave lets the upstream serve on and end, and judges DRAIN: no request may reach it later
// than drain_ms after the acknowledgement. Only requests that reach it when all daemons have
// been up for contact_ms count.
func (f *fleet) judgeLeave(u *upstream, ackedAt time.Time, restarted *machine) (int, error) {
	time.Sleep(time.Until(ackedAt.Add(stay)))
	inFlight := u.runsAfter(time.Now().Add(-u.work))
	f.log.line("%s ends, with %d requests at work", u.id, len(inFlight))
	u.end()
	time.Sleep(2 * time.Second)
	countFrom := ackedAt.Add(drainTime)
	if restarted != nil && restarted.started.Add(contactTime).After(countFrom) {
		countFrom = restarted.started.Add(contactTime)
	}
	late, lost := u.runsAfter(countFrom), 0
	f.mu.Lock()
	for _, r := range late {
		a := f.answers[r.id]
		if a.status != 200 {
			lost++
			f.log.line("LOST: %s ran at %s and its client got %d %s", r.id, u.id, a.status, a.err)
		}
	}
	f.mu.Unlock()
	text := fmt.Sprintf("DRAIN: %d unsafe requests ran at %s later than drain_ms after its Deregister was acknowledged; %d of them got no success", len(late), u.id, lost)
	f.log.line("%s", text)
	fmt.Println(text)
	if len(late) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// deregisterFirst restarts the daemon while its upstream leaves, so that the Deregister is the
// first message that the new process gets from the upstream.
func deregisterFirst(log *record, folder string, trouble bool) (int, error) {
	f, err := leavingFleet(log, folder)
	if err != nil {
		return exitFailed, err
	}
	defer f.end()
	m := f.machines[3]
	if !trouble {
		ackedAt, err := m.upstream.leave()
		if err != nil {
			return exitFailed, err
		}
		return f.judgeLeave(m.upstream, ackedAt, nil)
	}
	m.signalDaemon(syscall.SIGTERM)
	m.waitExit()
	log.line("daemon %s has ended", m.name)
	acked := make(chan time.Time, 1)
	failed := make(chan error, 1)
	go func() {
		at, err := m.upstream.leave()
		if err != nil {
			failed <- err
			return
		}
		acked <- at
	}()
	time.Sleep(restartDelay)
	if err := m.startDaemon(); err != nil {
		return exitFailed, err
	}
	select {
	case at := <-acked:
		return f.judgeLeave(m.upstream, at, m)
	case err := <-failed:
		return exitFailed, err
	}
}

// killAfterAck kills the daemon right after it has acknowledged the Deregister.
func killAfterAck(log *record, folder string, trouble bool) (int, error) {
	f, err := leavingFleet(log, folder)
	if err != nil {
		return exitFailed, err
	}
	defer f.end()
	m := f.machines[3]
	ackedAt, err := m.upstream.leave()
	if err != nil {
		return exitFailed, err
	}
	if !trouble {
		return f.judgeLeave(m.upstream, ackedAt, nil)
	}
	m.signalDaemon(syscall.SIGKILL)
	m.waitExit()
	time.Sleep(restartDelay)
	if err := m.startDaemon(); err != nil {
		return exitFailed, err
	}
	return f.judgeLeave(m.upstream, ackedAt, m)
}
