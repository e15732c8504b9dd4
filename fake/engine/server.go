// Package engine is a stand-in for a model engine.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/transport/engine"
)

// Options configures a Server.
type Options struct {
	Model string
	// Tokens is the length of each answer.
	Tokens int
	// StepTime is the time between two tokens.
	StepTime time.Duration
}

// Server answers completion requests with a stream.
type Server struct {
	options Options
}

// NewServer returns a Server.
func NewServer(o Options) *Server { return &Server{options: o} }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/load":
		_ = json.NewEncoder(w).Encode(engine.LoadBody{Incarnation: "1", Models: []string{s.options.Model}})
	case r.Method == http.MethodPost:
		s.generate(w, r)
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(s.options.StepTime)
	defer ticker.Stop()
	for n := range s.options.Tokens {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
		finish := "null"
		if n == s.options.Tokens-1 {
			finish = `"stop"`
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,"+
			"\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word%d \"},\"finish_reason\":%s}]}\n\n",
			n, r.Header.Get(engine.HeaderRequestID), s.options.Model, n, finish)
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprintf(w, "data: [DONE]\n\n")
}
