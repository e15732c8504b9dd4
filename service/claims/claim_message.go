package claims

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// claimMessage asks a shard for a claim.
type claimMessage struct {
	ctx     context.Context
	request message.ClaimRequest
	reply   chan<- message.ClaimReply
}

func (m claimMessage) apply(s *Shard) {
	now := time.Now()
	if m.ctx.Err() != nil {
		// The gateway no longer waits, so nothing would settle the claim.
		return
	}
	hold, confirmed := s.currentHold(now)
	switch {
	case !confirmed || hold.Releasing:
		m.reply <- unavailableReply(outageRetryAfter)
		return
	case s.set.Contains(m.request.Key):
	case s.failures > 0:
		m.reply <- unavailableReply(outageRetryAfter)
		return
	case s.set.Queued() >= maxQueuedRecords:
		m.reply <- unavailableReply(busyRetryAfter)
		return
	}
	answer := s.set.Claim(now, m.request)
	if answer.Wait {
		s.waiting[m.request.Key] = append(s.waiting[m.request.Key], m)
		return
	}
	reply := message.ClaimReply{Status: answer.Status, Outcome: answer.Outcome}
	if answer.Status == message.ClaimUnavailable {
		reply.RetryAfter = busyRetryAfter
	}
	m.reply <- reply
}
