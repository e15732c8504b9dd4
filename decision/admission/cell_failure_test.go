package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against a failed connection that frees capacity while the endpoint still runs the request.
func TestFailedGrantStaysChargedUntilNewerLoadReport(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(1)
	g := f.dispatch(confirmedOwner)[0]
	f.reportEvent(g.Number, message.GrantStarted, 0)
	f.advance(time.Second)
	f.reportEvent(g.Number, message.GrantFailed, 0)
	assert.Equal(t, f.endpointView().InFlight, 1)
	f.advance(100 * time.Millisecond)
	f.reportLoad(200 * time.Millisecond)
	assert.Equal(t, f.endpointView().InFlight, 1, "the report is older than the failure")
	f.load.Running = 1
	f.advance(200 * time.Millisecond)
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().InFlight, 1, "the endpoint still runs the request")
	f.load.Running = 0
	f.advance(time.Hour)
	assert.Equal(t, f.endpointView().InFlight, 1, "time alone must not release a failed grant")
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().InFlight, 0)
}

// Guards against capacity that is lost permanently because a request was never sent.
func TestFailedGrantThatWasNotSentIsReleased(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(1)
	g := f.dispatch(confirmedOwner)[0]
	f.cell.ApplyReport(f.now, message.GrantReport{Fence: testFence, Number: g.Number, Event: message.GrantFailed})
	assert.Equal(t, f.endpointView().InFlight, 0)
	assert.Equal(t, f.endpointView().State, Suspect, "the connection was refused")
}

// Guards against a grant whose reply was lost or whose gateway crashed: it must not be released before its time to
// start has passed or while its work runs, and it must not stay charged permanently.
func TestUnstartedGrantIsReleasedByLoadReport(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(1)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
	f.advance(time.Second)
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().InFlight, 1, "the grant may still start")
	f.advance(time.Second)
	f.load.Running = 1
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().InFlight, 1, "a request runs")
	f.load.Running = 0
	f.advance(time.Second)
	assert.Equal(t, f.endpointView().InFlight, 1)
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().InFlight, 0)
}

// Guards against the work of a gateway that crashed after the start staying charged permanently.
func TestAbandonedGrantIsReleasedByLoadReport(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(1)
	g := f.dispatch(confirmedOwner)[0]
	f.reportEvent(g.Number, message.GrantStarted, 0)
	f.advance(5 * time.Second)
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().InFlight, 1)
	f.advance(6 * time.Second)
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().InFlight, 0)
}

// Guards against an unreachable endpoint off the host list that keeps its failed grants permanently.
func TestUnreachableDelistedEndpointIsRemoved(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(1)
	g := f.dispatch(confirmedOwner)[0]
	f.cell.SetEndpoints(f.now, nil, nil)
	assert.Equal(t, f.endpointView().State, Leaving, "the request may still be running")
	f.reportEvent(g.Number, message.GrantFailed, 0)
	for range 3 {
		f.cell.RecordLoadFailure(f.now, "e1")
	}
	assert.Equal(t, len(f.cell.View().Endpoints), 0)
	assert.Equal(t, len(f.cell.endpointByGrant), 0)
}
