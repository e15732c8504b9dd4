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
	fence, ok := fenceOf(w, r)
	if !ok {
		return
	}
	request.fence = fence
	incarnation := s.outside.Load().incarnation
	refused := false
	defer func() {
		// A request whose connection broke before the answer of the task may have started a generation.
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
		s.relay(w, r, started.generation, 0, incarnation)
		return
	}
	s.answer(w, r, started.generation, incarnation)
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
	incarnation := s.outside.Load().incarnation
	g := ask(s, r, func(reply chan<- *generation) message { return attachMessage{id: id, reply: reply} })
	if g == nil {
		writeError(w, http.StatusNotFound, "no such generation")
		return
	}
	defer s.detach(id)
	s.relay(w, r, g, next, incarnation)
}

// detach tells the task that a reader is gone.
func (s *Server) detach(id string) {
	ctx, cancel := context.WithTimeout(s.life, detachTimeout)
	defer cancel()
	_ = s.inbox.Send(ctx, detachMessage{id: id})
}

// relay streams the parts of a generation from the given number on.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, g *generation, next, incarnation int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	s.pass(r, incarnation)
	_ = control.Flush()
	for {
		p, changed := g.progress.Watch()
		s.pass(r, incarnation)
		for ; next < p.produced; next++ {
			writePart(w, next, g.token(next, p))
		}
		if p.ending == completed {
			if g.includeUsage && next <= p.produced {
				writePart(w, p.produced, g.usagePart(p))
			}
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			_ = control.Flush()
			return
		}
		if p.ending != running {
			panic(http.ErrAbortHandler)
		}
		_ = control.Flush()
		s.wait(r, changed)
	}
}

// answer waits for the end of a generation and writes it whole.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, g *generation, incarnation int) {
	for {
		p, changed := g.progress.Watch()
		switch p.ending {
		case completed:
			s.pass(r, incarnation)
			writeJSON(w, http.StatusOK, g.whole(p))
			return
		case running:
			s.wait(r, changed)
		default:
			panic(http.ErrAbortHandler)
		}
	}
}

// wait waits for a change, and closes the connection when the caller is gone.
func (s *Server) wait(r *http.Request, changed <-chan struct{}) {
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
