package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against new work for an endpoint whose tokens are late, and against an endpoint that receives no work after
// its tokens arrive again.
func TestLateTokenStopsNewWorkUntilATokenArrives(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(2)
	grants := f.dispatch(confirmedOwner)
	assert.Equal(t, len(grants), 2)
	f.reportEvent(grants[0].Number, message.GrantStalled, 0)
	f.enqueue(5)
	f.advance(time.Minute)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
	f.reportEvent(grants[1].Number, message.GrantProgress, 3)
	assert.Equal(t, f.endpointView().State, Warming)
	f.reportEvent(grants[0].Number, message.GrantCompleted, 10)
	f.reportEvent(grants[1].Number, message.GrantCompleted, 10)
	assert.Assert(t, f.endpointView().Limit < 4, "a recovered endpoint starts from the cold limit")
}

// Guards against a suspect endpoint that receives several requests at once, that is probed without an increasing
// back-off, or that is never probed.
func TestSuspectIsProbedWithBackOff(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(1)
	f.reportEvent(f.dispatch(confirmedOwner)[0].Number, message.GrantFailed, 0)
	f.advance(100 * time.Millisecond)
	f.reportLoad(0)
	f.enqueue(50)
	want := []time.Duration{
		time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
		30 * time.Second, 30 * time.Second,
	}
	f.advance(-100 * time.Millisecond)
	for _, wait := range want {
		f.advance(wait - time.Millisecond)
		assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
		f.advance(time.Millisecond)
		probe := f.dispatch(confirmedOwner)
		assert.Equal(t, len(probe), 1)
		f.cell.ApplyReport(f.now, message.GrantReport{Fence: testFence, Number: probe[0].Number, Event: message.GrantFailed})
	}
	f.advance(30 * time.Second)
	probe := f.dispatch(confirmedOwner)
	f.reportEvent(probe[0].Number, message.GrantProgress, 1)
	assert.Equal(t, f.endpointView().State, Warming)
	assert.Equal(t, f.endpointView().Limit, 1)
}

// Guards against work for an endpoint whose load reports cannot be read.
func TestFailedLoadReportsStopNewWork(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.cell.RecordLoadFailure(f.now, "e1")
	f.cell.RecordLoadFailure(f.now, "e1")
	assert.Equal(t, f.endpointView().State, Warm)
	f.cell.RecordLoadFailure(f.now, "e1")
	f.enqueue(5)
	f.advance(time.Minute)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
	f.reportLoad(0)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1, "one probe")
}

// Guards against new work for an endpoint that refused a request as busy before a newer load report shows that it has room.
func TestBusyEndpointGetsNoWorkUntilANewerReport(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(2)
	g := f.dispatch(confirmedOwner)[0]
	f.advance(time.Millisecond)
	f.reportEvent(g.Number, message.GrantRefused, 0)
	f.enqueue(1)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
	f.advance(time.Millisecond)
	f.reportLoad(0)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}
