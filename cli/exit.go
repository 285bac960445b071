package cli

import (
	"github.com/pkg/errors"

	"fulmarrun/config"
	"fulmarrun/operator"
)

// Code is the exit code of the process.
type Code int

const (
	// CodeDone means that the command did what was asked.
	CodeDone Code = iota
	// CodeFailed means that it failed for a reason that is in the log.
	CodeFailed
	// CodeUsage means that the command line is wrong.
	CodeUsage
	// CodeInvalid means that a file is invalid; nothing was changed.
	CodeInvalid
	// CodeConflict means that another file was accepted first.
	CodeConflict
	// CodeUnknown means that no daemon answered or that the outcome is unknown.
	CodeUnknown
	// CodeUnavailable means that nothing was done and a later try may succeed.
	CodeUnavailable
)

// codeOf returns the exit code that stands for err.
func codeOf(err error) Code {
	var invalid *config.InvalidError
	var conflict *operator.ConflictError
	switch {
	case err == nil:
		return CodeDone
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
