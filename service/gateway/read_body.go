package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// readBody reads the whole body of a request, within the bounds of size and time. The read deadline is lifted afterwards:
// while a request runs, it would look like a caller who hung up.
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

// bodyError translates an error of reading a caller's body.
func bodyError(err error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body is over %d bytes", tooLarge.Limit).
			WithField("body")
	}
	return invalid("body", "the body could not be read: %v", err)
}
