package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// bufferedWriter collects the parts of a generation and writes them to the caller as one answer.
type bufferedWriter struct {
	w       http.ResponseWriter
	chat    bool
	builder *completionBuilder
	wrote   bool
}

func newBufferedWriter(w http.ResponseWriter, chat bool) *bufferedWriter {
	return &bufferedWriter{w: w, chat: chat, builder: newCompletionBuilder(chat)}
}

func (b *bufferedWriter) started() bool { return b.wrote }

func (b *bufferedWriter) begin(streamPosition) { b.builder = newCompletionBuilder(b.chat) }

func (b *bufferedWriter) writePart(_ int, data []byte) error { return b.builder.add(data) }

func (b *bufferedWriter) end() error {
	body, err := json.Marshal(b.builder.build())
	if err != nil {
		return err
	}
	b.wrote = true
	_ = http.NewResponseController(b.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	b.w.Header().Set("Content-Type", "application/json")
	b.w.Header().Set(verdict.Header, verdict.Ran.String())
	_, err = b.w.Write(body)
	return err
}

func (b *bufferedWriter) fail(*verdict.Error) bool { return b.wrote }
