package gateway

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"azuredyke.dev/azuredyke/common/contenthash"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/transport/engine"
)

// headerIdempotencyKey carries the caller's idempotency key for a request that may not be repeated.
const headerIdempotencyKey = "Idempotency-Key"

// hopHeaders are the headers that are not forwarded: those of a single connection, and the caller's credentials.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Authorization", "Content-Length",
}

// servePlain serves a request to a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, body []byte, workspace string) *verdict.Error {
	name := mux.Vars(r)["service"]
	snapshot := s.Config.Load()
	service := snapshot.Service(name)
	if service == nil || service.Type != config.ServiceTypePlain {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownService, "there is no plain service %q", name).
			WithField("service")
	}
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	if path == "" {
		path = "/"
	}
	call := &plainCall{
		callerRequest: s.newCallerRequest(snapshot, workspace, name), method: r.Method, path: path, query: r.URL.RawQuery,
		header: forwardedHeaders(r.Header), body: body, repeatable: service.Repeatable(r.Method, path),
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
	}
	call.requestHash = contenthash.Sum(body, workspace, name, r.Method, path, r.URL.RawQuery)
	call.fingerprint = quarantine.RequestFingerprint(body, workspace, name, r.Method, path, r.URL.RawQuery)
	answer, verr := call.run(r.Context(), detachedContext(r))
	if verr != nil {
		return verr
	}
	writeAnswer(w, answer)
	return nil
}

// forwardedHeaders returns the headers that are forwarded to the endpoint.
func forwardedHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// writeAnswer writes the answer of a plain service to the caller.
func writeAnswer(w http.ResponseWriter, a engine.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	for _, name := range hopHeaders {
		w.Header().Del(name)
	}
	w.Header().Set(verdict.Header, verdict.Ran.String())
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// failureOf returns the engine.Failure in the chain of err. Without one, it returns a failure of a request that was sent.
func failureOf(err error) *engine.Failure {
	var f *engine.Failure
	if errors.As(err, &f) {
		return f
	}
	return &engine.Failure{Sent: true, Err: err}
}
