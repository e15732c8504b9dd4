package workers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// signatureHeader is the header by which callers recognize an answer that was produced by a worker.
const signatureHeader = "X-Server-Signature"

// Worker is the HTTP handler of one worker.
type Worker struct {
	Fleet *Fleet
	// ID is the instance id of the worker, and Address its network address.
	ID      string
	Address string
	// Direct is set if nodes reach the worker without a link. A link passes on a reset as a regular close.
	Direct bool
	// Engine is set for model engines. They answer with a stream of Events events, one per Interval.
	Engine   bool
	Events   int
	Interval time.Duration
	// EventsOf returns the number of events for the path of a request, in place of Events; nil if all requests have the same number.
	EventsOf func(path string) int
	// Padding is the number of bytes by which each event is longer. UnreadTimeout is the time after which an answer that is not read
	// is cut off; 0 means never.
	Padding       int
	UnreadTimeout time.Duration
	// Memory is the number of bytes of request bodies above which the worker crashes; 0 means no limit.
	Memory int64
	// Version is the version of the worker's software.
	Version string
	// Zone is the zone of the worker. ColdFor is the remaining time for which it is cold when its entry is written.
	Zone    string
	ColdFor time.Duration
	// Delay is the time that a worker that is no engine works on a request.
	Delay time.Duration
	// RetryAfter is the header Retry-After with the behaviour Refuse; none if it is empty.
	RetryAfter string
	// RateLimit is the header Server-Limit of all answers; none if it is empty.
	RateLimit string
	// Crashes reports whether a request crashes the worker that begins to run it; nil if none does. Crash ends the worker's process.
	Crashes func(*http.Request) bool
	Crash   func()
	// IgnoresClose reports whether the engine works on a run although its connection was closed, until the last event or a final
	// move; nil if it never does.
	IgnoresClose func(path string) bool
	// EventsUntilCrash returns the number of events after which a request crashes the engine that runs it; nil or 0 if it does not.
	EventsUntilCrash func(*http.Request) int
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	switch {
	case w.Engine && in.URL.Path == "/kv-move":
		w.serveMove(out, in)
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
	saidLeaving := ask(in.Context(), w.Fleet, func(s *state) bool { return s.leaving[w.ID] })
	if saidLeaving {
		out.Header().Set("Server-Leaving", "1")
	}
	if w.RateLimit != "" {
		out.Header().Set("Server-Limit", w.RateLimit)
	}
	if want := in.Header.Get("X-Expected-Instance"); want != "" && want != w.ID {
		out.Header().Set("X-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := in.Header.Get("Kv-From")
	behaviour := ask(in.Context(), w.Fleet, func(s *state) Behaviour {
		behaviour := s.behaviours[w.ID]
		s.arrivals = append(s.arrivals, Arrival{
			Worker: w.ID, Service: w.service(), Version: w.Version, Request: request, At: time.Now(), Continued: from != "",
			AskedForPause: behaviour == Refuse && w.RetryAfter != "", SaidLeaving: saidLeaving,
			SaidLimit: w.RateLimit != "",
		})
		return behaviour
	})
	if behaviour == Refuse {
		if w.RetryAfter != "" {
			out.Header().Set("Retry-After", w.RetryAfter)
		}
		w.refuse(out)
		return
	}
	run := &Run{
		Worker: w.ID, Service: w.service(), Request: request, Path: in.URL.RequestURI(), Continued: from != "",
		Workspace: in.Header.Get("X-Tenant"), Authorization: in.Header.Get("Authorization"),
		DeadlineMs: in.Header.Get("X-Deadline-Ms"), Began: time.Now(), stop: make(chan struct{}),
	}
	if last, err := strconv.Atoi(in.Header.Get("Last-Event-Id")); err == nil {
		run.From = last
	}
	run.From++
	if !w.startRun(in.Context(), run, from, behaviour) {
		w.refuse(out)
		return
	}
	defer func() {
		// The context of the request has ended if the caller closed the connection.
		ask(context.Background(), w.Fleet, func(*state) bool { run.end(); return true })
	}()
	defer w.holdBody(in)()
	out.Header().Set(signatureHeader, "signed-by-"+w.ID)
	if w.Crashes != nil && w.Crashes(in) {
		w.crashUnder(out)
	}
	w.answer(out, in, behaviour, run)
}

// crashUnder ends the worker's process under a request. An engine has sent the header of the answer by then. It does not return.
func (w *Worker) crashUnder(out http.ResponseWriter) {
	if w.Engine {
		out.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(out).Flush()
	}
	w.Crash()
	panic(http.ErrAbortHandler)
}

// holdBody reads the body of a request and counts it against the worker's memory until the returned function is called. It crashes the
// worker if it holds too much.
func (w *Worker) holdBody(in *http.Request) func() {
	if w.Memory == 0 {
		return func() {}
	}
	size, _ := io.Copy(io.Discard, in.Body)
	held := ask(in.Context(), w.Fleet, func(s *state) int64 {
		s.held[w.ID] += size
		s.mostHeld[w.ID] = max(s.mostHeld[w.ID], s.held[w.ID])
		return s.held[w.ID]
	})
	if held > w.Memory {
		w.Crash()
		panic(http.ErrAbortHandler)
	}
	return func() { ask(context.Background(), w.Fleet, func(s *state) bool { s.held[w.ID] -= size; return true }) }
}

// service returns the service that the worker belongs to.
func (w *Worker) service() string {
	if w.Engine {
		return "engines"
	}
	return "desk"
}

// refuse answers that a request was not run.
func (w *Worker) refuse(out http.ResponseWriter) {
	out.Header().Set("X-Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}

// startRun records a run. If from names a copy, it consumes the copy, or returns false if the copy does not exist. With the behaviour Fail
// the request runs and fails before the worker looks for the copy.
func (w *Worker) startRun(ctx context.Context, run *Run, from string, behaviour Behaviour) bool {
	return ask(ctx, w.Fleet, func(s *state) bool {
		generation, ok := s.copies[from]
		switch {
		case ok:
			delete(s.copies, from)
			run.Generation = generation
		case from == "" || behaviour == Fail:
			s.generations++
			run.Generation = s.generations
		default:
			return false
		}
		s.runs = append(s.runs, run)
		return true
	})
}

// serveMove serves /kv-move, which copies the memory of a run. A final move stops the run first.
func (w *Worker) serveMove(out http.ResponseWriter, in *http.Request) {
	var body struct {
		ID    string `json:"id"`
		Final bool   `json:"final"`
	}
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	running := ask(in.Context(), w.Fleet, func(s *state) bool {
		for _, r := range s.runs {
			if r.Request == body.ID && r.Worker == w.ID && !r.Ended {
				if body.Final {
					r.end()
					close(r.stop)
				}
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
