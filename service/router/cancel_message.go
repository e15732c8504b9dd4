package router

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// cancelMessage withdraws a placement request. The reply is the grant that must be returned, or nil; its channel has room for one.
type cancelMessage struct {
	token uint64
	reply chan<- *message.Grant
}

func (m cancelMessage) apply(r *Server) {
	q := r.pending[m.token]
	if q == nil {
		// The placement request may still arrive on the old link.
		q = &pendingPlacement{}
		if len(r.pending) < maxPending {
			r.pending[m.token] = q
		}
	}
	q.cancelled, q.forgetAt = true, time.Now().Add(rememberFor)
	if q.stop != nil {
		q.stop()
	}
	// The grant stays known, since the caller repeats the message if the grant could not be returned.
	m.reply <- q.grant
}
