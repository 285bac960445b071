// Package guard turns a panic into an error, so that a panic in the handling of one
// message ends that handling and not the process.
//
// # Usage
//
//	err := guard.Run(func() { response = serve(request) })
//
// Use it at the start of each goroutine, and around each message where one goroutine handles
// several in sequence. The owner of state that f left partially changed must discard it.
package guard

import (
	"fmt"
	"runtime/debug"
)

// PanicError is the error for a recovered panic.
type PanicError struct {
	// Value is the argument of the panic.
	Value any
	// Stack is the stack trace of the goroutine.
	Stack string
}

// Error returns "panic: " and the argument of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Unwrap returns the argument of the panic if it is an error, and nil otherwise.
func (e *PanicError) Unwrap() error {
	err, _ := e.Value.(error)
	return err
}

// Run calls f and returns a *PanicError if f panics.
func Run(f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{Value: p, Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}
