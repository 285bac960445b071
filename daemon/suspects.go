package daemon

import (
	"context"
	"encoding/hex"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fulmarrun/config"
	"fulmarrun/guard"
	"fulmarrun/logs"
	"fulmarrun/owner"
	"fulmarrun/quarantine"
	"fulmarrun/storage"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// suspectRetryAfter is the Retry-After of a request with quarantine.ReasonSuspect.
	suspectRetryAfter = 500 * time.Millisecond
	// suspectWaitDivisor sets how long a suspect waits until the target is done with another one: the
	// time that it has left, divided by this.
	suspectWaitDivisor = 2
	// targetChecks is how often a target is asked for a connection after one was lost, and
	// targetCheckInterval the time in between. A process that ends may close its connections before
	// its listener.
	targetChecks        = 2
	targetCheckInterval = 10 * time.Millisecond
	// targetCheckTimeout bounds these checks.
	targetCheckTimeout = time.Second
	// maxShutOutRetry bounds the Retry-After of a request that is shut out.
	maxShutOutRetry = time.Hour
)

// suspects is what the daemon knows of requests under which targets have ended.
type suspects struct {
	ledger *quarantine.Ledger
	target *quarantine.Target
	// checking is true while a check of the target is due or running.
	checking atomic.Bool
	// life tells processes of this daemon apart, and targetLife the processes of a target that does
	// not name them. ended is true from the end of such a process to the first answer of the next.
	life       string
	targetLife atomic.Uint64
	ended      atomic.Bool
	store      *suspectStore
	// loaded is true once the rows of suspects were read from the platform. Later ones come from other
	// daemons.
	loaded atomic.Bool
}

func newSuspects() *suspects {
	ledger := quarantine.NewLedger()
	return &suspects{ledger: ledger, target: quarantine.NewTarget(ledger), life: newID(), store: newSuspectStore()}
}

// fingerprint returns the fingerprint of a request. Headers differ between copies of a request, but
// for the host; the key follows from the path.
func fingerprint(req *wire.Request) wire.Fingerprint {
	host := ""
	for _, h := range req.Headers {
		if h.Name == "Host" {
			host = h.Value
			break
		}
	}
	return quarantine.NewFingerprint([]byte(req.Service), []byte(req.Method), []byte(host), []byte(req.Path),
		[]byte(req.Policy.OriginService), req.Body)
}

// refuseShutOut returns the refusal of a request that is shut out; nil if it is not.
func (d *Daemon) refuseShutOut(kind *config.Kind, req *wire.Request) *wire.Response {
	now := time.Now()
	if !d.suspects.ledger.AnyShutOut(now) {
		return nil
	}
	v := d.suspects.ledger.Verdict(now, fingerprint(req))
	if !v.ShutOut() {
		return nil
	}
	r := owner.RefuseUnchecked(req, kind, quarantine.ReasonShutOut)
	r.RetryAfter = shutOutRetry(now, v)
	return r
}

func shutOutRetry(now time.Time, v quarantine.Verdict) time.Duration {
	return min(v.Until.Sub(now), maxShutOutRetry)
}

// screen admits a request to the target unless it is shut out. A suspect waits while another one is
// at work.
func (d *Daemon) screen(ctx context.Context, req *wire.Request) (owner.Pass, *wire.Response) {
	f := fingerprint(req)
	var expired <-chan time.Time
	for {
		now := time.Now()
		wait, v := d.suspects.target.Enter(now, f)
		switch {
		case v.ShutOut():
			return owner.Pass{}, wire.Refuse(quarantine.ReasonShutOut, shutOutRetry(now, v))
		case wait == nil:
			return d.pass(f, req), nil
		case expired == nil:
			limit := req.Wait
			if deadline, ok := ctx.Deadline(); ok {
				limit = time.Until(deadline)
			}
			timer := time.NewTimer(limit / suspectWaitDivisor)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-wait:
		case <-expired:
			return owner.Pass{}, wire.Refuse(quarantine.ReasonSuspect, suspectRetryAfter)
		case <-ctx.Done():
			return owner.Pass{}, wire.Refuse(quarantine.ReasonSuspect, suspectRetryAfter)
		}
	}
}

