// Command fulmarrun is the router's daemon and its operators' command line. See
// package cli for its commands and exit codes.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/charmbracelet/log"

	"fulmarrun"
	"fulmarrun/cli"
	"fulmarrun/config"
	"fulmarrun/demo"
	"fulmarrun/platform"
)

func main() {
	app := cli.New(cli.WithDaemon(runDaemon), cli.WithPlatform(runPlatform), cli.WithDemo(demo.Run))
	os.Exit(app.Main(context.Background(), os.Args[1:]))
}

func runPlatform(ctx context.Context, args cli.PlatformArguments, logger *log.Logger) error {
	data, err := os.ReadFile(args.Settings)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, err := platform.ParseSettings(args.Settings, data)
	if err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	settings.Descriptors, settings.ReadRate = args.Descriptors, args.ReadRate
	if err := platform.Run(ctx, *settings, logger); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

func runDaemon(ctx context.Context, settings config.Settings, logger *log.Logger) error {
	router, err := fulmarrun.New(settings, fulmarrun.WithLogger(logger))
	if err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	if err := router.Run(ctx); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}
