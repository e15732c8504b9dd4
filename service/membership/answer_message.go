package membership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/decision/membership"
)

// answerMessage is the result of a probe that this node started.
type answerMessage struct {
	target membership.Target
	// answer is set when the target answered directly; indirect says that it answered another member.
	answer   *membership.Message
	indirect bool
}

func (m answerMessage) apply(t *Task) {
	now := time.Now()
	if m.answer == nil {
		if m.indirect {
			t.view.Answered(now)
			return
		}
		t.view.Failed(now, m.target.ID)
		t.log.Debug("member did not answer", zap.String("node", m.target.ID), zap.String("address", m.target.Address))
		return
	}
	t.view.Answered(now)
	t.urgent = t.view.Receive(now, *m.answer) || t.urgent
	if m.target.ID != "" && m.target.ID != m.answer.From {
		// Another node has the address now.
		t.view.Failed(now, m.target.ID)
	}
	if t.view.SyncDue(now, *m.answer) {
		request := t.view.SyncRequest()
		t.start(func(ctx context.Context) { t.sync(ctx, m.target.Address, request) })
	}
}
