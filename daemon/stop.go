package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/clock"
	"fulmarrun/config"
	"fulmarrun/logs"
	"fulmarrun/owner"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// notReadyPeriod is how long a stopping daemon keeps serving while it reports not
	// ready, so that callers can switch to other daemons: two readiness checks at an
	// interval of one second, plus a margin.
	notReadyPeriod = 2500 * time.Millisecond
	// answerMargin is the time before the end of the process for the last answers to reach
	// their callers.
	answerMargin = 100 * time.Millisecond
)

// errProcessEnds cancels the requests that are still running when the process has to end.
var errProcessEnds = errors.New("the process ends")

// lastAnswer limits the requests of callers to the remaining life of a process that stops.
type lastAnswer struct {
	// due is when the last answers are sent. It is nil as long as requests are taken whatever
	// their time limit.
	due atomic.Pointer[time.Time]
	// ends is cancelled when the last answers are due.
	ends   context.Context
	cancel context.CancelFunc
}

func newLastAnswer() *lastAnswer {
	l := &lastAnswer{}
	l.ends, l.cancel = context.WithCancel(context.Background())
	return l
}

// schedule ends all requests shortly before the process ends.
func (l *lastAnswer) schedule(end time.Time) {
	time.AfterFunc(max(clock.Until(end)-answerMargin, 0), l.cancel)
}

// refuseLate makes refusal refuse requests that may take longer than the process lives.
func (l *lastAnswer) refuseLate(end time.Time) {
	due := end.Add(-answerMargin)
	l.due.Store(&due)
}

// refusal returns the answer to a request that may take longer than the process lives; nil for
// others.
func (l *lastAnswer) refusal(kind *config.Kind, req *wire.Request) *wire.Response {
	due := l.due.Load()
	if due == nil || req.Wait <= clock.Until(*due) {
		return nil
	}
	return owner.RefuseUnchecked(req, kind, owner.ReasonStopped)
}

// limit returns a context that also ends when the last answers are due.
func (l *lastAnswer) limit(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(l.ends, func() { cancel(errProcessEnds) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// stop stops a daemon whose process will restart. Callers' requests and running
// requests finish; its slots stay assigned to its next process.
func (d *Daemon) stop() {
	d.leaving.Store(true)
	end := clock.Now().Add(d.settings.DrainTimeout)
	d.log.Info(logs.EventStopping, logs.FieldDrain, d.settings.DrainTimeout)
	d.lastAnswer.schedule(end)
	// Other members serve the requests without a key.
	d.server.RefuseUnkeyed(true)
	_ = storage.Sleep(context.Background(), min(notReadyPeriod, d.settings.DrainTimeout/2))
	d.lastAnswer.refuseLate(end)
	d.server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Until(end))
	defer cancel()
	if err := d.shutDownCallers(ctx); err != nil {
		d.log.Warn(logs.EventCallersCutOff, logs.FieldErr, err)
	}
	for d.server.Running() > 0 && storage.Sleep(ctx, drainPoll) == nil {
	}
}
