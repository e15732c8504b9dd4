package edge

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// explainQuery is a request to be explained, as read from the query of a URL.
type explainQuery struct {
	host, path, workspace               string
	promptTokens, maxTokens, lengthHint int
	priority                            int
	hasPriority                         bool
}

// newExplainQuery reads a query. The error is for the caller.
func newExplainQuery(values url.Values) (explainQuery, *explainError) {
	q := explainQuery{
		host: values.Get("host"), path: values.Get("path"), workspace: values.Get("workspace"), hasPriority: values.Has("priority"),
	}
	for name, target := range map[string]*int{
		"prompt_tokens": &q.promptTokens, "max_tokens": &q.maxTokens, "length_hint": &q.lengthHint, "priority": &q.priority,
	} {
		if !values.Has(name) {
			continue
		}
		n, err := strconv.ParseInt(values.Get(name), 10, 32)
		if err != nil || n < 0 {
			return q, newExplainError(http.StatusBadRequest, "%s must be a number that is not negative", name)
		}
		*target = int(n)
	}
	return q, nil
}

// session returns the session that such a request would have after its admission.
func (q explainQuery) session(s *Server) (*session, *explainError) {
	session := &session{server: s, cluster: s.cluster.Load(), request: &exchange.Request{
		Host: q.host, URL: &url.URL{Path: q.path}, Received: time.Now(),
		PromptTokens: q.promptTokens, MaxTokens: q.maxTokens, LengthHint: q.lengthHint,
	}}
	c := session.cluster.Fleet.Configuration
	if c == nil {
		return nil, newExplainError(http.StatusServiceUnavailable, "no configuration has been read")
	}
	if session.route = c.Route(q.host, q.path); session.route == nil {
		return nil, newExplainError(http.StatusNotFound, "no route for %s %s in configuration version %d", q.host, q.path, c.Version)
	}
	if q.workspace != "" {
		if session.workspace = workspaceByName(c, q.workspace); session.workspace == nil {
			return nil, newExplainError(http.StatusNotFound, "no workspace %s with a key in configuration version %d", q.workspace, c.Version)
		}
	}
	session.setDeadline()
	session.service = session.route.Service(xxh3.HashString(session.request.ID))
	return session, nil
}

// held returns the request as the dispatcher places it.
func (q explainQuery) held(s *session) dispatch.HeldRequest {
	r := s.placement()
	if q.hasPriority {
		r.Priority = q.priority
	}
	waitUntil := s.request.Received.Add(s.route.FirstByteObjective / waitDivisor)
	if waitUntil.After(s.deadline) {
		waitUntil = s.deadline
	}
	return *s.heldRequest(r, waitUntil)
}

func workspaceByName(c *catalog.Configuration, name string) *catalog.Workspace {
	for _, w := range c.Keys {
		if w.Name == name {
			return w
		}
	}
	return nil
}
