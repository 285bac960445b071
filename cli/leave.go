package cli

import (
	"context"
	"fmt"
	"time"

	"fulmarrun/operator"
)

const leaveHelp = `Make one daemon leave: it accepts no new requests, finishes the running ones, hands over its keys and stops. The daemon continues after the command has ended; "status" shows it as leaving. SIGTERM has the same effect.

Example:
$ fulmarrun leave --daemon 10.0.1.7:7004

The exit code is 5 if the daemon did not answer; it may be leaving nevertheless.`

type leaveCommand struct {
	Daemon  addressOption `long:"daemon" value-name:"IP:PORT" required:"yes" description:"Operator address of the daemon that is to leave"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"Limit of the whole command"`
	app     *App
	ctx     context.Context
}

// Execute runs the command.
func (c *leaveCommand) Execute([]string) error {
	client := operator.NewClient(c.Daemon.AddrPort, operator.WithTimeout(c.Timeout))
	if err := client.Leave(c.ctx); err != nil {
		return fmt.Errorf("ask %s to leave: %w", c.Daemon, err)
	}
	return c.app.print(fmt.Sprintf("leaving: %s\n", c.Daemon))
}
