package gateway

import "azuredyke.dev/azuredyke/common/verdict"

// answerWriter writes the answer of a generation to the caller.
type answerWriter interface {
	// writePart adds the next part to the answer. The error is errCallerGone, or the reason why the part cannot be used.
	writePart(number int, data []byte) error
	// end completes the answer after its last part.
	end() error
	// fail ends an answer that cannot be completed. It reports false when nothing was written to the caller yet, so that
	// err can be sent as a separate error response.
	fail(err *verdict.Error) bool
	// started reports whether anything was written to the caller.
	started() bool
	// begin starts a generation and discards the parts of an earlier one. It is only called while nothing was written.
	begin(p streamPosition)
}