// pass returns the pass of a request that was admitted.
func (d *Daemon) pass(f wire.Fingerprint, req *wire.Request) owner.Pass {
	process := ""
	return owner.Pass{
		Confirm: func() *wire.Response {
			process = d.targetProcess()
			now := time.Now()
			if v := d.suspects.ledger.Verdict(now, f); v.ShutOut() {
				return wire.Refuse(quarantine.ReasonShutOut, shutOutRetry(now, v))
			}
			return nil
		},
		Done: func(r *wire.Response) {
			defer d.suspects.target.Leave(f)
			switch {
			case r == nil:
			case r.Outcome == wire.OutcomeAnswered:
				d.targetAnswered()
				d.spreadSuspects(d.suspects.ledger.Answered(time.Now(), f))
			case r.Outcome == wire.OutcomeUnknown && (r.Reason == targethttp.ReasonLost || r.Reason == targethttp.ReasonCut):
				d.requestLost(f, req, process)
			}
		},
	}
}

// targetProcess returns the name of the process of the target that requests are sent to.
func (d *Daemon) targetProcess() string {
	if p := d.client.Destination().Process; p != "" {
		return d.processName(p)
	}
	return d.processName(d.suspects.life + "/" + strconv.FormatUint(d.suspects.targetLife.Load(), 10))
}

// processName returns the name that a process of the target beside this daemon has among all daemons.
func (d *Daemon) processName(process string) string { return d.settings.Instance + "/" + process }

// targetAnswered records that the process of the target that is there now is not the one that has
// ended.
func (d *Daemon) targetAnswered() {
	if d.suspects.ended.Load() && d.suspects.ended.CompareAndSwap(true, false) {
		d.suspects.targetLife.Add(1)
	}
}

// requestLost records a request that was lost at the target, and has the target checked.
func (d *Daemon) requestLost(f wire.Fingerprint, req *wire.Request, process string) {
	d.suspects.target.Lost(time.Now(), f, process)
	d.logRequestLine(logs.EventRequestLost, req.ID, d.teamOf(req), func() []any {
		return []any{logs.FieldFingerprint, hex.EncodeToString(f[:]), logs.FieldTarget, process}
	})
	if d.suspects.checking.CompareAndSwap(false, true) {
		d.runInBackground(targetCheckTimeout, func(ctx context.Context) { d.checkTarget(ctx, process) })
	}
}

// runInBackground runs f with a time limit. Other than what an incarnation spawns, it outlasts the
// generation, which ends with the process of the target.
func (d *Daemon) runInBackground(limit time.Duration, f func(context.Context)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if err := guard.Run(func() { f(ctx) }); err != nil {
			d.logPanic("suspects", err)
		}
	}()
}

// checkTarget finds out whether a process of the target has ended. A target that can't be reached
// may be partitioned: its end shows once its next process is there.
func (d *Daemon) checkTarget(ctx context.Context, process string) {
	defer d.suspects.checking.Store(false)
	for range targetChecks {
		if process != d.targetProcess() {
			return
		}
		err := d.client.Connect(ctx)
		if errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET) {
			d.targetEnded(process)
			return
		}
		if err != nil || storage.Sleep(ctx, targetCheckInterval) != nil {
			return
		}
	}
	d.suspects.target.Alive()
}

// targetEnded records that a process of the target has ended with requests at work.
func (d *Daemon) targetEnded(process string) {
	now := time.Now()
	lost, others := d.suspects.target.Ended(now, process)
	if len(lost) == 0 {
		return
	}
	d.suspects.ended.Store(true)
	d.spreadSuspects(d.suspects.ledger.Accuse(now, process, lost, others))
}

// logSuspects logs what has become known of requests.
func (d *Daemon) logSuspects(changed []wire.Suspect) {
	now := time.Now()
	for _, s := range changed {
		print := hex.EncodeToString(s.Fingerprint[:])
		v := d.suspects.ledger.Verdict(now, s.Fingerprint)
		last := s.Crashes[0]
		switch {
		case v.ShutOut():
			d.log.Warn(logs.EventRequestShutOut, logs.FieldFingerprint, print, logs.FieldCrashes, v.Crashes,
				logs.FieldTarget, last.Process, logs.FieldUntil, v.Until)
		case v.Suspect():
			d.logStateChange(logs.EventRequestSuspected, print, logs.FieldFingerprint, print, logs.FieldCrashes, v.Crashes,
				logs.FieldTarget, last.Process)
		default:
			d.logStateChange(logs.EventRequestCleared, print, logs.FieldFingerprint, print, logs.FieldTarget, last.Process)
		}
	}
}
