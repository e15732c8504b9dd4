package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against a new owner that admits requests while grants of the previous owner can still start, or on the basis
// of a load report that was taken before then.
func TestNothingIsAdmittedBeforeAReportTakenAfterTheTakeover(t *testing.T) {
	f := newFixture(t)
	f.cell.activeFrom = f.now.Add(time.Second)
	f.enqueue(1)
	f.reportLoad(0)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
	f.advance(1100 * time.Millisecond)
	f.reportLoad(200 * time.Millisecond)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0, "the report was taken before the takeover was complete")
	f.advance(200 * time.Millisecond)
	f.reportLoad(200 * time.Millisecond)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against inherited work that is not charged, or that stays charged after load reports show that it has ended.
func TestInheritedWorkIsChargedUntilLoadReportsShowItEnded(t *testing.T) {
	f := newFixture(t)
	f.load.Running = 1
	f.reportLoad(0)
	f.enqueue(2)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
	f.advance(time.Hour)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0, "time alone must not release inherited work")
	f.load.Running = 0
	f.reportLoad(0)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against grants of this owner, which load reports count too, being charged a second time as inherited work.
func TestOwnGrantsAreNotChargedTwice(t *testing.T) {
	f := newFixture(t)
	f.cell.params.ColdLimit = 2
	f.load.Running = 1
	f.reportLoad(0)
	f.enqueue(3)
	own := f.dispatch(confirmedOwner)
	assert.Equal(t, len(own), 1)
	f.reportEvent(own[0].Number, message.GrantStarted, 0)
	f.load.Running = 2
	f.advance(200 * time.Millisecond)
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().InFlight, 2)
	f.load.Running = 1 // The inherited request ended; the own request runs.
	for range 10 {
		f.advance(200 * time.Millisecond)
		f.reportLoad(0)
	}
	assert.Equal(t, f.endpointView().Inherited, 0)
	assert.Equal(t, f.endpointView().InFlight, 1)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against a new owner that treats an endpoint with completed work as warm, or as cold permanently.
func TestInheritedEndpointThatHasWorkedIsProbed(t *testing.T) {
	f := newFixture(t)
	f.load.CompletedTotal = 100
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().State, Suspect)
	f.enqueue(5)
	probe := f.dispatch(confirmedOwner)
	assert.Equal(t, len(probe), 1)
	f.reportEvent(probe[0].Number, message.GrantProgress, 1)
	assert.Equal(t, f.endpointView().State, Warming)
	assert.Equal(t, f.endpointView().Limit, 1)
}

// Guards against an endpoint with inherited work that receives no new work until all of the inherited work has ended.
func TestCompletedInheritedWorkRaisesTheLimit(t *testing.T) {
	f := newFixture(t)
	f.load.CompletedTotal, f.load.Running = 100, 4
	f.reportLoad(0)
	f.advance(200 * time.Millisecond)
	f.load.CompletedTotal, f.load.Running = 103, 1
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().State, Warm)
	assert.Equal(t, f.endpointView().Limit, 4)
	f.enqueue(5)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 3)
}

// Guards against a cell that continues to admit requests after its node has lost ownership.
func TestLostOwnershipRefusesWaitingRequests(t *testing.T) {
	for _, lost := range []func(f *fixture) Authority{
		func(*fixture) Authority { return Authority{Confirmed: true} },
		func(f *fixture) Authority {
			f.cell.ApplyReport(f.now, message.GrantReport{Fence: testFence, Number: 99, StaleFence: true})
			return confirmedOwner
		},
	} {
		f := newFixture(t)
		f.reportLoad(0)
		f.enqueue(2)
		decisions := f.cell.Dispatch(f.now, lost(f))
		assert.Equal(t, len(decisions), 2)
		for _, d := range decisions {
			assert.Assert(t, d.Reply.Refusal != nil)
		}
	}
}
