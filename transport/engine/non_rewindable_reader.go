package engine

import "io"

// nonRewindableReader hides the type of a reader from net/http. For the types that it can rewind, net/http may send a
// request a second time on its own, for example a request with an Idempotency-Key.
type nonRewindableReader struct {
	io.Reader
}
