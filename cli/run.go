package cli

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"runtime"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"fulmarrun/config"
)

const runHelp = `Run the daemon beside one target. It learns its addresses and its failure domain from its settings.

SIGTERM and SIGINT make it leave gracefully: it takes no new work, finishes what runs and gives its keys away, for as long as the setting "drain" allows. A second signal ends it at once.

Example:
$ fulmarrun run --settings agenda-1.json

Ends with 3 if the settings are invalid.`

type runCommand struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"Settings of this daemon"`
	app      *App
	ctx      context.Context
}

// Execute runs the command.
func (c *runCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, err := config.ParseSettings(c.Settings, data)
	if err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	if c.app.daemon == nil {
		return fmt.Errorf("run: %w", ErrAbsent)
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return fmt.Errorf("set log level: %w", err)
	}
	c.app.log.SetLevel(level)
	runtime.GOMAXPROCS(settings.Cores)
	// What net/http logs by itself can hold parts of answers.
	stdlog.SetOutput(io.Discard)
	return untilSignal(c.ctx, func(ctx context.Context) error {
		return c.app.daemon(ctx, *settings, c.app.log)
	})
}

// untilSignal runs serve with a context that SIGTERM and SIGINT end, and returns
// what serve returned.
func untilSignal(ctx context.Context, serve func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	var end error
	group.Add(func() error {
		end = serve(ctx)
		return end
	}, func(error) {
		cancel()
	})
	group.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	_ = group.Run()
	return end
}
