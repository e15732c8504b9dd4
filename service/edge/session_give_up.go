package edge

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// giveUp tells an endpoint to stop its work on the request, which it may go on with although the connection was closed. The request may be
// sent to another endpoint meanwhile.
func (s *session) giveUp(ctx context.Context, endpoint fleet.Endpoint) {
	if !s.canMove() {
		return
	}
	target, ok := s.otherEndpoint(endpoint)
	if !ok {
		return
	}
	s.log(zap.InfoLevel, "run given up", zap.String("endpoint", endpoint.ID))
	stop := s.newRunStop(endpoint, target)
	s.stops = append(s.stops, stop)
	go stop.run(context.WithoutCancel(ctx))
}

// isStopping reports whether an endpoint has not confirmed yet that it stopped a run of the request. The call that stops it names the
// request only, so it would stop a later run there, too.
func (s *session) isStopping(endpoint string) bool {
	for _, stop := range s.stops {
		if stop.endpoint.ID == endpoint && !stop.hasEnded() {
			return true
		}
	}
	return false
}

// otherEndpoint returns another endpoint of the service, if possible one that is not leaving. The call that stops a run has to name one.
func (s *session) otherEndpoint(endpoint fleet.Endpoint) (other fleet.Endpoint, found bool) {
	listed := s.server.cluster.Load().Fleet.Endpoints[s.service]
	for _, i := range rand.Perm(len(listed)) {
		e := listed[i]
		switch {
		case e.Address == endpoint.Address:
		case !e.Leaving:
			return e, true
		default:
			other, found = e, true
		}
	}
	return other, found
}

// canMove reports whether the endpoints of the service can copy the memory of runs, and so stop a run on request.
func (s *session) canMove() bool {
	service := s.cluster.Fleet.Configuration.Services[s.service]
	return s.request.PromptTokens > 0 && service != nil && service.Engine != nil && service.Engine.SupportsMoves
}
