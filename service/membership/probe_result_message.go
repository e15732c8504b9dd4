package membership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/decision/membership"
)

// probeResultMessage is the result of a probe that this node started.
type probeResultMessage struct {
	target membership.Target
	// answer is set if the target answered directly; indirect is set if the target answered a helper.
	answer   *membership.Message
	indirect bool
}

func (m probeResultMessage) apply(t *Agent) {
	now := time.Now()
	if m.answer == nil {
		if m.indirect {
			t.view.RecordAnswer(now)
			return
		}
		t.view.RecordFailure(now, m.target.ID)
		t.log.Debug("member answered neither direct nor indirect probes", zap.String("node", m.target.ID), zap.String("address", m.target.Address))
		return
	}
	t.view.RecordAnswer(now)
	t.urgent = t.view.Receive(now, *m.answer) || t.urgent
	if m.target.ID != "" && m.target.ID != m.answer.From {
		// Another node uses the address of the target now.
		t.view.RecordFailure(now, m.target.ID)
	}
	if t.view.StartSyncIfDue(now, *m.answer) {
		request := t.view.SyncRequest()
		t.startCall(func(ctx context.Context) { t.sync(ctx, m.target.Address, request) })
	}
}
