package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// callerWriteTimeout bounds one write to a caller, so that a caller who stops reading does not occupy an endpoint.
const callerWriteTimeout = 30 * time.Second

// deadlineSlack is the maximum time beyond callerWriteTimeout after which a blocked write fails.
const deadlineSlack = 5 * time.Second

// streamWriter writes a generation to the caller as server-sent events.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// position is the event id of the generation's parts without the part number.
	position string
	// keepUsage is false when the caller did not ask for the usage part.
	keepUsage bool
	wrote     bool
	buffer    []byte
	deadline  time.Time
}

func newStreamWriter(w http.ResponseWriter, keepUsage bool) *streamWriter {
	return &streamWriter{w: w, control: http.NewResponseController(w), keepUsage: keepUsage}
}

func (s *streamWriter) started() bool { return s.wrote }

func (s *streamWriter) begin(p streamPosition) { s.position = p.prefix() }

func (s *streamWriter) writeHeader() {
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

func (s *streamWriter) writePart(number int, data []byte) error {
	if !s.keepUsage && isUsageOnly(data) {
		return nil
	}
	s.writeHeader()
	b := append(s.buffer[:0], "id: "...)
	b = append(b, s.position...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(number), 10)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	s.buffer = append(b, "\n\n"...)
	return s.write(s.buffer)
}

func (s *streamWriter) end() error {
	s.writeHeader()
	return s.write([]byte("data: [DONE]\n\n"))
}

func (s *streamWriter) fail(err *verdict.Error) bool {
	if !s.wrote {
		return false
	}
	body, marshalErr := json.Marshal(bodyOf(err))
	if marshalErr == nil {
		_ = s.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", body))
	}
	return true
}

// write sends one event to the caller.
func (s *streamWriter) write(event []byte) error {
	s.extendDeadline(time.Now())
	if _, err := s.w.Write(event); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// extendDeadline extends the write deadline when less than callerWriteTimeout is left. Setting the deadline for each part
// would double the cost of a write.
func (s *streamWriter) extendDeadline(now time.Time) {
	if s.deadline.Sub(now) < callerWriteTimeout {
		s.deadline = now.Add(callerWriteTimeout + deadlineSlack)
		_ = s.control.SetWriteDeadline(s.deadline)
	}
}
