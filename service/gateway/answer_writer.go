package gateway

import "azuredyke.dev/azuredyke/common/verdict"

// answerWriter passes a generation on to the caller.
type answerWriter interface {
	// part takes the next part. The error is errCallerGone, or says why the part cannot be used.
	part(number int, data []byte) error
	// end is called once the answer is whole.
	end() error
	// fail ends an answer that started but cannot be completed; it reports false when nothing was written yet, so that
	// the error can be sent as a whole answer.
	fail(err *verdict.Error) bool
	// started reports whether anything was written to the caller.
	started() bool
	// begin starts a generation and forgets the parts of an earlier one; it is only called while nothing was written.
	begin(p streamPosition)
}
