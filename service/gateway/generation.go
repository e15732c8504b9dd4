package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/quarantine"
)

// serveGeneration serves a completion request, or reattaches the caller to a generation when the request carries an event id.
func (s *Server) serveGeneration(w http.ResponseWriter, r *http.Request, body []byte, workspace string) *verdict.Error {
	if r.Header.Get(headerLastEventID) != "" {
		return s.serveReattach(w, r, workspace)
	}
	request, err := parseGenerationRequest(body)
	if err != nil {
		return err
	}
	snapshot := s.Config.Load()
	serviceName, ok := snapshot.ServiceOfModel(request.model)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownModel, "no service offers the model %q", request.model).
			WithField("model")
	}
	session := &session{callerRequest: s.newCallerRequest(snapshot, workspace, serviceName), path: r.URL.Path, request: request}
	session.fingerprint = quarantine.RequestFingerprint(request.body, workspace, r.URL.Path)
	if request.stream {
		session.writer = newStreamWriter(w, request.includeUsage)
		session.resumeWindow = resumeWindow(r)
	} else {
		session.writer = newBufferedWriter(w, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	}
	return session.run(r.Context(), detachedContext(r))
}

// workspaceOrDefault returns w, or a workspace without limits when w is nil because it was deleted after authentication.
func workspaceOrDefault(w *config.Workspace) *config.Workspace {
	if w == nil {
		return &config.Workspace{}
	}
	return w
}

// requestIDBytes is the length of a request id before its encoding in hexadecimal.
const requestIDBytes = 12

// newRequestID returns a random id. It must not be predictable, because the id of the generation at the endpoint contains it.
func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
