package router

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// beginMessage starts a placement request. The reply is nil if it may be placed; its channel has room for one.
type beginMessage struct {
	token uint64
	stop  context.CancelFunc
	reply chan<- *message.Refusal
}

func (m beginMessage) apply(r *Server) {
	switch q, known := r.pending[m.token]; {
	case known && q.cancelled:
		m.reply <- &message.Refusal{Reason: verdict.ReasonCancelled, Detail: "the request was withdrawn"}
	case known || len(r.pending) >= maxPending:
		m.reply <- &message.Refusal{Reason: verdict.ReasonBusy, Detail: "too many placements", RetryAfter: time.Second}
	default:
		r.pending[m.token] = &pendingPlacement{stop: m.stop}
		m.reply <- nil
	}
}
