// Package guard turns a panic into an error, so that what one message sets off ends with
// that message and not with the process.
//
// # Usage
//
//	err := guard.Run(func() { response = serve(request) })
//
// It belongs at the start of each goroutine, and where one goroutine takes one message
// after the other. State that f changed halfway is its owner's to drop.
package guard

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a panic that was stopped.
type PanicError struct {
	// Value is what was panicked with.
	Value any
	// Stack is that of the goroutine, as text.
	Stack string
}

// Error says what was panicked with.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Unwrap returns the error that was panicked with; nil if it was another value.
func (e *PanicError) Unwrap() error {
	err, _ := e.Value.(error)
	return err
}

// Run calls f, and returns a *PanicError if it panics.
func Run(f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{Value: p, Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}
