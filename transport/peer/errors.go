package peer

import "github.com/zeebo/errs"

// Classes of the errors of this package. An error of Call belongs to exactly one of ErrNotDelivered, ErrMayBeDelivered
// and ErrRemote.
var (
	// Error is the class of the errors of this package that no other class covers.
	Error = errs.Class("peer")
	// ErrNotDelivered means that no handler has run or will run for the call.
	ErrNotDelivered = errs.Class("peer: not delivered")
	// ErrMayBeDelivered means that the handler may have run, may be running, or may run later.
	ErrMayBeDelivered = errs.Class("peer: may have been delivered")
	// ErrRemote means that the handler ran, and that it returned an error or its reply could not be decoded.
	ErrRemote = errs.Class("peer: remote")
)
