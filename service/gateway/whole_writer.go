package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// wholeWriter collects a generation and writes it as one answer.
type wholeWriter struct {
	w     http.ResponseWriter
	chat  bool
	whole *wholeAnswer
	wrote bool
}

func newWholeWriter(w http.ResponseWriter, chat bool) *wholeWriter {
	return &wholeWriter{w: w, chat: chat, whole: newWholeAnswer(chat)}
}

func (s *wholeWriter) started() bool { return s.wrote }

func (s *wholeWriter) begin(streamPosition) { s.whole = newWholeAnswer(s.chat) }

func (s *wholeWriter) part(_ int, data []byte) error { return s.whole.add(data) }

func (s *wholeWriter) end() error {
	body, err := json.Marshal(s.whole.finish())
	if err != nil {
		return err
	}
	s.wrote = true
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(verdict.Header, verdict.Ran.String())
	_, err = s.w.Write(body)
	return err
}

func (s *wholeWriter) fail(*verdict.Error) bool { return s.wrote }
