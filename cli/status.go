package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"fulmarrun/operator"
)

const statusHelp = `Print the number of the accepted configuration, the lowest number in force at any instance, the instances that lag or are silent, and the state of each instance.

A failure domain is out of service everywhere once the lowest number in force has reached the number of the file that took it out and no instance is silent.

Examples:
$ fulmarrun status --daemon 10.0.1.7:7004
$ fulmarrun status --daemon 10.0.1.7:7004 --json`

type statusCommand struct {
	daemonOptions
	jsonOption
	app *App
	ctx context.Context
}

// Execute runs the command.
func (c *statusCommand) Execute([]string) error {
	reply, err := callAny(c.ctx, &c.daemonOptions, func(ctx context.Context, client *operator.Client) (operator.StatusReply, error) {
		return client.Status(ctx)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.printJSON(reply)
	}
	return c.app.print(statusText(reply))
}

func statusText(r operator.StatusReply) string {
	var text strings.Builder
	fmt.Fprintf(&text, "accepted %d, lowest in force %d, lagging %s, silent %s\n",
		r.Accepted, r.Lowest, joinNames(r.Lagging), joinNames(r.Silent))
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tSERVICE\tDOMAIN\tSTATE\tCONFIG\tLEASE\tSLOTS\tINFLIGHT\tQUEUED\tLIMIT")
	for _, i := range r.Instances {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\n", i.Instance, i.Service, i.Domain, i.State,
			i.Config, time.Duration(i.Lease).Round(time.Millisecond), i.Slots, i.InFlight, i.Queued, i.Limit)
	}
	_ = table.Flush()
	return text.String()
}

func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ",")
}
