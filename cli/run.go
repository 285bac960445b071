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

const runHelp = `Run the daemon beside one target. Its settings contain its addresses and its failure domain.

SIGTERM and SIGINT make it stop gracefully: it accepts no new requests, finishes the running ones and hands over its keys, within the time limit of the setting "drain". A second signal ends it immediately.

Example:
$ fulmarrun run --settings agenda-1.json

The exit code is 3 if the settings are invalid.`

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
		return fmt.Errorf("run: %w", ErrCommandMissing)
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return fmt.Errorf("set log level: %w", err)
	}
	c.app.log.SetLevel(level)
	runtime.GOMAXPROCS(settings.Cores)
	// The standard logger is discarded: net/http writes to it, and its messages can
	// contain parts of answers.
	stdlog.SetOutput(io.Discard)
	return untilSignal(c.ctx, func(ctx context.Context) error {
		return c.app.daemon(ctx, *settings, c.app.log)
	})
}

// untilSignal runs serve with a context that SIGTERM and SIGINT cancel, and returns
// the error of serve.
func untilSignal(ctx context.Context, serve func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	var serveErr error
	group.Add(func() error {
		serveErr = serve(ctx)
		return serveErr
	}, func(error) {
		cancel()
	})
	group.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	_ = group.Run()
	return serveErr
}
