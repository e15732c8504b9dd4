package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against a new owner that admits while grants of the owner before can still start, or on a report that was taken
// before then.
func TestNothingIsAdmittedBeforeAReportTakenAfterTheTakeover(t *testing.T) {
	b := newBench(t)
	b.cell.activeFrom = b.now.Add(time.Second)
	b.enqueue(1)
	b.report(0)
	assert.Equal(t, len(b.dispatch(full)), 0)
	b.advance(1100 * time.Millisecond)
	b.report(200 * time.Millisecond)
	assert.Equal(t, len(b.dispatch(full)), 0, "the report was taken before the takeover was complete")
	b.advance(200 * time.Millisecond)
	b.report(200 * time.Millisecond)
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against inherited work that is forgotten, or that stays charged after reports show that it is gone.
func TestInheritedWorkIsChargedUntilReportsShowItGone(t *testing.T) {
	b := newBench(t)
	b.load.Running = 1
	b.report(0)
	b.enqueue(2)
	assert.Equal(t, len(b.dispatch(full)), 0)
	b.advance(time.Hour)
	assert.Equal(t, len(b.dispatch(full)), 0, "time alone must not release inherited work")
	b.load.Running = 0
	b.report(0)
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against this owner's own grants, which load reports count too, being charged a second time as inherited work.
func TestOwnGrantsAreNotChargedTwice(t *testing.T) {
	b := newBench(t)
	b.cell.params.ColdLimit = 2
	b.load.Running = 1
	b.report(0)
	b.enqueue(3)
	own := b.dispatch(full)
	assert.Equal(t, len(own), 1)
	b.event(own[0].Number, message.GrantStarted, 0)
	b.load.Running = 2
	b.advance(200 * time.Millisecond)
	b.report(0)
	assert.Equal(t, b.view().InFlight, 2)
	b.load.Running = 1 // The inherited request ended; the own one runs.
	for range 10 {
		b.advance(200 * time.Millisecond)
		b.report(0)
	}
	assert.Equal(t, b.view().Inherited, 0)
	assert.Equal(t, b.view().InFlight, 1)
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against a new owner that takes an endpoint for warm, or for cold for ever, because it has worked before.
func TestInheritedEndpointThatHasWorkedIsProbed(t *testing.T) {
	b := newBench(t)
	b.load.CompletedTotal = 100
	b.report(0)
	assert.Equal(t, b.view().State, Suspect)
	b.enqueue(5)
	probe := b.dispatch(full)
	assert.Equal(t, len(probe), 1)
	b.event(probe[0].Number, message.GrantProgress, 1)
	assert.Equal(t, b.view().State, Warming)
	assert.Equal(t, b.view().Limit, 1)
}

// Guards against an endpoint that is busy with inherited work getting no work until all of it has ended.
func TestCompletedInheritedWorkRaisesTheLimit(t *testing.T) {
	b := newBench(t)
	b.load.CompletedTotal, b.load.Running = 100, 4
	b.report(0)
	b.advance(200 * time.Millisecond)
	b.load.CompletedTotal, b.load.Running = 103, 1
	b.report(0)
	assert.Equal(t, b.view().State, Warm)
	assert.Equal(t, b.view().Limit, 4)
	b.enqueue(5)
	assert.Equal(t, len(b.dispatch(full)), 3)
}

// Guards against a cell that goes on admitting after it lost its ownership.
func TestLostOwnershipRefusesWaitingRequests(t *testing.T) {
	for _, lost := range []func(b *bench) Authority{
		func(*bench) Authority { return Authority{Confirmed: true} },
		func(b *bench) Authority {
			b.cell.ApplyReport(b.now, message.GrantReport{Fence: testFence, Number: 99, StaleFence: true})
			return full
		},
	} {
		b := newBench(t)
		b.report(0)
		b.enqueue(2)
		decisions := b.cell.Dispatch(b.now, lost(b))
		assert.Equal(t, len(decisions), 2)
		for _, d := range decisions {
			assert.Assert(t, d.Reply.Refusal != nil)
		}
	}
}
