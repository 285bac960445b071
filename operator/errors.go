package operator

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/config"
)

var (
	// ErrUnknown is returned by Apply if the file may have been accepted, or may be
	// accepted later. Repeating the same request determines the outcome.
	ErrUnknown = errors.New("outcome unknown: repeat with the same request ID")
	// ErrUnavailable is returned if the daemon can't handle the request at this
	// time and has changed nothing.
	ErrUnavailable = errors.New("not available at this time")
	// ErrUnreachable is returned by a Client that did not get a complete response.
	// The Apply or Leave may have been carried out.
	ErrUnreachable = errors.New("no answer from the daemon")
	// ErrBadRequest is returned for a malformed request.
	ErrBadRequest = errors.New("bad request")
	// ErrMissing is returned if the requested object does not exist.
	ErrMissing = errors.New("not found")
	// ErrUnsupported is returned if the daemon does not support the call.
	ErrUnsupported = errors.New("not supported by this daemon")
	// ErrDigest is returned by Load and Assemble if the content of an object or file
	// does not match its digest.
	ErrDigest = errors.New("content differs from its digest")
)

// ConflictError is returned if an apply failed because another configuration is in
// force. It describes that configuration.
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

// Problem is one reason why a file is rejected.
type Problem = config.Problem

// InvalidError lists the problems of a file.
type InvalidError = config.InvalidError
