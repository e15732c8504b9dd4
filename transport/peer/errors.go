package peer

import "github.com/zeebo/errs"

// Classes of the errors of this package. An error of Call belongs to exactly one of ErrNotDelivered, ErrMayBeDelivered
// and ErrRemote.
var (
	// Error is the class of errors in the use of this package.
	Error = errs.Class("peer")
	// ErrNotDelivered says that no handler has run or will run for the call.
	ErrNotDelivered = errs.Class("peer: not delivered")
	// ErrMayBeDelivered says that the handler may have run, may be running, or may run later.
	ErrMayBeDelivered = errs.Class("peer: may have been delivered")
	// ErrRemote says that the handler ran and returned an error.
	ErrRemote = errs.Class("peer: remote")
)
