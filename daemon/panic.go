package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/control"
	"fulmarrun/guard"
	"fulmarrun/logs"
	"fulmarrun/storage"
)

// actorRestartDelay is how long an actor that has panicked waits before it restarts, so
// that an actor that always panics does not use up the processor.
const actorRestartDelay = time.Second

// logPanic logs a recovered panic, unless the event exceeds its rate limit.
func (d *Daemon) logPanic(what string, err error) {
	hidden, ok := d.allowLog(logs.EventHandlerPanic, "")
	if !ok {
		return
	}
	stack := ""
	var p *guard.PanicError
	if errors.As(err, &p) {
		stack = p.Stack
	}
	d.log.Error(logs.EventHandlerPanic, logs.FieldWhat, what, logs.FieldErr, err, logs.FieldStack, stack, logs.FieldHidden, hidden)
}

// restartOnPanic runs f and restarts it after a panic, until it returns or ctx ends.
func (d *Daemon) restartOnPanic(ctx context.Context, what string, f func(context.Context) error) error {
	for {
		var err error
		panicked := guard.Run(func() { err = f(ctx) })
		if panicked == nil {
			return err
		}
		d.logPanic(what, panicked)
		if storage.Sleep(ctx, actorRestartDelay) != nil {
			return nil
		}
	}
}

// panicMessage ends a generation whose state may be inconsistent after a panic. The
// next generation reads its state from the platform.
type panicMessage struct{ control.Tick }
