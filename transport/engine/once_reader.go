package engine

import "io"

// onceReader hides the type of a reader from net/http, which would otherwise be able to rewind the body and to send the
// request a second time on its own, as it does for requests with an Idempotency-Key.
type onceReader struct {
	io.Reader
}
