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
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 10 * time.Second
	// maxBodyBytes bounds the body as it is sent: a message with its envelope.
	maxBodyBytes = maxMessageBytes + 64<<10
)

// readBody reads each request's body within a deadline, so that a client that sends slowly holds nothing. The deadline is
// taken away before the request is served, since it would end the context of a call that runs longer.
type readBody struct {
	next http.Handler
	// errors writes errors in the protocol of the request, so that a client can tell them from a lost answer.
	errors *connect.ErrorWriter
}

// ServeHTTP implements http.Handler.
func (h readBody) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// refuse answers a request whose body could not be read; nothing was changed.
func (h readBody) refuse(w http.ResponseWriter, r *http.Request, err error) {
	code, status := connect.CodeUnavailable, http.StatusRequestTimeout
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code, status = connect.CodeResourceExhausted, http.StatusRequestEntityTooLarge
	}
	if !h.errors.IsSupported(r) {
		http.Error(w, errBody.Error(), status)
		return
	}
	_ = h.errors.Write(w, r, connect.NewError(code, errBody))
}
