// Package bench measures how the cost of each duty of a daemon grows with the
// size of the deployment. It holds benchmarks only; what they give is worked out
// for the size that decides in docs/CAPACITY.md.
//
// # Usage
//
//	go test ./bench -run '^$' -bench . -benchtime 200ms
//
// A benchmark reports time for one operation, and where that is what matters
// bytes, rounds or messages as metrics of their own.
package bench
