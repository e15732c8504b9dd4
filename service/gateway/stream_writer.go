package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// callerWriteTimeout bounds one write to a caller, so that a caller who stops reading does not hold an endpoint.
const callerWriteTimeout = 30 * time.Second

// streamWriter passes a generation on as server-sent events.
type streamWriter struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	generation string
	// keepUsage is false when the caller did not ask for the usage part.
	keepUsage bool
	wrote     bool
}

func newStreamWriter(w http.ResponseWriter, generation string, keepUsage bool) *streamWriter {
	return &streamWriter{w: w, control: http.NewResponseController(w), generation: generation, keepUsage: keepUsage}
}

func (s *streamWriter) started() bool { return s.wrote }

func (s *streamWriter) restart() {}

func (s *streamWriter) begin() {
	if s.wrote {
		return
	}
	s.wrote = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(verdict.Header, verdict.Ran.String())
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) part(number int, data []byte) error {
	if !s.keepUsage && isUsageOnly(data) {
		return nil
	}
	s.begin()
	return s.write("id: %s:%d\ndata: %s\n\n", s.generation, number, data)
}

func (s *streamWriter) end() error {
	s.begin()
	return s.write("data: [DONE]\n\n")
}

func (s *streamWriter) fail(err *verdict.Error) bool {
	if !s.wrote {
		return false
	}
	body, marshalErr := json.Marshal(bodyOf(err))
	if marshalErr == nil {
		_ = s.write("event: error\ndata: %s\n\n", body)
	}
	return true
}

func (s *streamWriter) write(format string, args ...any) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := fmt.Fprintf(s.w, format, args...); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}
