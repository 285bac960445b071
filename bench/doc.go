// Package bench measures how the cost of each task of a daemon grows with the size of
// the deployment. It contains benchmarks only; docs/CAPACITY.md derives from their
// results the cost at the size that the design must support.
//
// # Usage
//
//	go test ./bench -run '^$' -bench . -benchtime 200ms
//
// A benchmark reports the time of one operation and, where they matter, bytes, rounds or
// messages as metrics of their own.
package bench
