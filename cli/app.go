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
	"fulmarrun/storage"
)

// ErrCommandMissing is returned by a command whose implementation was not passed
// to New.
var ErrCommandMissing = errors.New("this program is built without the command")

// Option configures an App.
type Option func(*App)

// WithOutput is a functional option that sets the writers for results and for
// logs.
func WithOutput(stdout, stderr io.Writer) Option {
	return func(a *App) { a.stdout, a.stderr = stdout, stderr }
}

// WithDaemon is a functional option that sets the function of the command run. It
// must serve until its context ends, and then stop gracefully.
func WithDaemon(run func(context.Context, config.Settings, *log.Logger) error) Option {
	return func(a *App) { a.daemon = run }
}

// PlatformArguments are the arguments of the command platform.
type PlatformArguments struct {
	// Settings is the name of the settings file.
	Settings string
	// Descriptors is how many file descriptors the process may use; zero if not specified.
	Descriptors int
	// ReadRate is how many reads a second the platform's store takes from all daemons together; zero if not
	// specified.
	ReadRate float64
}

// WithPlatform is a functional option that sets the function of the command
// platform. It must read the settings from the named file, and serve until its
// context ends.
func WithPlatform(run func(ctx context.Context, args PlatformArguments, logger *log.Logger) error) Option {
	return func(a *App) { a.platform = run }
}

// WithDemo is a functional option that sets the function of the command demo.
func WithDemo(run func(context.Context, io.Writer, *log.Logger) error) Option {
	return func(a *App) { a.demo = run }
}

// WithBackoff is a functional option that passes options to the delays between the tries
// of a command.
func WithBackoff(opts ...storage.BackoffOption) Option {
	return func(a *App) { a.backoff = opts }
}

// App is the command-line program with its commands.
type App struct {
	backoff  []storage.BackoffOption
	stdout   io.Writer
	stderr   io.Writer
	daemon   func(context.Context, config.Settings, *log.Logger) error
	platform func(ctx context.Context, args PlatformArguments, logger *log.Logger) error
	demo     func(context.Context, io.Writer, *log.Logger) error
	log      *log.Logger
}

// New returns an App that, without WithOutput, writes to the standard output and
// standard error of the process.
func New(opts ...Option) *App {
	a := &App{stdout: os.Stdout, stderr: os.Stderr}
	for _, opt := range opts {
		opt(a)
	}
	a.log = newLogger(a.stderr)
	return a
}

// Main runs a command and returns the exit code. The first element of args is the
// command; the name of the program is not included.
func (a *App) Main(ctx context.Context, args []string) int {
	err := a.parseAndRun(ctx, args)
	var usage *flags.Error
	if errors.As(err, &usage) {
		return int(a.reportUsage(usage))
	}
	a.reportError(err)
	return int(exitCode(err))
}

func (a *App) parseAndRun(ctx context.Context, args []string) error {
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
		{"demo", "Run a demonstration in one process on loopback", demoHelp, &demoCommand{app: a, ctx: ctx}},
		{"check", "Check files without applying them", checkHelp, &checkCommand{app: a}},
		{"apply", "Replace the file in force", applyHelp, &applyCommand{app: a, ctx: ctx}},
		{"show", "Print the file in force", showHelp, &showCommand{app: a, ctx: ctx}},
		{"status", "Print the state of all instances and their configurations", statusHelp, &statusCommand{app: a, ctx: ctx}},
		{"audit", "Print the audit trail of changes", auditHelp, &auditCommand{app: a, ctx: ctx}},
		{"key", "Print the owner of a key", keyHelp, &keyCommand{app: a, ctx: ctx}},
		{"leave", "Make one daemon hand over its keys and stop", leaveHelp, &leaveCommand{app: a, ctx: ctx}},
		{"explain", "Print the course of one request from logs", explainHelp, &explainCommand{app: a}},
		{"version", "Print the version", versionHelp, &versionCommand{app: a}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return nil, fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return parser, nil
}

const programHelp = `Router for servers that own keys exclusively.

"run" is the daemon, one beside each target; "platform" is the same daemon on the users' platform. "demo" runs a demonstration in one process. The other commands are for operators: they read and change the file that declares all services, which is applied as a whole.

Exit codes:
0 success
1 failure; the reason is in the log
2 invalid command line
3 a file is invalid; nothing was changed
4 another operator's file was accepted first; nothing was changed
5 no daemon answered, or the outcome is unknown
6 the daemon can't execute the command at this time; nothing was changed

"fulmarrun COMMAND --help" describes a command with examples.`

// reportUsage prints the requested help, or the error in the command line.
func (a *App) reportUsage(err *flags.Error) ExitCode {
	if err.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(a.stdout, err.Message)
		return CodeOK
	}
	_, _ = fmt.Fprintf(a.stderr, "fulmarrun: %s\nSee fulmarrun --help.\n", strings.TrimSpace(err.Message))
	return CodeUsage
}

// reportError logs a failure. It prints the problems of an invalid file instead,
// one per line, in the format that editors parse.
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

// printJSON writes a value as JSON and a newline to standard output.
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

// newLogger returns a logger that writes one line of key=value pairs per event.
func newLogger(w io.Writer) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
}

// jsonOption is embedded by commands that can print their result as JSON.
type jsonOption struct {
	JSON bool `long:"json" description:"Print the result as one JSON value"`
}
