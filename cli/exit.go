package cli

import (
	"github.com/pkg/errors"

	"fulmarrun/config"
	"fulmarrun/operator"
)

// ExitCode is the exit code of the process.
type ExitCode int

const (
	// CodeOK means that the command succeeded.
	CodeOK ExitCode = iota
	// CodeFailed means that the command failed; the reason is in the log.
	CodeFailed
	// CodeUsage means that the command line is invalid.
	CodeUsage
	// CodeInvalid means that a file is invalid; nothing was changed.
	CodeInvalid
	// CodeConflict means that another operator's file was accepted first; nothing
	// was changed.
	CodeConflict
	// CodeUnknown means that no daemon answered or that the outcome is unknown.
	CodeUnknown
	// CodeUnavailable means that nothing was changed and a later attempt may succeed.
	CodeUnavailable
)

// exitCode returns the exit code for err.
func exitCode(err error) ExitCode {
	var invalid *config.InvalidError
	var conflict *operator.ConflictError
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &invalid):
		return CodeInvalid
	case errors.As(err, &conflict):
		return CodeConflict
	case errors.Is(err, operator.ErrUnknown), errors.Is(err, operator.ErrUnreachable):
		return CodeUnknown
	case errors.Is(err, operator.ErrUnavailable):
		return CodeUnavailable
	default:
		return CodeFailed
	}
}
