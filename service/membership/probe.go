package membership

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// probeNext starts the next scheduled probe.
func (t *Agent) probeNext() {
	target, ok := t.view.NextProbe(time.Now())
	if !ok {
		return
	}
	m := t.view.Message(target.ID)
	helpers := t.view.RandomMembers(helperCount, target.ID)
	t.startCall(func(ctx context.Context) { t.probe(ctx, target, m, helpers) })
}

// probe probes the target directly and, if that fails, through the helpers. It sends the result to the task.
func (t *Agent) probe(ctx context.Context, target membership.Target, m membership.Message, helpers []membership.Target) {
	result := probeResultMessage{target: target}
	direct, cancel := context.WithTimeout(ctx, t.options.ProbeTimeout)
	answer, err := t.transport.Probe(direct, target.Address, m)
	cancel()
	if err == nil {
		result.answer = &answer
	} else if target.ID != "" {
		result.indirect = t.probeIndirectly(ctx, target, helpers)
	}
	_ = t.messages.Send(ctx, result)
}

// probeIndirectly asks the helpers to probe the target, and reports whether the target answered one of them.
func (t *Agent) probeIndirectly(ctx context.Context, target membership.Target, helpers []membership.Target) bool {
	// A helper probes the target with the same timeout, so its answer takes longer than one probe.
	ctx, cancel := context.WithTimeout(ctx, 2*t.options.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			ok, err := t.transport.Indirect(ctx, h.Address, target)
			results <- ok && err == nil
		}()
	}
	reached := false
	for range helpers {
		if reached = <-results || reached; reached {
			cancel()
		}
	}
	return reached
}

// sync starts a full exchange with a member and sends the reply to the task. A failed exchange is not retried here; a
// later probe starts another one.
func (t *Agent) sync(ctx context.Context, address string, r membership.SyncRequest) {
	call, cancel := context.WithTimeout(ctx, 2*t.options.ProbeTimeout)
	defer cancel()
	reply, err := t.transport.Sync(call, address, r)
	if err == nil {
		_ = t.messages.Send(ctx, syncReplyMessage{address: address, reply: reply})
	}
}
