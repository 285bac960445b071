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

// restartPause is how long an actor that has panicked waits before it starts again, so
// that one which always does takes no processor.
const restartPause = time.Second

// notePanic logs a panic that was stopped, unless there were too many.
func (d *Daemon) notePanic(what string, err error) {
	hidden, ok := d.mayLog(logs.EventPanic, "")
	if !ok {
		return
	}
	stack := ""
	var p *guard.PanicError
	if errors.As(err, &p) {
		stack = p.Stack
	}
	d.log.Error(logs.EventPanic, logs.FieldWhat, what, logs.FieldErr, err, logs.FieldStack, stack, logs.FieldHidden, hidden)
}

// persist runs f until it returns without a panic.
func (d *Daemon) persist(ctx context.Context, what string, f func(context.Context) error) error {
	for {
		var err error
		panicked := guard.Run(func() { err = f(ctx) })
		if panicked == nil {
			return err
		}
		d.notePanic(what, panicked)
		if storage.Sleep(ctx, restartPause) != nil {
			return nil
		}
	}
}

// brokenMessage ends a generation whose state a panic has left halfway. The next one
// learns it anew from the platform.
type brokenMessage struct{ control.Tick }
