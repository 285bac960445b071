// Command fulmarstub runs a stub of the platform or of a target as a separate
// process, for tests with several processes and for experiments.
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"fulmarrun/platformstub"
	"fulmarrun/targetstub"
)

type address struct{ netip.AddrPort }

// UnmarshalFlag parses the value of an option, an IP number and a port.
func (a *address) UnmarshalFlag(value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Errorf("parse address: %w", err)
	}
	a.AddrPort = parsed
	return nil
}

type platformCommand struct {
	Listen address `long:"listen" required:"yes" value-name:"IP:PORT" description:"Address to serve on"`
	ctx    context.Context
}

// Execute serves the platform stub until the process receives a signal.
func (c *platformCommand) Execute([]string) error {
	server := &http.Server{
		Addr: c.Listen.String(), Handler: platformstub.New().Handler(), ReadHeaderTimeout: time.Second,
	}
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); err != nil && c.ctx.Err() == nil {
		return fmt.Errorf("serve platform stub: %w", err)
	}
	return nil
}

type targetCommand struct {
	Listen   address       `long:"listen" required:"yes" value-name:"IP:PORT" description:"Address to serve on"`
	Daemon   address       `long:"daemon" required:"yes" value-name:"IP:PORT" description:"Where to announce"`
	Announce address       `long:"announce" value-name:"IP:PORT" description:"Address to announce, if another than that to serve on"`
	Name     string        `long:"name" required:"yes" description:"Name of the instance"`
	Checks   bool          `long:"checks" description:"Check grants"`
	Work     time.Duration `long:"work" description:"How long a request takes"`
	Capacity int           `long:"capacity" default:"20" description:"Requests that it bears at once"`
	Journal  string        `long:"journal" value-name:"FILE" description:"File to append each run to"`
	ctx      context.Context
}

// Execute runs a stub target until the process receives a signal.
func (c *targetCommand) Execute([]string) error {
	opts := []targetstub.Option{
		targetstub.WithListen(c.Listen.AddrPort), targetstub.WithDaemon(c.Daemon.AddrPort),
		targetstub.WithName(c.Name), targetstub.WithRequestTime(c.Work), targetstub.WithCapacity(c.Capacity),
	}
	if c.Announce.IsValid() {
		opts = append(opts, targetstub.WithAnnouncedAddress(c.Announce.AddrPort))
	}
	if c.Checks {
		opts = append(opts, targetstub.WithGrantChecks())
	}
	if c.Journal != "" {
		journal, err := os.OpenFile(c.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("open journal: %w", err)
		}
		defer func() { _ = journal.Close() }()
		opts = append(opts, targetstub.WithJournal(journal))
	}
	if err := targetstub.NewStub(opts...).Run(c.ctx); err != nil && c.ctx.Err() == nil {
		return fmt.Errorf("run stub target: %w", err)
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("fulmarstub", flags.Default)
	for _, c := range []struct {
		name, help string
		data       flags.Commander
	}{
		{"platform", "Run a stub of the platform", &platformCommand{ctx: ctx}},
		{"target", "Run a stub target", &targetCommand{ctx: ctx}},
	} {
		if _, err := parser.AddCommand(c.name, c.help, c.help+".", c.data); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		stop()
		os.Exit(1)
	}
}
