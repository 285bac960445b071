package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"fulmarrun/config"
)

// ErrAbsent is returned by a command that this program is built without.
var ErrAbsent = errors.New("this program is built without the command")

// Option configures an App.
type Option func(*App)

// WithOutput is a functional option that sets where results and logs go.
func WithOutput(stdout, stderr io.Writer) Option {
	return func(a *App) { a.stdout, a.stderr = stdout, stderr }
}

// WithDaemon is a functional option that sets what the command run does: it
// serves until its context ends, and then stops gracefully.
func WithDaemon(run func(context.Context, config.Settings, *log.Logger) error) Option {
	return func(a *App) { a.daemon = run }
}

// WithPlatform is a functional option that sets what the command platform does: it
// reads the settings of the named file, and serves until its context ends.
func WithPlatform(run func(ctx context.Context, file string, logger *log.Logger) error) Option {
	return func(a *App) { a.platform = run }
}

// WithDemo is a functional option that sets what the command demo does.
func WithDemo(run func(context.Context, io.Writer, *log.Logger) error) Option {
	return func(a *App) { a.demo = run }
}

// App is the command line.
type App struct {
	stdout   io.Writer
	stderr   io.Writer
	daemon   func(context.Context, config.Settings, *log.Logger) error
	platform func(context.Context, string, *log.Logger) error
	demo     func(context.Context, io.Writer, *log.Logger) error
	log      *log.Logger
}

// New returns a command line that writes to the process's standard output and
// standard error.
func New(opts ...Option) *App {
	a := &App{stdout: os.Stdout, stderr: os.Stderr}
	for _, opt := range opts {
		opt(a)
	}
	a.log = newLogger(a.stderr)
	return a
}

// Main runs the command that args name, without the program's own name, and
// returns the exit code.
func (a *App) Main(ctx context.Context, args []string) int {
	err := a.execute(ctx, args)
	var usage *flags.Error
	if errors.As(err, &usage) {
		return int(a.reportUsage(usage))
	}
	a.reportError(err)
	return int(codeOf(err))
}

func (a *App) execute(ctx context.Context, args []string) error {
	parser, err := a.parser(ctx)
	if err != nil {
		return err
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return fmt.Errorf("run command: %w", err)
	}
	return nil
}

func (a *App) parser(ctx context.Context) (*flags.Parser, error) {
	parser := flags.NewNamedParser("fulmarrun", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = programHelp
	for _, c := range []struct {
		name, short, long string
		command           flags.Commander
	}{
		{"run", "Run the daemon beside one target", runHelp, &runCommand{app: a, ctx: ctx}},
		{"platform", "Run the daemon beside one target on the users' platform", platformHelp, &platformCommand{app: a, ctx: ctx}},
		{"demo", "Show everything in one process on loopback", demoHelp, &demoCommand{app: a, ctx: ctx}},
		{"check", "Check files without applying them", checkHelp, &checkCommand{app: a}},
		{"apply", "Put a whole file in force", applyHelp, &applyCommand{app: a, ctx: ctx}},
		{"show", "Print the file in force", showHelp, &showCommand{app: a, ctx: ctx}},
		{"status", "Tell what is in force where", statusHelp, &statusCommand{app: a, ctx: ctx}},
		{"audit", "Print the audit trail of changes", auditHelp, &auditCommand{app: a, ctx: ctx}},
		{"key", "Tell who owns a key", keyHelp, &keyCommand{app: a, ctx: ctx}},
		{"leave", "Make one daemon give its keys away and stop", leaveHelp, &leaveCommand{app: a, ctx: ctx}},
		{"explain", "Tell the story of a request from logs", explainHelp, &explainCommand{app: a}},
		{"version", "Print the version", versionHelp, &versionCommand{app: a}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return nil, fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return parser, nil
}

const programHelp = `Router for servers that own keys exclusively.

"run" is the daemon, one beside each target; "platform" is the same on the users' platform. "demo" shows everything in one process. The other commands are for operators: they read and change the file that declares all services, which is applied as a whole.

Exit codes:
0 done
1 failed for a reason that is in the log
2 the command line is wrong
3 a file is invalid; nothing was changed
4 another operator's file was accepted first; nothing was changed
5 no daemon answered, or the outcome is unknown
6 the daemon can't do it at this time; nothing was changed

"fulmarrun COMMAND --help" describes a command with examples.`

// reportUsage prints help that was asked for, or what is wrong with the command
// line.
func (a *App) reportUsage(err *flags.Error) Code {
	if err.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(a.stdout, err.Message)
		return CodeDone
	}
	_, _ = fmt.Fprintf(a.stderr, "fulmarrun: %s\nSee fulmarrun --help.\n", strings.TrimSpace(err.Message))
	return CodeUsage
}

// reportError logs a failure; the problems of a file go one to a line, in the
// form that editors understand.
func (a *App) reportError(err error) {
	var invalid *config.InvalidError
	switch {
	case err == nil:
	case errors.As(err, &invalid):
		_, _ = fmt.Fprintln(a.stderr, invalid.Problems)
	default:
		a.log.Error("command failed", "error", err)
	}
}

// printJSON writes one JSON value and a newline to standard output.
func (a *App) printJSON(value any) error {
	encoder := json.NewEncoder(a.stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

// print writes text to standard output.
func (a *App) print(text string) error {
	if _, err := io.WriteString(a.stdout, text); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

// newLogger returns a logger of one line of key=value pairs for each event.
func newLogger(w io.Writer) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
}

// jsonOption is the option of each command with a result.
type jsonOption struct {
	JSON bool `long:"json" description:"Print the result as one JSON value"`
}
