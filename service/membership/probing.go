package membership

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// probeNext starts the next probe of the schedule.
func (t *Task) probeNext() {
	target, ok := t.view.NextProbe(time.Now())
	if !ok {
		return
	}
	m := t.view.Message(target.ID)
	helpers := t.view.Others(helperCount, target.ID)
	t.start(func(ctx context.Context) { t.probe(ctx, target, m, helpers) })
}

// probe sends one probe, first directly and then through other members.
func (t *Task) probe(ctx context.Context, target membership.Target, m membership.Message, helpers []membership.Target) {
	result := answerMessage{target: target}
	direct, cancel := context.WithTimeout(ctx, t.options.ProbeTimeout)
	answer, err := t.transport.Probe(direct, target.Address, m)
	cancel()
	if err == nil {
		result.answer = &answer
	} else if target.ID != "" {
		result.indirect = t.probeThrough(ctx, target, helpers)
	}
	_ = t.messages.Send(ctx, result)
}

// probeThrough reports whether the target answered one of the helpers.
func (t *Task) probeThrough(ctx context.Context, target membership.Target, helpers []membership.Target) bool {
	// A helper waits for its own probe, so it needs more time than one probe.
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

// sync runs a full exchange.
func (t *Task) sync(ctx context.Context, address string, r membership.SyncRequest) {
	call, cancel := context.WithTimeout(ctx, 2*t.options.ProbeTimeout)
	defer cancel()
	reply, err := t.transport.Sync(call, address, r)
	if err == nil {
		_ = t.messages.Send(ctx, syncedMessage{address: address, reply: reply})
	}
}
