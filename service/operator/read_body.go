package operator

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

const (
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 10 * time.Second
	// maxBodyBytes bounds the body as it is sent: a message with its envelope.
	maxBodyBytes = maxMessageBytes + 64<<10
)

// readBody reads each request's body within a deadline, so that a client that sends slowly holds nothing. The deadline is
// taken away before the request is served, since it would end the context of a call that runs longer.
type readBody struct {
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (h readBody) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is too large or came too slowly", http.StatusRequestEntityTooLarge)
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	r.Body = io.NopCloser(bytes.NewReader(body))
	h.next.ServeHTTP(w, r)
}
