// Package demo runs a complete deployment in one process on loopback: a stub of
// the platform, several stub targets and a router for each target.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout, logger) // prints each step of the demonstration
//
//	cluster, err := demo.Start(ctx, demo.WithNodes(4)) // for tests
//	defer cluster.Stop()
package demo
