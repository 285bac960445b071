// Package cli is the command line of fulmarrun: the daemon itself, its
// demonstration, and the commands with which operators drive a deployment.
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
// Results go to standard output, as text or, with --json, as one JSON value.
// Logs and errors go to standard error, one line of key=value pairs for each
// event; the problems of a refused file are printed there as file:line:column.
//
// # Exit codes
//
//	0  done
//	1  failed for a reason that is in the log
//	2  the command line is wrong
//	3  a file is invalid; nothing was changed
//	4  another operator's file was accepted first; nothing was changed
//	5  no daemon answered, or the outcome is unknown
//	6  the daemon can't do it at this time; nothing was changed
package cli
