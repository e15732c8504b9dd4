package main

// commandError is the error of a command that ran, as opposed to one of the command line.
type commandError struct {
	err error
	// changes is set when the command asks for a change, so that a lost answer leaves the outcome unknown.
	changes bool
	// unsent is set when no connection was made, so that a change had no effect.
	unsent bool
	// operationID is set when a change was sent.
	operationID string
}

// Error implements error.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *commandError) Unwrap() error { return e.err }
