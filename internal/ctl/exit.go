package ctl

import "fmt"

// ExitCode is a process exit code of hoistctl.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailure means that a file or an endpoint could not be read. For config check it means that the
	// configuration has errors, and an unreadable file is an ExitUsage.
	ExitFailure ExitCode = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage ExitCode = 2
	// ExitInvalid means that a table is invalid.
	ExitInvalid ExitCode = 3
	// ExitDifferent means that diff --exit-code found changes.
	ExitDifferent ExitCode = 4
	// ExitTicket means that the most urgent verdict of burn --exit-code is ticket.
	ExitTicket ExitCode = 5
	// ExitPage means that the most urgent verdict of burn --exit-code is page.
	ExitPage ExitCode = 6
)

const exitCodeHelp = `Exit codes:
   0  success
   1  a file or an endpoint could not be read
   2  the command line is wrong
   3  a table is invalid
   4  diff --exit-code: the tables differ in effect
   5  burn --exit-code: the most urgent verdict is ticket
   6  burn --exit-code: the most urgent verdict is page
config check exits with 0 without errors, 1 with errors, and 2 if the command line is wrong or a file cannot be read.`

// exitError is an error with an exit code. If err is nil, no message is printed.
type exitError struct {
	code ExitCode
	err  error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

// Unwrap returns the underlying error, which may be nil.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}
