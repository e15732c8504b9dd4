package workers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// signature is the header by which callers know an answer of a worker.
const signature = "X-Server-Signature"

// Worker is the HTTP side of one worker.
type Worker struct {
	Fleet *Fleet
	// ID is its own name, Address where it is reached.
	ID      string
	Address string
	// Engine is set for model engines, whose answers are streams of Events events, one in each Interval.
	Engine   bool
	Events   int
	Interval time.Duration
	// Zone is where it stands, ColdFor how much longer it is cold when its entry is written.
	Zone    string
	ColdFor time.Duration
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	switch {
	case w.Engine && in.URL.Path == "/kv-move":
		w.move(out, in)
		return
	case w.Engine && strings.HasPrefix(in.URL.Path, "/kv-handle/"):
		return
	case w.Engine && in.URL.Path == "/report":
		leaving := ask(in.Context(), w.Fleet, func(s *state) bool { return s.leaving[w.ID] })
		_ = json.NewEncoder(out).Encode(map[string]any{"state": map[bool]string{false: "ready", true: "draining"}[leaving]})
		return
	}
	request := in.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", request)
	if want := in.Header.Get("X-Expected-Instance"); want != "" && want != w.ID {
		out.Header().Set("X-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := in.Header.Get("Kv-From")
	behaviour := ask(in.Context(), w.Fleet, func(s *state) Behaviour {
		s.arrivals = append(s.arrivals, Arrival{w.ID, w.service(), request, time.Now(), from != ""})
		return s.behaviours[w.ID]
	})
	if behaviour == Refuse {
		w.refuse(out)
		return
	}
	run := &Run{
		Worker: w.ID, Service: w.service(), Request: request, Path: in.URL.RequestURI(), Continued: from != "",
		Workspace: in.Header.Get("X-Tenant"), Authorization: in.Header.Get("Authorization"),
		DeadlineMs: in.Header.Get("X-Deadline-Ms"), Began: time.Now(),
	}
	if last, err := strconv.Atoi(in.Header.Get("Last-Event-Id")); err == nil {
		run.From = last
	}
	run.From++
	if !w.start(in.Context(), run, from) {
		w.refuse(out)
		return
	}
	defer func() {
		// The request's own context has ended when its caller has left.
		ask(context.Background(), w.Fleet, func(*state) bool { run.Ended, run.EndedAt = true, time.Now(); return true })
	}()
	out.Header().Set(signature, "signed-by-"+w.ID)
	w.answer(out, in, behaviour, run)
}

// service returns the service that the worker belongs to.
func (w *Worker) service() string {
	if w.Engine {
		return "engines"
	}
	return "desk"
}

// refuse says that a request was not run.
func (w *Worker) refuse(out http.ResponseWriter) {
	out.Header().Set("X-Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}

// start notes a run, or returns false when the copy to go on from does not exist.
func (w *Worker) start(ctx context.Context, run *Run, from string) bool {
	return ask(ctx, w.Fleet, func(s *state) bool {
		if from == "" {
			s.generations++
			run.Generation = s.generations
		} else {
			generation, ok := s.copies[from]
			if !ok {
				return false
			}
			delete(s.copies, from)
			run.Generation = generation
		}
		s.runs = append(s.runs, run)
		return true
	})
}

// answer writes the answer as the behaviour says.
func (w *Worker) answer(out http.ResponseWriter, in *http.Request, behaviour Behaviour, run *Run) {
	switch behaviour {
	case Fail:
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprint(out, "failed")
	case Reset:
		panic(http.ErrAbortHandler)
	case Truncate:
		out.Header().Set("Content-Length", "1000")
		_, _ = fmt.Fprint(out, "only a part")
		panic(http.ErrAbortHandler)
	case Cross:
		out.Header().Set("X-Request-Id", "another")
		_, _ = fmt.Fprint(out, "answer of another request")
	default:
		if w.Engine {
			w.stream(out, in, run)
			return
		}
		_, _ = fmt.Fprintf(out, "%s %s by %s", in.Method, in.URL.RequestURI(), w.ID)
	}
}

// stream makes events until the last one or until the caller leaves.
func (w *Worker) stream(out http.ResponseWriter, in *http.Request, run *Run) {
	out.Header().Set("Content-Type", "text/event-stream")
	backup, request := in.Header.Get("X-Kv-Backup"), in.Header.Get("X-Request-Id")
	for n := run.From; n <= w.Events; n++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %d of %s\n\n", n, run.Generation, request); err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush()
		if backup != "" {
			ask(in.Context(), w.Fleet, func(s *state) bool { s.copies[backup+"/"+request] = run.Generation; return true })
		}
		select {
		case <-time.After(w.Interval):
		case <-in.Context().Done():
			return
		}
	}
}

// move copies a run's memory.
func (w *Worker) move(out http.ResponseWriter, in *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	running := ask(in.Context(), w.Fleet, func(s *state) bool {
		for _, r := range s.runs {
			if r.Request == body.ID && r.Worker == w.ID && !r.Ended {
				s.moves++
				s.copies[w.Address+"/moved-"+body.ID] = r.Generation
				return true
			}
		}
		return false
	})
	if !running {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"cacheHandle": "moved-" + body.ID, "created": 0})
}
