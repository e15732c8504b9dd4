package edge

import (
	"time"

	"github.com/zeebo/xxh3"

	"azuredyke.dev/azuredyke/common/verdict"
)

// admit finds the route and checks the API key, both in the same version of the configuration.
func (s *session) admit() *verdict.Error {
	s.cluster = s.server.cluster.Load()
	c := s.cluster.Fleet.Configuration
	if c == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNoConfiguration, "no configuration has been read").WithRetryAfter(minRetryAfter)
	}
	age := s.server.stateAge()
	stale := age > s.server.revokeBound()-revokeMargin
	route := c.Route(s.request.Host, s.request.URL.Path)
	if route == nil {
		if stale {
			return s.staleError(age)
		}
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownPath, "no route for %s %s in configuration version %d", s.request.Host, s.request.URL.Path, c.Version)
	}
	// A request that is checked again keeps its route until there is another one.
	s.route = route
	s.setDeadline()
	if !c.NeedsNoKeys && !s.route.Public {
		if stale {
			return s.staleError(age)
		}
		var ok bool
		if s.workspace, ok = c.Workspace(s.request.APIKey); !ok {
			return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "unknown API key in configuration version %d", c.Version)
		}
	}
	if err := s.checkStop(); err != nil {
		return err
	}
	s.service = s.route.Service(xxh3.HashString(s.request.ID))
	return nil
}

// staleError returns the error for a request whose key may have been revoked without the node's knowledge.
func (s *session) staleError(age time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonStale, "the configuration was last confirmed %v ago", age.Round(time.Millisecond)).
		WithRetryAfter(minRetryAfter)
}

// setDeadline sets the deadline to the earliest of the caller's deadline, the route's timeout and maxRequestTime.
func (s *session) setDeadline() {
	limit := maxRequestTime
	if s.route.Timeout > 0 {
		limit = min(limit, s.route.Timeout)
	}
	s.deadline = s.request.Received.Add(limit)
	if d := s.request.Deadline; !d.IsZero() && d.Before(s.deadline) {
		s.deadline = d
	}
}
