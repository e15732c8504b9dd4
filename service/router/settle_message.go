package router

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// settleMessage ends a placement request. The reply says whether the caller may still use the grant; its channel has room for one.
type settleMessage struct {
	token uint64
	grant *message.Grant
	// abandoned is set when the caller had given up or its link had ended before the placement was decided.
	abandoned bool
	keep      chan<- bool
}

func (m settleMessage) apply(r *Server) {
	q := r.pending[m.token]
	switch {
	case q == nil || m.grant == nil && !q.cancelled:
		delete(r.pending, m.token)
		m.keep <- true
	case q.cancelled:
		m.keep <- false
	case m.abandoned:
		q.cancelled, q.forgetAt = true, time.Now().Add(rememberFor)
		m.keep <- false
	default:
		q.grant, q.forgetAt = m.grant, time.Now().Add(rememberFor)
		m.keep <- true
	}
}
