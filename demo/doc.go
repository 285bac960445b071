// Package demo runs a whole deployment in one process on loopback: the
// platform's stand-in, some stub targets and a router beside each.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout) // shows a request served, refused, failed over
//
//	cluster, err := demo.Start(ctx, demo.WithNodes(4)) // for tests
//	defer cluster.Stop()
package demo
