package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/operator"
)

const auditHelp = `Print the audit trail: one line for each accepted change of configuration or ownership, with when, who, what, from, to and why. Without --since, the newest entries are printed, newest first; with --since, the entries from that time on, oldest first.

Examples:
$ fulmarrun audit --daemon 10.0.1.7:7004
$ fulmarrun audit --daemon 10.0.1.7:7004 --since 2026-12-04T06:00:00Z --limit 1000
$ fulmarrun audit --daemon 10.0.1.7:7004 --json`

// timeOption is an option value with a time in RFC 3339 format.
type timeOption struct {
	time.Time
}

// UnmarshalFlag parses the value of the option.
func (m *timeOption) UnmarshalFlag(value string) error {
	parsed, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return errors.Errorf("want a time such as 2026-12-04T06:00:00Z, got %q", value)
	}
	m.Time = parsed
	return nil
}

type auditCommand struct {
	daemonOptions
	jsonOption
	Since timeOption `long:"since" value-name:"TIME" description:"Print entries from this time on"`
	Limit int        `long:"limit" value-name:"NUMBER" default:"100" description:"Greatest number of entries, up to 1000"`
	app   *App
	ctx   context.Context
}

// Execute runs the command.
func (c *auditCommand) Execute([]string) error {
	request := operator.AuditRequest{Since: c.Since.Time, Limit: c.Limit}
	reply, err := callAny(c.ctx, &c.daemonOptions, func(ctx context.Context, client *operator.Client) (operator.AuditReply, error) {
		return client.Audit(ctx, request)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.printJSON(reply)
	}
	var text strings.Builder
	for _, e := range reply.Entries {
		fmt.Fprintf(&text, "at=%s who=%q what=%s subject=%q from=%q to=%q why=%q change=%s\n",
			e.At.UTC().Format(time.RFC3339Nano), e.Who, e.What, e.Subject, e.From, e.To, e.Why, e.Change)
	}
	return c.app.print(text.String())
}
