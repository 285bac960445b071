package cli

import (
	"context"
	"fmt"
)

const demoHelp = `Run a complete deployment in one process on loopback: a stub of the platform, several stub targets, and the daemons beside them. Requests are served, refused and failed over, and each step is printed to standard output. The demonstration needs no other programs or files and leaves no files.

Example:
$ fulmarrun demo`

type demoCommand struct {
	app *App
	ctx context.Context
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	if c.app.demo == nil {
		return fmt.Errorf("demo: %w", ErrCommandMissing)
	}
	return untilSignal(c.ctx, func(ctx context.Context) error {
		return c.app.demo(ctx, c.app.stdout, c.app.log)
	})
}
