package cli

import (
	"context"
	"fmt"
)

const demoHelp = `Run everything in one process on loopback: a stand-in of the platform, a few stub targets, and the daemons beside them. Requests are served, refused and failed over, and each step is told on standard output. Nothing is needed and nothing is left behind.

Example:
$ fulmarrun demo`

type demoCommand struct {
	app *App
	ctx context.Context
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	if c.app.demo == nil {
		return fmt.Errorf("demo: %w", ErrAbsent)
	}
	return untilSignal(c.ctx, func(ctx context.Context) error {
		return c.app.demo(ctx, c.app.stdout, c.app.log)
	})
}
