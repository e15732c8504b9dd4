package edge

import (
	"context"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// giveUp records that an endpoint may still work on the request although its connection to it was closed.
func (s *session) giveUp(endpoint fleet.Endpoint) {
	if s.canMove() {
		s.givenUp = append(s.givenUp, endpoint)
	}
}

// stopGivenUp stops the runs that were given up, since the request is sent to the next endpoint.
func (s *session) stopGivenUp(ctx context.Context, next fleet.Endpoint) {
	for _, endpoint := range s.givenUp {
		go s.newRunStop(endpoint, next).run(context.WithoutCancel(ctx))
	}
	s.givenUp = nil
}

// canMove reports whether the endpoints of the service can copy the memory of runs, and so stop a run on request.
func (s *session) canMove() bool {
	service := s.cluster.Fleet.Configuration.Services[s.service]
	return s.request.PromptTokens > 0 && service != nil && service.Engine != nil && service.Engine.SupportsMoves
}
