package operator

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/config"
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
	// ErrBadRequest is returned for a request that is malformed.
	ErrBadRequest = errors.New("bad request")
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

// Problem is one reason for which a file is refused.
type Problem = config.Problem

// InvalidError tells what is wrong with a file.
type InvalidError = config.InvalidError
