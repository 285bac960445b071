package operator

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// code is the machine-readable word of a refusal.
type code string

const (
	codeBad         code = "bad"
	codeConflict    code = "conflict"
	codeInvalid     code = "invalid"
	codeLarge       code = "large"
	codeMissing     code = "missing"
	codeUnavailable code = "unavailable"
	codeUnknown     code = "unknown"
	codeUnsupported code = "unsupported"
	codeInternal    code = "internal"
)

// refusal is the body of an answer other than success.
type refusal struct {
	Code     code           `json:"code"`
	Reason   string         `json:"reason"`
	Conflict *ConflictError `json:"conflict,omitempty"`
	Problems []Problem      `json:"problems,omitempty"`
}

// refusalOf returns the form of err on the wire, and its status.
func refusalOf(err error) (int, refusal) {
	r := refusal{Code: codeInternal, Reason: err.Error()}
	var conflict *ConflictError
	var invalid *InvalidError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &conflict):
		r.Code, r.Conflict = codeConflict, conflict
		return http.StatusConflict, r
	case errors.As(err, &invalid):
		r.Code, r.Problems = codeInvalid, invalid.Problems
		return http.StatusUnprocessableEntity, r
	case errors.As(err, &large):
		r.Code = codeLarge
		return http.StatusRequestEntityTooLarge, r
	}
	for _, s := range sentinels() {
		if errors.Is(err, s.err) {
			r.Code = s.code
			return s.status, r
		}
	}
	return http.StatusInternalServerError, r
}

// err returns the error that the refusal stands for.
func (r refusal) err() error {
	switch {
	case r.Code == codeConflict && r.Conflict != nil:
		return r.Conflict
	case r.Code == codeInvalid:
		return &InvalidError{Problems: r.Problems}
	case r.Code == codeLarge:
		return fmt.Errorf("%w: %s", ErrBadRequest, r.Reason)
	}
	for _, s := range sentinels() {
		if r.Code == s.code {
			return &remote{sentinel: s.err, reason: r.Reason}
		}
	}
	return errors.Errorf("daemon: %s: %s", r.Code, r.Reason)
}

// sentinel pairs a sentinel error with its form on the wire.
type sentinel struct {
	err    error
	code   code
	status int
}

// sentinels returns the pairs in the order in which they are looked for: what
// may have been done goes before what has not.
func sentinels() []sentinel {
	return []sentinel{
		{ErrUnknown, codeUnknown, http.StatusGatewayTimeout},
		{ErrBadRequest, codeBad, http.StatusBadRequest},
		{ErrMissing, codeMissing, http.StatusNotFound},
		{ErrUnsupported, codeUnsupported, http.StatusNotImplemented},
		{ErrUnavailable, codeUnavailable, http.StatusServiceUnavailable},
	}
}

// remote is a sentinel error with the reason that a daemon gave, which starts
// with the text of the sentinel.
type remote struct {
	sentinel error
	reason   string
}

// Error implements error.
func (r *remote) Error() string { return r.reason }

// Unwrap returns the sentinel.
func (r *remote) Unwrap() error { return r.sentinel }
