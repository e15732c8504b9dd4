package backing

import "github.com/zeebo/errs"

// Error classes of the platform's services.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errs.Class("platform unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errs.Class("platform write outcome unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errs.Class("platform lease not found")
	// ErrCompacted means that a watch starts at a revision whose events are no longer stored. The caller must read the range
	// again.
	ErrCompacted = errs.Class("platform revision compacted")
	// ErrInvalid means that the service rejected the call as malformed or too large.
	ErrInvalid = errs.Class("platform call invalid")
)
