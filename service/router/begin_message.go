package router

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// beginMessage registers a placement request. The reply is nil if the request may be placed. The reply channel needs a
// buffer of one.
type beginMessage struct {
	token  uint64
	cancel context.CancelFunc
	reply  chan<- *message.Refusal
}

func (m beginMessage) apply(s *Server) {
	switch p, known := s.placements[m.token]; {
	case known && p.cancelled:
		m.reply <- &message.Refusal{Reason: verdict.ReasonCancelled, Detail: "the request was withdrawn"}
	case known || len(s.placements) >= maxPlacements:
		m.reply <- &message.Refusal{Reason: verdict.ReasonBusy, Detail: "too many placements", RetryAfter: time.Second}
	default:
		s.placements[m.token] = &remotePlacement{cancel: m.cancel}
		m.reply <- nil
	}
}
