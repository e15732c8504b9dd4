package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"azuredyke.dev/azuredyke/transport/engine"
)

const (
	// maxBody bounds a request body.
	maxBody = 16 << 20
	// detachTimeout bounds the delivery of a detachMessage.
	detachTimeout = time.Second
)

// serveGenerate serves the completion paths.
func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "the body could not be read")
		return
	}
	request, err := parseGenerate(r, body, s.options.BlockTokens)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	fence, ok := parseFence(w, r)
	if !ok {
		return
	}
	request.fence = fence
	incarnation := s.processState.Load().incarnation
	refused := false
	defer func() {
		// If the connection broke before the task replied, the generation may have started, so its reader is detached.
		if !refused {
			s.detach(request.id)
		}
	}()
	started := ask(s, r, func(reply chan<- startReply) message { return startMessage{request: request, reply: reply} })
	if started.generation == nil {
		refused = true
		writeRefusal(w, started.refusal)
		return
	}
	if request.stream {
		s.writeStream(w, r, started.generation, 0, incarnation)
		return
	}
	s.writeAnswer(w, r, started.generation, incarnation)
}

// serveResume serves GET /v1/generations/{id}/stream.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	next := 0
	if last := r.Header.Get(engine.HeaderLastEventID); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "Last-Event-ID is not a number")
			return
		}
		next = n + 1
	}
	id := r.PathValue("id")
	incarnation := s.processState.Load().incarnation
	g := ask(s, r, func(reply chan<- *generation) message { return attachMessage{id: id, reply: reply} })
	if g == nil {
		writeError(w, http.StatusNotFound, "no such generation")
		return
	}
	defer s.detach(id)
	s.writeStream(w, r, g, next, incarnation)
}

// detach detaches a reader from a generation.
func (s *Server) detach(id string) {
	ctx, cancel := context.WithTimeout(s.lifetime, detachTimeout)
	defer cancel()
	_ = s.inbox.Send(ctx, detachMessage{id: id})
}

// writeStream streams the parts of a generation, starting with part next.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, g *generation, next, incarnation int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	s.waitWhileStalled(r, incarnation)
	_ = control.Flush()
	for {
		p, changed := g.progress.Watch()
		s.waitWhileStalled(r, incarnation)
		for ; next < p.produced; next++ {
			writePart(w, next, g.tokenPart(next, p))
		}
		if p.state == completed {
			if g.includeUsage && next <= p.produced {
				writePart(w, p.produced, g.usagePart(p))
			}
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			_ = control.Flush()
			return
		}
		if p.state != running {
			panic(http.ErrAbortHandler)
		}
		_ = control.Flush()
		s.waitForChange(r, changed)
	}
}

// writeAnswer waits for the end of a generation and writes the complete answer.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, g *generation, incarnation int) {
	for {
		p, changed := g.progress.Watch()
		switch p.state {
		case completed:
			s.waitWhileStalled(r, incarnation)
			writeJSON(w, http.StatusOK, g.answerPart(p))
			return
		case running:
			s.waitForChange(r, changed)
		default:
			panic(http.ErrAbortHandler)
		}
	}
}

// waitForChange waits until changed is closed. It closes the connection if the request is cancelled.
func (s *Server) waitForChange(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func writePart(w io.Writer, number int, p part) {
	data, err := json.Marshal(p)
	if err == nil {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, data)
	}
}
