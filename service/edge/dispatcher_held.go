package edge

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// hold adds a request to the queue of those that wait for room, which may place it at once.
func (d *dispatcher) hold(now time.Time, m placeMessage) {
	m.held.Request = m.request
	d.held[m.held] = m
	d.answerHeld(now, d.queue.Offer(now, m.held))
}

// scanHeld tries to place the requests that wait for room.
func (d *dispatcher) scanHeld(now time.Time) {
	if len(d.held) > 0 {
		d.answerHeld(now, d.queue.Scan(now, d.dropGone))
	}
}

// dropGone drops a request whose caller is gone, and reports whether it did.
func (d *dispatcher) dropGone(h *dispatch.HeldRequest) bool {
	m := d.held[h]
	if !m.isGone() {
		return false
	}
	delete(d.held, h)
	d.metrics.countRefusal(dispatch.CallerGone)
	m.drop()
	return true
}

// answerHeld answers the requests that wait no longer.
func (d *dispatcher) answerHeld(now time.Time, decisions []dispatch.Decision) {
	for _, decision := range decisions {
		m := d.held[decision.Held]
		delete(d.held, decision.Held)
		d.answer(m, decision.Placement, decision.Refusal, decision.RetryAfter)
		held := now.Sub(decision.Held.HeldSince)
		d.metrics.recordDecision(decision, held)
		if held > 0 || decision.Refusal != "" {
			d.logDecision(now, m, decision, held)
		}
	}
}

// logDecision logs the end of a wait with the figures that it depended on.
func (d *dispatcher) logDecision(now time.Time, m placeMessage, decision dispatch.Decision, held time.Duration) {
	h := decision.Held
	d.log.Info("wait for room ended", zap.String("request", m.id), zap.String("service", h.Request.Service),
		zap.String("workspace", h.Workspace), zap.Int("priority", h.Priority), zap.Bool("late", h.IsLate(now)),
		zap.Duration("held", held), zap.Duration("left", h.HoldUntil.Sub(now)), zap.String("endpoint", decision.Placement.Endpoint.ID),
		zap.String("refusal", string(decision.Refusal)), zap.Duration("retry_after", decision.RetryAfter), zap.Bool("without_limits", h.Request.WithoutLimits),
		zap.Int("prompt_tokens", h.Request.PromptTokens), zap.Int("tokens", h.Request.Tokens), zap.Int("prefill", decision.Placement.Prefill),
		zap.Int("contenders", h.Request.Contenders), zap.Int("more_urgent", h.Request.MoreUrgent.Requests()),
		zap.Int("waiting", d.queue.Len()), zap.Float64("reserve", d.table.Reserves(now)[h.Request.Service]))
}
