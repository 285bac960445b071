package cli

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"fulmarrun/explain"
)

// ErrNotLogged is returned by explain if no log has a line about the request.
var ErrNotLogged = errors.New("no log line about the request")

const explainHelp = `Print the log lines about one request from several processes, ordered by time, with the state that each process knew when it first handled the request and how old that state was.

Requests are logged if they were answered late or not at all, up to a limit per second for each event; see docs/OPERATIONS.md. One request in sixteen, selected by its ID, has a separate limit in the logs of all processes.

Example:
$ fulmarrun explain 9c41d07be2a35f68 sanjose-1.log heredia-2.log

The exit code is 1 if no log has a line about the request.`

type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"ID of the request"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"Logs"`
	} `positional-args:"yes" required:"yes"`
	jsonOption
	app *App
}

// Execute runs the command.
func (c *explainCommand) Execute([]string) error {
	tracer := explain.NewTracer(c.Args.ID)
	for _, name := range c.Args.Files {
		if err := readLog(tracer, name); err != nil {
			return err
		}
	}
	trace := tracer.Trace()
	if len(trace.Lines) == 0 {
		return fmt.Errorf("explain %q in %d files: %w", c.Args.ID, len(c.Args.Files), ErrNotLogged)
	}
	if c.JSON {
		return c.app.printJSON(trace)
	}
	if err := trace.Write(c.app.stdout); err != nil {
		return fmt.Errorf("explain %q: %w", c.Args.ID, err)
	}
	return nil
}

func readLog(tracer *explain.Tracer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := tracer.Read(name, file); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}
