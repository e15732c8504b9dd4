package main

import (
	"errors"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"
)

// Exit codes. Scripts depend on these values, so they must not change.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitConflict       = 3
	exitNotFound       = 4
	exitUnavailable    = 5
	exitInvalid        = 6
	exitPermission     = 7
	exitOutcomeUnknown = 8
	exitNotInForce     = 9
)

// exitCodeHelp is the section on exit codes in the help text.
const exitCodeHelp = `Exit codes:
  0  ok
  1  any other failure, such as a file that cannot be read
  2  wrong usage, or a document that cannot be parsed; no request was sent
  3  conflict: the object has changed, or the operation id was used for a different change
  4  not found
  5  unavailable: nothing was changed, try again later
  6  invalid: the resulting configuration is refused
  7  permission: the token is unknown or lacks the role
  8  outcome unknown: the change may have taken effect; run it again with the same --operation-id
  9  accepted, but not in force on every node within --wait-timeout`

// errNotInForce is the class of errors for accepted changes that were not in force on every node before the timeout.
var errNotInForce = errs.Class("not in force everywhere")

// exitCode returns the exit code for a failed command.
func exitCode(commandErr *commandError) int {
	if errNotInForce.Has(commandErr.err) {
		return exitNotInForce
	}
	var rpc *connect.Error
	if !errors.As(commandErr.err, &rpc) {
		return exitFailed
	}
	if commandErr.isChange && !commandErr.unsent && outcomeUnknown(commandErr.err) {
		return exitOutcomeUnknown
	}
	switch rpc.Code() {
	case connect.CodeAborted, connect.CodeAlreadyExists:
		return exitConflict
	case connect.CodeNotFound:
		return exitNotFound
	case connect.CodeInvalidArgument, connect.CodeResourceExhausted, connect.CodeOutOfRange:
		return exitInvalid
	case connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return exitPermission
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeFailedPrecondition:
		return exitUnavailable
	default:
		return exitFailed
	}
}

// outcomeUnknown reports whether err leaves open whether a change that was sent took effect. The code unavailable is a
// definite refusal only when the server itself returned it.
func outcomeUnknown(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnknown, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeInternal:
		return true
	case connect.CodeUnavailable:
		return !connect.IsWireError(err)
	default:
		return false
	}
}
