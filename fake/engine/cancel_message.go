package engine

import (
	"net/http"
	"time"
)

// cancelMessage ends a generation. The reply is false when the generation is not known.
type cancelMessage struct {
	id    string
	reply chan<- bool
}

func (m cancelMessage) handle(t *task) {
	s, ok := t.known[m.id]
	if ok && s.ending == running {
		now := time.Now()
		t.finish(s, cancelled, now)
		s.publish()
		t.takeReport(now)
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
