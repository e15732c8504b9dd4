package message

// GrantEvent says what happened to a grant.
type GrantEvent uint8

// Events of a grant, in the order in which they can happen.
const (
	// GrantUnused returns a grant whose request was not sent.
	GrantUnused GrantEvent = iota + 1
	// GrantStarted is sent before the first byte of the request.
	GrantStarted
	// GrantProgress carries the number of tokens received so far.
	GrantProgress
	// GrantCompleted ends a grant whose answer was whole.
	GrantCompleted
	// GrantCancelled ends a grant whose generation was cancelled, with the endpoint's confirmation.
	GrantCancelled
	// GrantRefused ends a grant that the endpoint refused to run.
	GrantRefused
	// GrantFailed ends a grant whose connection failed; the endpoint may still be running it.
	GrantFailed
	// GrantStalled says that tokens are late; the grant stays open.
	GrantStalled
)

// Ends reports whether the event closes the grant.
func (e GrantEvent) Ends() bool {
	switch e {
	case GrantUnused, GrantCompleted, GrantCancelled, GrantRefused, GrantFailed:
		return true
	default:
		return false
	}
}
