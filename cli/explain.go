package cli

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"fulmarrun/explain"
)

// ErrNotLogged is returned by explain if no log has a line about the request.
var ErrNotLogged = errors.New("no line about the request")

const explainHelp = `Print the story of one request from the logs of several processes, in the order of time, with what each process believed when it first dealt with the request and how old that was.

Requests are logged if they had no answer or a slow one, so many a second for each event; see docs/OPERATIONS.md. One request in sixteen, by its ID, has room of its own in the logs of all processes.

Example:
$ fulmarrun explain 9c41d07be2a35f68 sanjose-1.log heredia-2.log

Ends with 1 if no log has a line about the request.`

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
	teller := explain.NewTeller(c.Args.ID)
	for _, name := range c.Args.Files {
		if err := readLog(teller, name); err != nil {
			return err
		}
	}
	story := teller.Story()
	if len(story.Lines) == 0 {
		return fmt.Errorf("explain %q in %d files: %w", c.Args.ID, len(c.Args.Files), ErrNotLogged)
	}
	if c.JSON {
		return c.app.printJSON(story)
	}
	if err := story.Write(c.app.stdout); err != nil {
		return fmt.Errorf("explain %q: %w", c.Args.ID, err)
	}
	return nil
}

func readLog(teller *explain.Teller, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := teller.Read(name, file); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}
