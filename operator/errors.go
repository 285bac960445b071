package operator

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrUnknown is returned by Apply if the file may be accepted, now or later.
	// The same request, repeated, settles it.
	ErrUnknown = errors.New("outcome unknown: repeat with the same request ID")
	// ErrUnavailable is returned if the daemon can't do what is asked at this
	// time, and has done nothing.
	ErrUnavailable = errors.New("not available at this time")
	// ErrUnreachable is returned by a Client that got no whole answer. An Apply
	// or Leave that ends so may have been done.
	ErrUnreachable = errors.New("no answer from the daemon")
	// ErrBad is returned for a request that is malformed.
	ErrBad = errors.New("bad request")
	// ErrMissing is returned if what is asked for does not exist.
	ErrMissing = errors.New("no such thing")
	// ErrUnsupported is returned if the daemon lacks the ability.
	ErrUnsupported = errors.New("not supported by this daemon")
	// ErrDigest is returned by Load if an object is not what its name says.
	ErrDigest = errors.New("content differs from its digest")
)

// ConflictError tells the loser of an apply which configuration is in force instead.
type ConflictError struct {
	Number uint64    `json:"number"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
}

// Error implements error.
func (c *ConflictError) Error() string {
	if c.Number == 0 {
		return "conflict: no configuration is in force"
	}
	return fmt.Sprintf("conflict: configuration %d by %s, accepted at %s, is in force",
		c.Number, c.Author, c.At.UTC().Format(time.RFC3339))
}

// Problem is one fault in a configuration file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Want   string `json:"want"`
	Got    string `json:"got"`
}

// String returns the problem in one line that starts with its place.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: want %s, got %s", p.File, p.Line, p.Column, p.Want, p.Got)
}

// InvalidError tells what is wrong with a configuration file.
type InvalidError struct {
	Problems []Problem
}

// Error implements error.
func (i *InvalidError) Error() string {
	switch len(i.Problems) {
	case 0:
		return "invalid configuration"
	case 1:
		return i.Problems[0].String()
	default:
		return fmt.Sprintf("%s (and %d more)", i.Problems[0], len(i.Problems)-1)
	}
}
