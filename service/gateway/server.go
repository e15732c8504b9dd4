package gateway

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/verdict"
)

// Server serves the requests of callers over HTTP.
type Server struct {
	Dependencies
	log     *zap.Logger
	options Options
	metrics *metrics

	stopping atomic.Bool
	// open is the number of open requests.
	open atomic.Int64
}

// NewServer returns a Server.
func NewServer(log *zap.Logger, options Options, d Dependencies, scope tally.Scope) *Server {
	return &Server{Dependencies: d, log: log, options: options, metrics: newMetrics(scope)}
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.withAdmission(s.serveGeneration)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.withAdmission(s.serveGeneration)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.withAdmission(s.serveModels)).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}").HandlerFunc(s.withAdmission(s.servePlain))
	r.NotFoundHandler = s.refuseAll(verdict.ReasonUnknownPath, "path", "there is no such path")
	r.MethodNotAllowedHandler = s.refuseAll(verdict.ReasonWrongMethod, "method", "the path does not take this method")
	return r
}

// OpenRequests returns the number of open caller requests.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// RefuseNewRequests makes the server refuse new requests. Open requests go on.
func (s *Server) RefuseNewRequests() { s.stopping.Store(true) }

// handler serves one authenticated request of a workspace. withAdmission writes a returned error to the caller; after nil the
// handler has written the answer itself.
type handler func(w http.ResponseWriter, r *http.Request, body []byte, workspace string) *verdict.Error

// withAdmission returns an HTTP handler that calls h for admitted requests and writes the errors of refused and failed ones.
func (s *Server) withAdmission(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		err := s.admitAndServe(w, r, h)
		if err == nil {
			return
		}
		s.metrics.countError(err)
		s.log.Debug("request ended with an error", zap.String("path", r.URL.Path),
			zap.Stringer("verdict", err.Verdict), zap.String("reason", string(err.Reason)), zap.Error(err))
		writeError(w, err)
	}
}

// admitAndServe checks the state of the node and the caller's key, reads the body and calls h.
func (s *Server) admitAndServe(w http.ResponseWriter, r *http.Request, h handler) *verdict.Error {
	if s.stopping.Load() {
		return verdict.New(verdict.NotRun, verdict.ReasonStopping, "this node is stopping").WithRetryAfter(retryElsewhereAfter)
	}
	if s.open.Load() > int64(s.options.Limits.OpenRequests) {
		return verdict.New(verdict.NotRun, verdict.ReasonBusy, "too many open requests").WithRetryAfter(retryElsewhereAfter)
	}
	workspace, err := s.authenticate(r)
	if err != nil {
		return err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	return h(w, r, body, workspace)
}

// refuseAll returns a handler that refuses every request for the given reason.
func (s *Server) refuseAll(reason verdict.Reason, field, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := verdict.New(verdict.NotRun, reason, "%s: %s %s", detail, r.Method, r.URL.Path).WithField(field)
		s.metrics.countError(err)
		writeError(w, err)
	})
}

// detachedContext returns a context for work that must go on after the caller has hung up.
func detachedContext(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }
