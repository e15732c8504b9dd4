package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// newOrderedDispatcher returns a dispatcher with ordered admission and one engine with memory for 10,000 tokens.
func newOrderedDispatcher() *dispatcher {
	p := dispatch.Params{RetryWindow: time.Second, OrderedAdmission: true}
	state := &clusterState{Fleet: engineSnapshot([]string{"a"})}
	d := newDispatcher(zap.NewNop(), p, latest.New(state))
	d.applyState(state)
	return d
}

// offer sends a request to the dispatcher that may wait for hold, and whose deadline is twice as far away.
func offer(d *dispatcher, priority, tokens int, hold time.Duration) chan placeReply {
	reply, now := make(chan placeReply, 1), time.Now()
	held := &dispatch.HeldRequest{WaitUntil: now}
	held.Priority, held.Arrived, held.Deadline, held.HoldUntil = priority, now, now.Add(2*hold), now.Add(hold)
	m := placeMessage{
		request:  dispatch.Request{Service: "s", PromptTokens: 70, Tokens: tokens, Priority: priority},
		priority: priority, waitUntil: now, reply: reply, leaving: make(chan departure, 2), held: held,
	}
	m.apply(d)
	return reply
}

// Guards against requests that wait inside an engine, and against a less urgent one that is placed before a more urgent one.
func TestRequestsWaitAtTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newOrderedDispatcher()
		running := <-offer(d, 2, 9000, time.Second)
		long, urgent, small := offer(d, 2, 6000, 4*time.Second), offer(d, 0, 6000, 4*time.Second), offer(d, 2, 500, 4*time.Second)
		assert.Equal(t, len(long)+len(urgent)+len(small), 0)
		releaseMessage{run: running.placement.Run, outcome: dispatch.Succeeded}.apply(d)
		assert.Equal(t, len(urgent), 1)
		assert.Equal(t, len(small), 1)
		assert.Equal(t, len(long), 0)
		// At the end of its time the request is sent although its memory does not fit.
		time.Sleep(4 * time.Second)
		d.retryWaiting()
		assert.Equal(t, (<-long).refusal, dispatch.Refusal(""))
	})
}

// Guards against a request that stays held while its node stops.
func TestStoppingNodeHoldsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newOrderedDispatcher()
		<-offer(d, 0, 9000, time.Second)
		held := offer(d, 0, 6000, 4*time.Second)
		assert.Equal(t, len(held), 0)
		stoppingMessage{}.apply(d)
		assert.Equal(t, len(held), 1)
	})
}

// Guards against requests that are held beyond their time because frequent messages postpone every scan.
func TestMessagesDoNotPostponeScans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newOrderedDispatcher()
		running := <-offer(d, 0, 9000, time.Second)
		held := offer(d, 0, 6000, time.Second)
		assert.Equal(t, len(held), 0)
		go d.run(ctx)
		for range 110 {
			time.Sleep(10 * time.Millisecond)
			d.messages.TrySend(measurementMessage{run: running.placement.Run})
		}
		assert.Equal(t, len(held), 1)
	})
}

// Guards against tasks that wait for the reply to a request that was dropped because its caller left.
func TestDroppedRequestsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newOrderedDispatcher()
		<-offer(d, 0, 9000, time.Second)
		reply, gone := offer(d, 0, 6000, 4*time.Second), make(chan struct{})
		close(gone)
		for h, m := range d.held {
			m.callerGone = gone
			d.held[h] = m
		}
		d.retryWaiting()
		assert.Equal(t, len(d.held), 0)
		assert.Equal(t, len(reply), 1)
		assert.Equal(t, (<-reply).refusal, dispatch.CallerGone)
	})
}
