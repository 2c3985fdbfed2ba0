// Package exit maps errors of the commands to exit codes.
package exit

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of both binaries. CodeUsageError also stands for every error that
// does not wrap ErrFailure.
const (
	CodeSuccess    = 0
	CodeFailure    = 1
	CodeUsageError = 2
)

// ErrFailure means that a check failed, a measurement missed its bound or an
// instance stopped with an error.
var ErrFailure = errors.New("failed")

// Failuref returns an error that wraps ErrFailure, so that the command exits with
// CodeFailure.
func Failuref(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrFailure, fmt.Errorf(format, args...))
}

// Code returns the exit code for a command's error.
func Code(err error) int {
	switch {
	case err == nil:
		return CodeSuccess
	case errors.Is(err, ErrFailure):
		return CodeFailure
	default:
		return CodeUsageError
	}
}

// Main runs a command, prints its error and exits with the code for it.
func Main(run func() error) {
	err := run()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "error:", err)
	}
	os.Exit(Code(err))
}
