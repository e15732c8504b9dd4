package main

// commandError is an error from the execution of a command. Errors in the command line itself have other types.
type commandError struct {
	err error
	// isChange is set when the command requests a change, whose outcome is unknown if the response is lost.
	isChange bool
	// unsent is set when no connection was established, so the change cannot have taken effect.
	unsent bool
	// operationID is the id of the change, empty if none was sent.
	operationID string
}

// Error implements error.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *commandError) Unwrap() error { return e.err }
