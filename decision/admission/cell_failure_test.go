package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against a failed connection freeing a place while the endpoint still runs the request.
func TestFailedGrantStaysChargedUntilANewerReport(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(1)
	g := b.dispatch(full)[0]
	b.event(g.Number, message.GrantStarted, 0)
	b.advance(time.Second)
	b.event(g.Number, message.GrantFailed, 0)
	assert.Equal(t, b.view().InFlight, 1)
	b.advance(100 * time.Millisecond)
	b.report(200 * time.Millisecond)
	assert.Equal(t, b.view().InFlight, 1, "the report is older than the failure")
	b.load.Running = 1
	b.advance(200 * time.Millisecond)
	b.report(0)
	assert.Equal(t, b.view().InFlight, 1, "the endpoint still runs the request")
	b.load.Running = 0
	b.advance(time.Hour)
	assert.Equal(t, b.view().InFlight, 1, "time alone must not release a failed grant")
	b.report(0)
	assert.Equal(t, b.view().InFlight, 0)
}

// Guards against a place that is lost for ever because a request was never sent.
func TestFailedGrantThatWasNotSentIsReleased(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(1)
	g := b.dispatch(full)[0]
	b.cell.ApplyReport(b.now, message.GrantReport{Fence: testFence, Number: g.Number, Event: message.GrantFailed})
	assert.Equal(t, b.view().InFlight, 0)
	assert.Equal(t, b.view().State, Suspect, "the connection was refused")
}

// Guards against a grant whose reply was lost, or whose gateway died, being released before its time to start is over or
// while its work runs, and against it being charged for ever.
func TestGrantThatNobodyStartedIsReleasedByAReport(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(1)
	assert.Equal(t, len(b.dispatch(full)), 1)
	b.advance(time.Second)
	b.report(0)
	assert.Equal(t, b.view().InFlight, 1, "the grant may still start")
	b.advance(time.Second)
	b.load.Running = 1
	b.report(0)
	assert.Equal(t, b.view().InFlight, 1, "a request runs")
	b.load.Running = 0
	b.advance(time.Second)
	assert.Equal(t, b.view().InFlight, 1)
	b.report(0)
	assert.Equal(t, b.view().InFlight, 0)
}

// Guards against the work of a gateway that died after the start being charged for ever.
func TestSilentGrantIsReleasedByAReport(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(1)
	g := b.dispatch(full)[0]
	b.event(g.Number, message.GrantStarted, 0)
	b.advance(5 * time.Second)
	b.report(0)
	assert.Equal(t, b.view().InFlight, 1)
	b.advance(6 * time.Second)
	b.report(0)
	assert.Equal(t, b.view().InFlight, 0)
}

// Guards against an endpoint off the host list that cannot be reached keeping its failed grants for ever.
func TestUnreachableEndpointOffTheListIsForgotten(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(1)
	g := b.dispatch(full)[0]
	b.cell.SetEndpoints(b.now, nil, nil)
	assert.Equal(t, b.view().State, Leaving, "the request may still be running")
	b.event(g.Number, message.GrantFailed, 0)
	for range 3 {
		b.cell.LoadFailed(b.now, "e1")
	}
	assert.Equal(t, len(b.cell.View().Endpoints), 0)
	assert.Equal(t, len(b.cell.byGrant), 0)
}
