package exchange

import (
	"net/http"

	"azuredyke.dev/azuredyke/common/verdict"
)

// Caller sends the answer of a request to the caller through a front end. The first call is exactly one of Refuse,
// WriteAnswer and Begin.
type Caller interface {
	// Refuse answers the request with an error.
	Refuse(err *verdict.Error)
	// WriteAnswer sends a complete answer.
	WriteAnswer(status int, header http.Header, body []byte) error
	// Begin starts an answer whose body is sent with Write. length is -1 when the length of the body is not known.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body without buffering it.
	Write(part []byte) error
	// Interrupt makes the present call of Write and all later ones fail soon. Any goroutine may call it.
	Interrupt()
	// Abort terminates the answer so that it does not look complete. It does not return.
	Abort()
}
