package message

// GrantEvent is the kind of an event of a grant.
type GrantEvent uint8

// Events of a grant, in the order in which they can happen.
const (
	// GrantUnused returns a grant whose request was not sent.
	GrantUnused GrantEvent = iota + 1
	// GrantStarted is sent before the first byte of the request.
	GrantStarted
	// GrantProgress carries the number of tokens received so far.
	GrantProgress
	// GrantCompleted ends a grant whose answer was complete.
	GrantCompleted
	// GrantCancelled ends a grant whose generation was cancelled and whose cancellation the endpoint has confirmed.
	GrantCancelled
	// GrantRefused ends a grant that the endpoint refused to run.
	GrantRefused
	// GrantFailed ends a grant whose connection failed. The endpoint may still be running the request.
	GrantFailed
	// GrantStalled reports that tokens are late. The grant stays open.
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
