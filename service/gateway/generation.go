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

// serveGeneration serves a completion request of a model.
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
	session := &session{work: s.newWork(snapshot, workspace, serviceName), path: r.URL.Path, request: request}
	session.fingerprint = quarantine.Fingerprint(fingerprintOf(request.body, workspace, r.URL.Path))
	if request.stream {
		session.writer = newStreamWriter(w, request.includeUsage)
		session.window = resumeWindow(r)
	} else {
		session.writer = newWholeWriter(w, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	}
	return session.run(r.Context(), background(r))
}

// orDefault returns the workspace, or one without limits when it was deleted since the key was checked.
func orDefault(w *config.Workspace) *config.Workspace {
	if w == nil {
		return &config.Workspace{}
	}
	return w
}

// requestIDBytes is the length of a request id before it is written in hexadecimal.
const requestIDBytes = 12

// newRequestID returns an id that cannot be guessed, since it also names the generation at the endpoint.
func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
