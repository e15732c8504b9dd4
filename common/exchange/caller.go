package exchange

import (
	"net/http"

	"azuredyke.dev/azuredyke/common/verdict"
)

// Caller is the side of a front end that takes the answer. Exactly one of Refuse, Whole and Begin is called first.
type Caller interface {
	// Refuse ends the request with an error.
	Refuse(err *verdict.Error)
	// Whole sends a whole answer.
	Whole(status int, header http.Header, body []byte) error
	// Begin starts an answer of unknown length; length is -1 when it is not known.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the answer at once.
	Write(part []byte) error
	// Abort breaks the answer off so that it does not look complete. It does not return.
	Abort()
	// Gone is closed when the caller has left.
	Gone() <-chan struct{}
}
