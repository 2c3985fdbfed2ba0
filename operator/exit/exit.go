// Package exit maps errors of the commands to exit codes.
package exit

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of both binaries.
const (
	CodeSuccess    = 0
	CodeFailure    = 1
	CodeUsageError = 2
)

// ErrFailure tells that a check failed or a measurement missed its bound.
var ErrFailure = errors.New("fell short")

// Failuref returns an error with the code for a failed check or measurement.
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

// Main runs a command and ends the process with its code.
func Main(run func() error) {
	err := run()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "error:", err)
	}
	os.Exit(Code(err))
}
