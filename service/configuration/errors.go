package configuration

import (
	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/backing"
)

// Error is the class of the errors of this package.
var Error = errs.Class("configuration")

// unavailable returns an error that says that nothing was changed. The cause is kept only as text: a read that timed out
// may itself carry backing.ErrUnknownOutcome, which must not reach the operator as the outcome of a change.
func unavailable(err error) error {
	return backing.ErrUnavailable.New("%s", err)
}

// definite reports whether an error of a write says that it had no effect.
func definite(err error) bool {
	if backing.ErrUnknownOutcome.Has(err) {
		return false
	}
	return backing.ErrUnavailable.Has(err) || backing.ErrInvalid.Has(err)
}
