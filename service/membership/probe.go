package membership

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// probeNext starts the next scheduled probe.
func (a *Agent) probeNext() {
	target, ok := a.view.NextProbe(time.Now())
	if !ok {
		return
	}
	m := a.view.Message(target.ID)
	helpers := a.view.RandomMembers(helperCount, target.ID)
	a.startCall(func(ctx context.Context) { a.probe(ctx, target, m, helpers) })
}

// probe probes the target directly and, if that fails, through the helpers. It sends the result to the task.
func (a *Agent) probe(ctx context.Context, target membership.Target, m membership.Message, helpers []membership.Target) {
	result := probeResultMessage{target: target}
	direct, cancel := context.WithTimeout(ctx, a.options.ProbeTimeout)
	answer, err := a.transport.Probe(direct, target.Address, m)
	cancel()
	if err == nil {
		result.answer = &answer
	} else if target.ID != "" {
		result.indirect = a.probeIndirectly(ctx, target, helpers)
	}
	_ = a.messages.Send(ctx, result)
}

// probeIndirectly asks the helpers to probe the target, and reports whether the target answered one of them.
func (a *Agent) probeIndirectly(ctx context.Context, target membership.Target, helpers []membership.Target) bool {
	// A helper probes the target with the same timeout, so its answer takes longer than one probe.
	ctx, cancel := context.WithTimeout(ctx, 2*a.options.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			ok, err := a.transport.Indirect(ctx, h.Address, target)
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
func (a *Agent) sync(ctx context.Context, address string, r membership.SyncRequest) {
	call, cancel := context.WithTimeout(ctx, 2*a.options.ProbeTimeout)
	defer cancel()
	reply, err := a.transport.Sync(call, address, r)
	if err == nil {
		_ = a.messages.Send(ctx, syncReplyMessage{address: address, reply: reply})
	}
}
