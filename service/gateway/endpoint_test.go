package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"azuredyke.dev/azuredyke/transport/engine"
)

// scriptedEndpoint answers completion requests, resumes and plain calls with functions that a test sets.
type scriptedEndpoint struct {
	address string
	// generate answers completion requests; nil writes a complete generation. resume answers resumes; nil answers 404.
	// plain answers plain calls; nil writes the number of the run.
	generate func(w http.ResponseWriter, r *http.Request)
	resume   func(w http.ResponseWriter, r *http.Request, after int)
	plain    func(w http.ResponseWriter, r *http.Request)

	runs           atomic.Int64
	cancelledPaths chan string
}

const scriptedParts = 10

// newScriptedEndpoint starts an endpoint that runs until the test ends. By default a generation has scriptedParts parts.
func newScriptedEndpoint(t testing.TB) *scriptedEndpoint {
	t.Helper()
	e := &scriptedEndpoint{cancelledPaths: make(chan string, 100)}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	e.address = strings.TrimPrefix(server.URL, "http://")
	return e
}

// ServeHTTP implements http.Handler.
func (e *scriptedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	switch {
	case r.Method == http.MethodDelete:
		e.cancelledPaths <- r.URL.Path
		w.WriteHeader(http.StatusNoContent)
	case strings.HasSuffix(r.URL.Path, "/completions"):
		e.runs.Add(1)
		if e.generate == nil {
			writeParts(w, 0, scriptedParts, true)
			return
		}
		e.generate(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/generations/"):
		after := -1
		if id := r.Header.Get(engine.HeaderLastEventID); id != "" {
			after, _ = strconv.Atoi(id)
		}
		if e.resume == nil {
			http.NotFound(w, r)
			return
		}
		e.resume(w, r, after)
	default:
		e.runs.Add(1)
		if e.plain == nil {
			_, _ = fmt.Fprintf(w, "run %d", e.runs.Load())
			return
		}
		e.plain(w, r)
	}
}

// writeParts writes the parts with numbers in [from, to), followed by the terminator if done. The last part of a
// generation carries the end reason.
func writeParts(w http.ResponseWriter, from, to int, done bool) {
	for n := from; n < to; n++ {
		finish := "null"
		if n == scriptedParts-1 {
			finish = `"stop"`
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"g\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"<%d>\"},"+
			"\"finish_reason\":%s}]}\n\n", n, n, finish)
	}
	if done {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	_ = http.NewResponseController(w).Flush()
}

// breakConnection closes the connection in the middle of an answer.
func breakConnection() { panic(http.ErrAbortHandler) }
