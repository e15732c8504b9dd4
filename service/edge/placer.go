package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// placer is how sessions reach the dispatcher.
type placer struct {
	messages mailbox.Mailbox[dispatcherMessage]
}

// place asks for an endpoint and waits for the answer, at most until the request's own limit. A caller that leaves while
// the answer is on its way gives the endpoint back.
func (p placer) place(ctx context.Context, m placeMessage) (dispatch.Placed, dispatch.Refusal, error) {
	reply := make(chan placeReply, 1)
	m.reply, m.gone = reply, ctx.Done()
	if err := p.messages.Send(ctx, m); err != nil {
		return dispatch.Placed{}, "", err
	}
	select {
	case r := <-reply:
		return r.placed, r.refusal, nil
	case <-ctx.Done():
		go p.giveBack(reply, m.until)
		return dispatch.Placed{}, "", ctx.Err()
	}
}

// crowded asks whether the engines of a service have no memory to spare for copies.
func (p placer) crowded(ctx context.Context, service string) bool {
	crowded, err := mailbox.Call(ctx, p.messages, func(reply chan<- bool) dispatcherMessage {
		return crowdedMessage{service: service, reply: reply}
	})
	return err == nil && crowded
}

// giveBack releases an endpoint that was granted to a caller that had left.
func (p placer) giveBack(reply <-chan placeReply, until time.Time) {
	timer := time.NewTimer(time.Until(until) + time.Second)
	defer timer.Stop()
	select {
	case r := <-reply:
		if r.refusal == "" {
			p.release(r.placed.Run, dispatch.Cancelled)
		}
	case <-timer.C:
	}
}

// began says that the first event of a run has arrived.
func (p placer) began(run uint64) {
	_ = p.messages.Send(context.Background(), beganMessage{run: run})
}

// release ends a run.
func (p placer) release(run uint64, o dispatch.Outcome) {
	_ = p.messages.Send(context.Background(), releaseMessage{run: run, outcome: o})
}
