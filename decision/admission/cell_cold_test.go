package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// Guards against a cold endpoint that receives more than its cold limit, and against a limit that rises without
// completed work.
func TestColdEndpointStaysWithinLimitUntilWorkCompletes(t *testing.T) {
	f := newFixture(t)
	f.enqueue(5)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0, "an endpoint without a load report gets no work")
	f.reportLoad(0)
	first := f.dispatch(confirmedOwner)
	assert.Equal(t, len(first), 1)
	f.advance(30 * time.Minute)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 0, "time alone must not raise the limit")
	f.reportEvent(first[0].Number, message.GrantCompleted, 10)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 2)
}

// Guards against a limit that rises after slow work, which an endpoint in a cold start completes.
func TestSlowWorkDoesNotRaiseTheLimit(t *testing.T) {
	f := newFixture(t)
	f.reportLoad(0)
	f.enqueue(5)
	g := f.dispatch(confirmedOwner)
	assert.Equal(t, len(g), 1)
	f.cell.ApplyReport(f.now, message.GrantReport{
		Fence: testFence, Number: g[0].Number, Event: message.GrantCompleted, Tokens: 10, Elapsed: 10 * time.Second,
	})
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against a limit that rises because a busy gateway has received the tokens of a slow endpoint in bursts, so that their
// interval looks shorter than the endpoint's steps.
func TestTokensInBurstsDoNotRaiseTheLimit(t *testing.T) {
	f := newFixture(t)
	f.load.StepTime = 160 * time.Millisecond
	f.reportLoad(0)
	f.enqueue(5)
	g := f.dispatch(confirmedOwner)
	assert.Equal(t, len(g), 1)
	f.reportEvent(g[0].Number, message.GrantCompleted, 10)
	g = f.dispatch(confirmedOwner)
	assert.Equal(t, len(g), 1)
	f.load.StepTime = 20 * time.Millisecond
	f.advance(time.Second)
	f.reportLoad(0)
	f.reportEvent(g[0].Number, message.GrantCompleted, 10)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 2)
}

// Guards against new work for a cold, warming or suspect endpoint while a second node may own the cell too.
func TestUnconfirmedOwnerSendsOnlyToWarmEndpoints(t *testing.T) {
	unconfirmed := Authority{Owned: true}
	f := newFixture(t)
	f.reportLoad(0)
	f.enqueue(2)
	assert.Equal(t, len(f.dispatch(unconfirmed)), 0)
	f.cell.Cancel(1)
	f.cell.Cancel(2)
	f.warm()
	f.enqueue(2)
	grants := f.dispatch(unconfirmed)
	assert.Equal(t, len(grants), 2)
	f.reportEvent(grants[0].Number, message.GrantStalled, 0)
	f.reportEvent(grants[1].Number, message.GrantProgress, 1)
	assert.Equal(t, f.endpointView().State, Warming)
	f.reportEvent(grants[0].Number, message.GrantCompleted, 10)
	f.reportEvent(grants[1].Number, message.GrantCompleted, 10)
	f.enqueue(1)
	assert.Equal(t, len(f.dispatch(unconfirmed)), 0)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against an endpoint that keeps its warm limit after a restart of its process.
func TestNewIncarnationIsCold(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.load.Incarnation = "b"
	f.advance(time.Second)
	f.reportLoad(0)
	f.enqueue(5)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against a restart that is missed because two load reports carry the same time, and against an older report
// that replaces a newer one.
func TestLoadReportsOfSameTimeApplyInOrder(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.advance(5 * time.Second)
	f.reportLoad(0)
	f.load.Incarnation = "b"
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().State, Cold)
	f.load.Incarnation = "a"
	f.reportLoad(time.Second)
	assert.Equal(t, f.endpointView().Load.Incarnation, "b")
}

// Guards against late reports about a process that has ended raising the limit of its successor.
func TestWorkOfPreviousIncarnationDoesNotRaiseLimit(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(3)
	f.advance(time.Second)
	grants := f.dispatch(confirmedOwner)
	assert.Equal(t, len(grants), 3)
	f.load.Incarnation = "b"
	f.advance(500 * time.Millisecond)
	f.reportLoad(700 * time.Millisecond) // The figures may be from after the grants.
	f.reportEvent(grants[0].Number, message.GrantCompleted, 10)
	assert.Equal(t, f.endpointView().Limit, 1)
	assert.Equal(t, f.endpointView().State, Cold)
	for range 3 {
		f.cell.RecordLoadFailure(f.now, "e1")
	}
	f.reportEvent(grants[1].Number, message.GrantProgress, 10)
	f.reportEvent(grants[2].Number, message.GrantCompleted, 10)
	assert.Equal(t, f.endpointView().State, Suspect, "only the present process can show that it works")
}

// Guards against capacity that stays charged until the next load report although its requests have completed.
func TestCompletedWorkFreesCapacityAtOnce(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(4)
	grants := f.dispatch(confirmedOwner)
	assert.Equal(t, len(grants), 4)
	f.advance(time.Second)
	f.load.Running = 4
	f.reportLoad(500 * time.Millisecond)
	for _, g := range grants {
		f.reportEvent(g.Number, message.GrantCompleted, 10)
	}
	f.enqueue(5)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 4)
}

// Guards against an owner that sends up to the whole limit to an endpoint on which a second owner runs work too.
func TestLoadReportBoundsExcessOfTwoOwners(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.load.Running, f.load.Waiting = 2, 1
	f.advance(time.Second)
	f.reportLoad(0)
	f.advance(time.Millisecond)
	f.enqueue(5)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 1)
}

// Guards against a grant that has expired when it is made, because its request waited longer than StartWithin.
func TestQueueWaitExtendsStartWithin(t *testing.T) {
	f := newFixture(t)
	f.enqueue(1)
	f.advance(5 * time.Second)
	f.reportLoad(0)
	grants := f.dispatch(confirmedOwner)
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].StartWithin, 6*time.Second)
}

// Guards against a request that waits until its deadline in a cell that cannot run it, while another cell could.
func TestRequestThatNoEndpointCanRunIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.reportLoad(0)
	assert.Assert(t, f.cell.Enqueue(f.now, WaitingRequest{
		Deadline: f.now.Add(time.Hour), Request: message.PlaceRequest{Exclude: []string{"e1"}},
	}) == nil)
	decisions := f.cell.Dispatch(f.now, confirmedOwner)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Reply.Refusal.Reason, verdict.ReasonNoEndpoint)
}

// Guards against a limit that rises after the first answer of an endpoint that is only a little slower in its cold
// start.
func TestLimitRisesOnlyAfterTheCompletionsOfAColdStart(t *testing.T) {
	f := newFixture(t)
	f.cell.params.WarmAfter = 0
	f.reportLoad(0)
	for n := range defaultWarmAfter {
		f.enqueue(2)
		g := f.dispatch(confirmedOwner)
		assert.Equal(t, len(g), 1, "after %d completions", n)
		f.reportEvent(g[0].Number, message.GrantCompleted, 10)
	}
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 2)
}
