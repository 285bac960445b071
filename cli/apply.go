package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fulmarrun/config"
	"fulmarrun/operator"
)

const applyHelp = `Replace the file in force, which must have the number given by --base, by another file as a whole. "show" prints that number; for the first file it is 0.

The file is checked first. If another operator's file was accepted since --base, nothing is changed and the exit code is 4: read the file in force with "show", merge, and apply again with its number.

If several daemons are given, they are tried in turn with the same change ID, which is accepted at most once. If the outcome is still unknown when the time limit is reached, the exit code is 5 and the change ID is printed. Repeat the command with --change and that ID: it reports whether the file was accepted, and applies it if not.

Examples:
$ fulmarrun show --daemon 10.0.1.7:7004 > calor-tico.json
$ fulmarrun apply calor-tico.json --base 6 --author ana --daemon 10.0.1.7:7004
$ fulmarrun apply calor-tico.json --base 6 --author ana \
  --daemon 10.0.1.8:7004 --change 01973c52-7d2e-7c3a-9f0e-2f1d6a4b8c11`

type applyCommand struct {
	daemonOptions
	jsonOption
	Base   uint64 `long:"base" value-name:"NUMBER" required:"yes" description:"Number of the configuration that the file was made from"`
	Author string `long:"author" value-name:"NAME" required:"yes" description:"Who applies the file, for the audit trail"`
	Change string `long:"change" value-name:"ID" description:"Change ID of an earlier try whose outcome is unknown"`
	Files  struct {
		Name string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
	app *App
	ctx context.Context
}

// applyResult is the result of the command apply.
type applyResult struct {
	Outcome string `json:"outcome"`
	Change  string `json:"change"`
	// Number is the number of the file if it was accepted.
	Number uint64 `json:"number,omitempty"`
	// Already is true if an earlier attempt with the same change ID was accepted.
	Already bool `json:"already,omitempty"`
	// Conflict describes the file of another operator that was accepted first.
	Conflict *operator.ConflictError `json:"conflict,omitempty"`
	Problems config.Problems         `json:"problems,omitempty"`
	Reason   string                  `json:"reason,omitempty"`
}

// Execute runs the command.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Files.Name)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if c.Change == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return fmt.Errorf("make change ID: %w", err)
		}
		c.Change = id.String()
	}
	var reply operator.ApplyReply
	if _, err = config.Parse(c.Files.Name, text); err == nil {
		reply, err = c.send(text)
	}
	if printErr := c.report(reply, err); printErr != nil {
		return printErr
	}
	return err
}

func (c *applyCommand) send(text []byte) (operator.ApplyReply, error) {
	// Log the change ID before sending, so that an interrupted command can be
	// repeated as well.
	c.app.log.Info("applying", "file", c.Files.Name, "base", c.Base, "change", c.Change)
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	reply, err := operator.ApplyAny(ctx, c.newClients(), operator.ApplyRequest{
		Text: text, Base: c.Base, Author: c.Author, Change: c.Change,
	}, c.app.backoff...)
	if err != nil && exitCode(err) == CodeFailed && !notExecuted(err) {
		err = fmt.Errorf("%w: %w", operator.ErrUnknown, err)
	}
	if err != nil {
		return reply, fmt.Errorf("apply %s: %w", c.Files.Name, err)
	}
	return reply, nil
}

// notExecuted reports whether err means that the daemon did not execute the
// request.
func notExecuted(err error) bool {
	return errors.Is(err, operator.ErrBadRequest) || errors.Is(err, operator.ErrMissing) || errors.Is(err, operator.ErrUnsupported)
}

// report prints the outcome, and returns an error only if printing fails.
func (c *applyCommand) report(reply operator.ApplyReply, err error) error {
	result := applyResult{Outcome: outcomeOf(err), Change: c.Change, Number: reply.Number, Already: reply.Already}
	if err != nil {
		result.Reason = err.Error()
	}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		result.Problems = invalid.Problems
	}
	errors.As(err, &result.Conflict)
	if c.JSON {
		return c.app.printJSON(result)
	}
	return c.app.print(result.text())
}

func (r *applyResult) text() string {
	switch {
	case r.Outcome == "accepted" && r.Already:
		return fmt.Sprintf("accepted before: configuration %d, change %s\n", r.Number, r.Change)
	case r.Outcome == "accepted":
		return fmt.Sprintf("accepted: configuration %d, change %s\n", r.Number, r.Change)
	case r.Conflict != nil:
		return fmt.Sprintf("not applied: configuration %d by %s is in force\n", r.Conflict.Number, r.Conflict.Author)
	case r.Outcome == "unknown":
		return fmt.Sprintf("outcome unknown: repeat with --change %s\n", r.Change)
	default:
		return fmt.Sprintf("not applied: %s\n", r.Outcome)
	}
}

func outcomeOf(err error) string {
	switch exitCode(err) {
	case CodeOK:
		return "accepted"
	case CodeInvalid:
		return "invalid"
	case CodeConflict:
		return "conflict"
	case CodeUnknown:
		return "unknown"
	case CodeUnavailable:
		return "unavailable"
	default:
		return "refused"
	}
}
