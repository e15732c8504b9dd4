package gateway

import (
	"net/http"
	"strings"

	"azuredyke.dev/azuredyke/common/keyhash"
	"azuredyke.dev/azuredyke/common/verdict"
)

// authenticate returns the name of the workspace that the bearer key of the request belongs to.
func (s *Server) authenticate(r *http.Request) (string, *verdict.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", verdict.New(verdict.NotRun, verdict.ReasonUnauthorized,
			"the header Authorization must carry a workspace key").WithField("Authorization")
	}
	workspace, ok := s.Config.Load().WorkspaceOfKey(keyhash.Of(key))
	if !ok {
		return "", verdict.New(verdict.NotRun, verdict.ReasonUnauthorized,
			"the workspace key is not known").WithField("Authorization")
	}
	return workspace, nil
}
