package cli

import (
	"context"
	"fmt"
	"time"

	"fulmarrun/operator"
)

const leaveHelp = `Make one daemon leave: it takes no new work, finishes what runs, gives its keys away and stops. The daemon goes on with it after the command has ended; "status" shows it as leaving. Sending SIGTERM to the daemon does the same.

Example:
$ fulmarrun leave --daemon 10.0.1.7:7004

Ends with 5 if no answer came; the daemon may be leaving.`

type leaveCommand struct {
	Daemon  address       `long:"daemon" value-name:"IP:PORT" required:"yes" description:"Operator address of the daemon that is to leave"`
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
