package cli

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"fulmarrun/logs"
)

const platformHelp = `Run the daemon beside one target on the users' platform, which writes its settings from the template that the deploy file names.

SIGTERM and SIGINT make it stop: it makes callers use other daemons, finishes the running requests, and leaves its keys to the next process of the same instance. SIGHUP is logged and has no other effect: settings are read at the start only.

Example:
$ fulmarrun platform --settings /etc/fulmarrun/boot.yaml

The exit code is 3 if the settings are invalid.`

type platformCommand struct {
	Settings    string  `long:"settings" value-name:"FILE" env:"FULMARRUN_SETTINGS" required:"yes" description:"Settings of this daemon"`
	Descriptors int     `long:"descriptors" value-name:"N" description:"How many file descriptors the process may use, if that is less than its own limit"`
	Reads       float64 `long:"reads" value-name:"N" description:"How many reads a second the platform's store takes from all daemons together"`
	app         *App
	ctx         context.Context
}

// Execute runs the command.
func (c *platformCommand) Execute([]string) error {
	if c.app.platform == nil {
		return fmt.Errorf("platform: %w", ErrCommandMissing)
	}
	// The standard logger is discarded: net/http writes to it, and its messages can
	// contain parts of answers.
	stdlog.SetOutput(io.Discard)
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	logger := newLogger(out)
	logger.Info(logs.EventProcessStart, logs.FieldPID, os.Getpid(), logs.FieldSettings, c.Settings)
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	go func() {
		for range sighups {
			logger.Info(logs.EventReloadIgnored, logs.FieldSettings, c.Settings)
		}
	}()
	defer logger.Info(logs.EventProcessEnd, logs.FieldPID, os.Getpid())
	return untilSignal(c.ctx, func(ctx context.Context) error {
		return c.app.platform(ctx, PlatformArguments{Settings: c.Settings, Descriptors: c.Descriptors, ReadRate: c.Reads}, logger)
	})
}
