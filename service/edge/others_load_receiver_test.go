package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/gather"
)

// Guards against a dispatcher that keeps the load of an endpoint after the message with the change was dropped, and against
// one that keeps the loads of a relay that no longer counts.
func TestDispatcherGetsAllLoadsAfterALostMessage(t *testing.T) {
	messages := mailbox.New[dispatcherMessage](1)
	r := newOthersLoadReceiver(messages)
	received := func() othersLoadMessage {
		t.Helper()
		select {
		case m := <-messages.Receive():
			return m.(othersLoadMessage)
		default:
			t.Fatal("no message")
			return othersLoadMessage{}
		}
	}
	x := func(tokens int) dispatch.Load { return dispatch.Load{Endpoint: "x", Tokens: tokens} }
	y := dispatch.Load{Endpoint: "y", InFlight: 1}
	now := time.Unix(100, 0)
	r.apply(now, 0, gather.Update{Epoch: 1, Seq: 1, Full: true, Loads: []dispatch.Load{x(1), y}}, true)
	m := received()
	assert.Assert(t, m.complete)
	assert.DeepEqual(t, m.loads, []dispatch.Load{x(1), y})
	r.apply(now, 0, gather.Update{Epoch: 1, Seq: 2, Loads: []dispatch.Load{x(2)}}, true)
	r.apply(now, 0, gather.Update{Epoch: 1, Seq: 3, Loads: []dispatch.Load{{Endpoint: "y"}}}, true)
	m = received()
	assert.Assert(t, !m.complete)
	assert.DeepEqual(t, m.loads, []dispatch.Load{x(2)})
	r.apply(now, 0, gather.Update{Epoch: 1, Seq: 4, Loads: []dispatch.Load{x(3)}}, true)
	m = received()
	assert.Assert(t, m.complete)
	assert.DeepEqual(t, m.loads, []dispatch.Load{x(3)})
	// Two nodes may both take themselves for the primary relay while the entry of one of them spreads.
	r.apply(now, 0, gather.Update{Epoch: 2, Seq: 1, Loads: []dispatch.Load{y}}, true)
	m = received()
	assert.Assert(t, m.complete)
	assert.DeepEqual(t, m.loads, []dispatch.Load{y})
	r.apply(now, 1, gather.Update{Epoch: 9, Seq: 1, Full: true, Loads: []dispatch.Load{x(7)}}, false)
	assert.Equal(t, len(messages.Receive()), 0)
	r.apply(now, 1, gather.Update{Epoch: 9, Seq: 2, Loads: []dispatch.Load{x(8)}}, true)
	m = received()
	assert.Assert(t, m.complete)
	assert.DeepEqual(t, m.loads, []dispatch.Load{x(8)})
}
