package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// placer is the sessions' client of the dispatcher task.
type placer struct {
	messages mailbox.Mailbox[dispatcherMessage]
}

// place requests an endpoint and waits for the reply until ctx ends. If ctx ends first, an endpoint that is granted later
// is released.
func (p placer) place(ctx context.Context, m placeMessage) (placeReply, error) {
	reply := make(chan placeReply, 1)
	m.reply, m.callerGone = reply, ctx.Done()
	until := m.waitUntil
	if m.held != nil && m.held.HoldUntil.After(until) {
		until = m.held.HoldUntil
	}
	if err := p.messages.Send(ctx, m); err != nil {
		return placeReply{}, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		go p.releaseAbandoned(reply, until)
		return placeReply{}, ctx.Err()
	}
}

// underMemoryPressure reports whether the engines of a service have too little free memory for standby copies.
func (p placer) underMemoryPressure(ctx context.Context, service string) bool {
	short, err := mailbox.Call(ctx, p.messages, func(reply chan<- bool) dispatcherMessage {
		return memoryPressureMessage{service: service, reply: reply}
	})
	return err == nil && short
}

// checkReservation returns whether a run that was placed earlier may be sent now.
func (p placer) checkReservation(ctx context.Context, run uint64) (dispatch.Reservation, error) {
	return mailbox.Call(ctx, p.messages, func(reply chan<- dispatch.Reservation) dispatcherMessage {
		return reservationMessage{run: run, reply: reply}
	})
}

// releaseAbandoned waits for the reply to an abandoned request and releases the endpoint that it grants.
func (p placer) releaseAbandoned(reply <-chan placeReply, until time.Time) {
	timer := time.NewTimer(time.Until(until) + time.Second)
	defer timer.Stop()
	select {
	case r := <-reply:
		if r.refusal == "" {
			p.release(r.placement.Run, dispatch.Cancelled)
		}
	case <-timer.C:
	}
}

// reportFirstEvent reports that the first event of a run has arrived.
func (p placer) reportFirstEvent(run uint64) {
	_ = p.messages.Send(context.Background(), firstEventMessage{run: run})
}

// reportMeasurement reports the times that were measured of a run.
func (p placer) reportMeasurement(run uint64, m dispatch.Measurement) {
	_ = p.messages.Send(context.Background(), measurementMessage{run: run, measurement: m})
}

// reportStatement reports what an endpoint says about itself in the answer to a request that was sent at sentAt.
func (p placer) reportStatement(e fleet.Endpoint, statement exchange.Statement, sentAt time.Time) {
	_ = p.messages.Send(context.Background(), endpointStatementMessage{endpoint: e, statement: statement, sentAt: sentAt})
}

// reportEnd reports that the process of an endpoint has ended, unless ctx ends first.
func (p placer) reportEnd(ctx context.Context, e fleet.Endpoint) {
	_ = p.messages.Send(ctx, endpointEndMessage{endpoint: e})
}

// reportRateRefusal reports that no owner of an endpoint's budget granted a request.
func (p placer) reportRateRefusal(m rateRefusalMessage) { _ = p.messages.Send(context.Background(), m) }

// release ends a run.
func (p placer) release(run uint64, o dispatch.Outcome) {
	_ = p.messages.Send(context.Background(), releaseMessage{run: run, outcome: o})
}
