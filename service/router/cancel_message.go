package router

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// cancelMessage cancels a placement request. The reply is the grant to release, or nil. The reply channel needs a buffer
// of one.
type cancelMessage struct {
	token uint64
	reply chan<- *message.Grant
}

func (m cancelMessage) apply(s *Server) {
	p := s.placements[m.token]
	if p == nil {
		// The placement request may arrive on the old link after its cancellation.
		p = &remotePlacement{}
		if len(s.placements) < maxPlacements {
			s.placements[m.token] = p
		}
	}
	p.cancelled, p.expiresAt = true, time.Now().Add(placementRetention)
	if p.cancel != nil {
		p.cancel()
	}
	// The grant is kept, because the caller sends the cancellation again if the grant could not be released.
	m.reply <- p.grant
}
