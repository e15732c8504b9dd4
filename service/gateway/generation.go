package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
)

// serveGeneration serves a completion request of a model.
func (s *Server) serveGeneration(w http.ResponseWriter, r *http.Request, body []byte, workspace string) *verdict.Error {
	request, err := parseGenerationRequest(body)
	if err != nil {
		return err
	}
	snapshot := s.config.Load()
	serviceName, ok := snapshot.ServiceOfModel(request.model)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownModel, "no service offers the model %q", request.model).
			WithField("model")
	}
	id := newRequestID()
	var writer answerWriter
	if request.stream {
		writer = newStreamWriter(w, id, request.includeUsage)
	} else {
		writer = newWholeWriter(w, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	}
	session := &session{
		server: s, id: id, workspaceName: workspace, serviceName: serviceName, path: r.URL.Path,
		workspace: orDefault(snapshot.Workspace(workspace)), service: snapshot.Service(serviceName),
		request: request, writer: writer, verdict: verdict.NotRun,
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
