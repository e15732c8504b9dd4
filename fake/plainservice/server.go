// Package plainservice is a stand-in for a plain service beside the model engines. It counts each call.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"azuredyke.dev/azuredyke/transport/engine"
)

// Server answers every call with what it received.
type Server struct {
	calls chan Call
	count atomic.Int64
}

// Call is one call that the service ran.
type Call struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Body      string `json:"body"`
	RequestID string `json:"request_id"`
	Number    int64  `json:"number"`
}

// callCapacity is the number of calls that Calls keeps for a reader; later ones are only counted.
const callCapacity = 65536

// NewServer returns a server that has run nothing.
func NewServer() *Server { return &Server{calls: make(chan Call, callCapacity)} }

// Count returns the number of calls that were run.
func (s *Server) Count() int64 { return s.count.Load() }

// Calls returns the calls in the order in which they were run.
func (s *Server) Calls() <-chan Call { return s.calls }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		writeJSON(w, http.StatusOK, engine.LoadBody{Incarnation: "plain"})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := Call{
		Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Body: string(body),
		RequestID: r.Header.Get(engine.HeaderRequestID), Number: s.count.Add(1),
	}
	select {
	case s.calls <- c:
	default:
	}
	writeJSON(w, http.StatusOK, c)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
