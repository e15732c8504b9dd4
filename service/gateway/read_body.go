package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// readBody reads the body of a request within the limits of size and time. It removes the read deadline afterwards, because a
// deadline that expires while the request runs cancels its context as if the caller had hung up.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.options.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.Limits.BodyBytes))
	if err != nil {
		return nil, bodyError(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// bodyError returns the refusal for an error while reading a request body.
func bodyError(err error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body is over %d bytes", tooLarge.Limit).
			WithField("body")
	}
	return invalidRequest("body", "the body could not be read: %v", err)
}
