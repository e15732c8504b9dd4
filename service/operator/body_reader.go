package operator

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

const (
	// bodyTimeout limits the time to read the body of a request.
	bodyTimeout = 10 * time.Second
	// maxBodyBytes limits the body as sent: a message with its envelope.
	maxBodyBytes = maxMessageBytes + 64<<10
)

// bodyReader is a handler that reads the body of each request within a deadline, so that a slow client cannot occupy a
// connection indefinitely. It clears the deadline before it serves the request, since the deadline would otherwise end the
// context of a longer call.
type bodyReader struct {
	next http.Handler
	// errors writes errors in the protocol of the request, so that a client can distinguish them from a lost answer.
	errors *connect.ErrorWriter
}

// ServeHTTP implements http.Handler.
func (h bodyReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	r.Body = io.NopCloser(bytes.NewReader(body))
	h.next.ServeHTTP(w, r)
}

// refuse answers a request whose body could not be read. The request has changed nothing.
func (h bodyReader) refuse(w http.ResponseWriter, r *http.Request, err error) {
	code, status := connect.CodeUnavailable, http.StatusRequestTimeout
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code, status = connect.CodeResourceExhausted, http.StatusRequestEntityTooLarge
	}
	if !h.errors.IsSupported(r) {
		http.Error(w, errUnreadableBody.Error(), status)
		return
	}
	_ = h.errors.Write(w, r, connect.NewError(code, errUnreadableBody))
}
