package router

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// settleMessage records the result of a placement request. The reply is true if the caller may use the grant. The reply
// channel needs a buffer of one.
type settleMessage struct {
	token uint64
	grant *message.Grant
	// abandoned is set if the caller gave up, or its link ended, before the placement was decided.
	abandoned bool
	keep      chan<- bool
}

func (m settleMessage) apply(s *Server) {
	p := s.placements[m.token]
	switch {
	case p == nil || m.grant == nil && !p.cancelled:
		delete(s.placements, m.token)
		m.keep <- true
	case p.cancelled:
		m.keep <- false
	case m.abandoned:
		p.cancelled, p.expiresAt = true, time.Now().Add(placementRetention)
		m.keep <- false
	default:
		p.grant, p.expiresAt = m.grant, time.Now().Add(placementRetention)
		m.keep <- true
	}
}
