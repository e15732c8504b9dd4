package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Guards against an endpoint that counts as slow, or as fast, because a caller stopped reading: the pause and the events that
// arrived meanwhile must not be measured.
func TestRunTimerIgnoresPausesOfTheCaller(t *testing.T) {
	messages := mailbox.New[dispatcherMessage](64)
	sent := time.Unix(1000, 0)
	timer := runTimer{}
	timer.start(&upstream{placement: dispatch.Placement{Run: 7, BySpeed: true}, placer: placer{messages: messages}, sentAt: sent}, false)
	at := sent.Add(300 * time.Millisecond)
	for i := range 60 {
		late := i == 20
		switch {
		case late:
			at = at.Add(3 * time.Second)
		case i > 20 && i < 40:
			at = at.Add(10 * time.Microsecond)
		default:
			at = at.Add(50 * time.Millisecond)
		}
		timer.observe(streamItem{readAt: at, late: late})
	}
	timer.report()
	first := (<-messages.Receive()).(measurementMessage)
	assert.Equal(t, first.measurement.FirstEvent, 350*time.Millisecond)
	for len(messages.Receive()) > 0 {
		m := (<-messages.Receive()).(measurementMessage)
		assert.Equal(t, m.run, uint64(7))
		assert.Equal(t, m.measurement.Elapsed, time.Duration(m.measurement.Events)*50*time.Millisecond)
	}
}

// Guards against messages of measurements on nodes that do not choose endpoints by speed.
func TestNothingIsMeasuredWithoutEndpointSpeed(t *testing.T) {
	messages := mailbox.New[dispatcherMessage](64)
	up := &upstream{placer: placer{messages: messages}, answer: &exchange.Answer{Status: 200}}
	up.measureAnswer(true, time.Second)
	timer := runTimer{}
	timer.start(up, false)
	for i := range 60 {
		timer.observe(streamItem{readAt: time.Unix(1000, 0).Add(time.Duration(i) * 50 * time.Millisecond)})
	}
	timer.report()
	assert.Equal(t, len(messages.Receive()), 0)
	// What an endpoint states is reported, so that the dispatcher learns that the endpoints of the service state their speed.
	up.answer.Load.Slowdown = 2
	up.measureAnswer(true, time.Second)
	assert.DeepEqual(t, (<-messages.Receive()).(measurementMessage).measurement, dispatch.Measurement{State: 2})
	assert.Assert(t, !dispatchParams(settings.Edge{}).EndpointSpeed)
	assert.Assert(t, dispatchParams(settings.Edge{Features: settings.Features{EndpointSpeed: true}}).EndpointSpeed)
}
