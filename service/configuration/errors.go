package configuration

import (
	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/backing"
)

// Error is the class of the errors of this package.
var Error = errs.Class("configuration")

// newUnavailableError returns an error of class backing.ErrUnavailable, which means that nothing was changed. It includes
// err only as text: a read that timed out may have the class backing.ErrUnknownOutcome, which must not reach the operator
// as the outcome of a change.
func newUnavailableError(err error) error {
	return backing.ErrUnavailable.New("%s", err)
}

// isDefinite reports whether an error of a write means that the write had no effect.
func isDefinite(err error) bool {
	if backing.ErrUnknownOutcome.Has(err) {
		return false
	}
	return backing.ErrUnavailable.Has(err) || backing.ErrInvalid.Has(err)
}
