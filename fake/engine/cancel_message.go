package engine

import (
	"net/http"
	"time"
)

// cancelMessage cancels a generation. The reply is false when no generation has the id.
type cancelMessage struct {
	id    string
	reply chan<- bool
}

func (m cancelMessage) handle(t *task) {
	s, ok := t.sequences[m.id]
	if ok && s.state == running {
		now := time.Now()
		t.finish(s, cancelled, now)
		s.publish()
		t.recordLoad(now)
	}
	m.reply <- ok
}

// serveCancel serves DELETE /v1/generations/{id}.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !ask(s, r, func(reply chan<- bool) message { return cancelMessage{id: id, reply: reply} }) {
		writeError(w, http.StatusNotFound, "no such generation")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
