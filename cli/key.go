package cli

import (
	"context"
	"fmt"
	"time"

	"fulmarrun/operator"
)

const keyHelp = `Print the owner of a key of a service, as known to the daemon: the instance, its failure domain, the slot, the epoch, the time since when it is the owner and the reason.

Examples:
$ fulmarrun key agenda 17 --daemon 10.0.1.7:7004
$ fulmarrun key casierie 'Muzeul de Istorie' --daemon 10.0.2.7:7004 --json`

type keyCommand struct {
	daemonOptions
	jsonOption
	Names struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Key     string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
	app *App
	ctx context.Context
}

// Execute runs the command.
func (c *keyCommand) Execute([]string) error {
	request := operator.KeyRequest{Service: c.Names.Service, Key: c.Names.Key}
	reply, err := callAny(c.ctx, &c.daemonOptions, func(ctx context.Context, client *operator.Client) (operator.KeyReply, error) {
		return client.Key(ctx, request)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.printJSON(reply)
	}
	return c.app.print(keyText(reply))
}

func keyText(r operator.KeyReply) string {
	owner := "none"
	if r.Instance != "" {
		owner = fmt.Sprintf("%s in domain %s, generation %s", r.Instance, r.Domain, r.Generation)
	}
	if r.Caller.IsValid() {
		owner += ", caller " + r.Caller.String()
	}
	text := fmt.Sprintf("owner %s\nslot %d, hot %t, epoch %d\n", owner, r.Slot, r.Hot, r.Epoch)
	if r.Instance == "" {
		return text
	}
	since := "not written yet"
	if !r.Since.IsZero() {
		since = r.Since.UTC().Format(time.RFC3339)
	}
	return text + fmt.Sprintf("since %s: %s\n", since, r.Why)
}
