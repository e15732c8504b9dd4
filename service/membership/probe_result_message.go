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

func (m probeResultMessage) apply(a *Agent) {
	now := time.Now()
	if m.answer == nil {
		if m.indirect {
			a.view.RecordAnswer(now)
			return
		}
		a.view.RecordFailure(now, m.target.ID)
		a.log.Debug("member answered neither direct nor indirect probes",
			zap.String("node", m.target.ID), zap.String("address", m.target.Address))
		return
	}
	a.view.RecordAnswer(now)
	a.urgent = a.view.Receive(now, *m.answer) || a.urgent
	if m.target.ID != "" && m.target.ID != m.answer.From {
		// Another node uses the address of the target now.
		a.view.RecordFailure(now, m.target.ID)
	}
	if a.view.StartSyncIfDue(now, *m.answer) {
		request := a.view.SyncRequest()
		a.startCall(func(ctx context.Context) { a.sync(ctx, m.target.Address, request) })
	}
}
