// Package exit maps errors of the commands to exit codes.
package exit

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of both binaries.
const (
	CodeDone      = 0
	CodeFellShort = 1
	CodeWrongUse  = 2
)

// ErrFellShort tells that a check failed or a measurement missed its bound.
var ErrFellShort = errors.New("fell short")

// FellShort returns an error with the code for a failed check or measurement.
func FellShort(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrFellShort, fmt.Errorf(format, args...))
}

// Code returns the exit code for a command's error.
func Code(err error) int {
	switch {
	case err == nil:
		return CodeDone
	case errors.Is(err, ErrFellShort):
		return CodeFellShort
	default:
		return CodeWrongUse
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
