package operator

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// code is the machine-readable code of an error response.
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

// errorResponse is the body of a response that does not report success.
type errorResponse struct {
	Code     code           `json:"code"`
	Reason   string         `json:"reason"`
	Conflict *ConflictError `json:"conflict,omitempty"`
	Problems []Problem      `json:"problems,omitempty"`
}

// errorResponseOf returns the HTTP status and the response body for err.
func errorResponseOf(err error) (int, errorResponse) {
	r := errorResponse{Code: codeInternal, Reason: err.Error()}
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
	for _, s := range wireErrors() {
		if errors.Is(err, s.err) {
			r.Code = s.code
			return s.status, r
		}
	}
	return http.StatusInternalServerError, r
}

// err returns the error that the response represents.
func (r errorResponse) err() error {
	switch {
	case r.Code == codeConflict && r.Conflict != nil:
		return r.Conflict
	case r.Code == codeInvalid:
		return &InvalidError{Problems: r.Problems}
	case r.Code == codeLarge:
		return fmt.Errorf("%w: %s", ErrBadRequest, r.Reason)
	}
	for _, s := range wireErrors() {
		if r.Code == s.code {
			return &remoteError{sentinel: s.err, reason: r.Reason}
		}
	}
	return errors.Errorf("daemon: %s: %s", r.Code, r.Reason)
}

// wireError maps a sentinel error to its code and HTTP status.
type wireError struct {
	err    error
	code   code
	status int
}

// wireErrors returns the mappings in the order in which they are checked.
// ErrUnknown, after which the request may have been applied, comes before the
// errors after which it was not.
func wireErrors() []wireError {
	return []wireError{
		{ErrUnknown, codeUnknown, http.StatusGatewayTimeout},
		{ErrBadRequest, codeBad, http.StatusBadRequest},
		{ErrMissing, codeMissing, http.StatusNotFound},
		{ErrUnsupported, codeUnsupported, http.StatusNotImplemented},
		{ErrUnavailable, codeUnavailable, http.StatusServiceUnavailable},
	}
}

// remoteError is a sentinel error with the reason from a daemon. The reason starts
// with the text of the sentinel.
type remoteError struct {
	sentinel error
	reason   string
}

// Error implements error.
func (r *remoteError) Error() string { return r.reason }

// Unwrap returns the sentinel.
func (r *remoteError) Unwrap() error { return r.sentinel }
