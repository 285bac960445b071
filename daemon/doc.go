// Package daemon assembles the process that runs beside one target.
//
// # Structure
//
// A Daemon lives as long as the process. It owns the sockets, the target and its
// admission, and the configuration in force. An incarnation lives as long as one
// generation: it owns the control state, the ledger of request IDs and the slots. If
// peers close a generation while the process lives, because it was paused or
// partitioned, the daemon starts the next one.
//
// One goroutine of the incarnation owns the control state. It executes effects that
// must keep their order itself, and starts goroutines for everything that can block.
// Traffic never waits for it.
//
// # Usage
//
//	d, err := daemon.New(settings, store, daemon.WithLogger(logger))
//	err = d.Run(ctx) // until ctx ends and the daemon has left gracefully
package daemon
