// Package cli implements the command line of fulmarrun: the commands that run the
// daemon and its demonstration, and the commands for operators.
//
// # Usage
//
//	app := cli.New(
//		cli.WithOutput(os.Stdout, os.Stderr),
//		cli.WithDaemon(runDaemon),
//		cli.WithDemo(runDemo),
//	)
//	os.Exit(app.Main(ctx, os.Args[1:]))
//
// Results are written to standard output, as text or, with --json, as one JSON
// value. Logs and errors are written to standard error, one line of key=value pairs
// per event; the problems of an invalid file are written there as file:line:column.
//
// # Exit codes
//
//	0  success
//	1  failure; the reason is in the log
//	2  invalid command line
//	3  a file is invalid; nothing was changed
//	4  another operator's file was accepted first; nothing was changed
//	5  no daemon answered, or the outcome is unknown
//	6  the daemon can't execute the command at this time; nothing was changed
package cli
