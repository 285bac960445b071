package cli

import (
	"context"
	"time"

	"fulmarrun/operator"
)

const showHelp = `Print the file in force at a daemon, byte for byte as it was applied. Its number, author and time are logged to standard error; "apply" needs the number.

Examples:
$ fulmarrun show --daemon 10.0.1.7:7004 > calor-tico.json
$ fulmarrun show --daemon 10.0.1.7:7004 --json`

type showCommand struct {
	daemonOptions
	jsonOption
	app *App
	ctx context.Context
}

// showResult is the result of the command show.
type showResult struct {
	Number uint64    `json:"number"`
	Digest string    `json:"digest"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Text   string    `json:"text"`
}

// Execute runs the command.
func (c *showCommand) Execute([]string) error {
	reply, err := callAny(c.ctx, &c.daemonOptions, func(ctx context.Context, client *operator.Client) (operator.ShowReply, error) {
		return client.Show(ctx)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.printJSON(showResult{
			Number: reply.Number, Digest: reply.Digest, Author: reply.Author, At: reply.At, Text: string(reply.Text),
		})
	}
	if reply.Number == 0 {
		c.app.log.Info("no configuration in force", "number", reply.Number)
		return nil
	}
	c.app.log.Info("configuration in force", "number", reply.Number, "author", reply.Author,
		"at", reply.At.UTC().Format(time.RFC3339), "digest", reply.Digest)
	return c.app.print(string(reply.Text))
}
