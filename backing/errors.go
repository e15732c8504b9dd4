package backing

import "github.com/zeebo/errs"

// Classes of errors of the platform's services.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errs.Class("platform unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errs.Class("platform write outcome unknown")
	// ErrLeaseNotFound means that the lease has lapsed or was revoked.
	ErrLeaseNotFound = errs.Class("platform lease not found")
	// ErrCompacted means that a watch asked for events that are no longer kept; read the range again.
	ErrCompacted = errs.Class("platform revision compacted")
	// ErrInvalid means that the service rejected the call as malformed or too large.
	ErrInvalid = errs.Class("platform call invalid")
)
