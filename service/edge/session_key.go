package edge

import "azuredyke.dev/azuredyke/common/verdict"

// checkKey checks before an attempt that the request's key still belongs to the workspace for which the attempt runs. An attempt that starts
// over needs state as recent as a new request does. A run that has begun goes on without: its key was valid when it began, and otherwise a
// loss of the store would end all streams whose engines leave.
func (s *session) checkKey(startsOver bool) error {
	c := s.server.cluster.Load().Fleet.Configuration
	if s.workspace == nil || c == nil || c.NeedsNoKeys {
		return nil
	}
	if age := s.server.stateAge(); startsOver && age > s.server.revokeBound()-revokeMargin {
		return s.staleError(age)
	}
	workspace, ok := c.Workspace(s.request.APIKey)
	switch {
	case !ok:
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the API key is no longer valid in configuration version %d", c.Version)
	case workspace.Name != s.workspace.Name:
		return movedKeyError()
	}
	return nil
}

// movedKeyError returns the error for a request whose key has moved to another workspace. Its caller sent it for the workspace that held the
// key then.
func movedKeyError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonStale, "the API key moved to another workspace after the request was accepted").
		WithRetryAfter(minRetryAfter)
}
