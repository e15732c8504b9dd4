package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// Guards against a cold endpoint receiving more than its cold limit, and against a limit that grows without work.
func TestColdEndpointStaysWithinLimitUntilWorkCompletes(t *testing.T) {
	b := newBench(t)
	b.enqueue(5)
	assert.Equal(t, len(b.dispatch(full)), 0, "an endpoint without a load report gets no work")
	b.report(0)
	first := b.dispatch(full)
	assert.Equal(t, len(first), 1)
	b.advance(30 * time.Minute)
	assert.Equal(t, len(b.dispatch(full)), 0, "time alone must not raise the limit")
	b.event(first[0].Number, message.GrantCompleted, 10)
	assert.Equal(t, len(b.dispatch(full)), 2)
}

// Guards against a limit that grows by work that took too long, as an endpoint in a cold start delivers.
func TestSlowWorkDoesNotRaiseTheLimit(t *testing.T) {
	b := newBench(t)
	b.report(0)
	b.enqueue(5)
	g := b.dispatch(full)
	assert.Equal(t, len(g), 1)
	b.cell.ApplyReport(b.now, message.GrantReport{
		Fence: testFence, Number: g[0].Number, Event: message.GrantCompleted, Tokens: 10, Elapsed: 10 * time.Second,
	})
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against new work for a cold, warming or suspect endpoint while another node may own the cell as well.
func TestUnconfirmedOwnerSendsOnlyToWarmEndpoints(t *testing.T) {
	unconfirmed := Authority{Owned: true}
	b := newBench(t)
	b.report(0)
	b.enqueue(2)
	assert.Equal(t, len(b.dispatch(unconfirmed)), 0)
	b.cell.Cancel(1)
	b.cell.Cancel(2)
	b.warm()
	b.enqueue(2)
	grants := b.dispatch(unconfirmed)
	assert.Equal(t, len(grants), 2)
	b.event(grants[0].Number, message.GrantStalled, 0)
	b.event(grants[1].Number, message.GrantProgress, 1)
	assert.Equal(t, b.view().State, Warming)
	b.event(grants[0].Number, message.GrantCompleted, 10)
	b.event(grants[1].Number, message.GrantCompleted, 10)
	b.enqueue(1)
	assert.Equal(t, len(b.dispatch(unconfirmed)), 0)
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against an endpoint whose process restarted being loaded as if it were warm.
func TestNewIncarnationIsCold(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.load.Incarnation = "b"
	b.advance(time.Second)
	b.report(0)
	b.enqueue(5)
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against a restart that is missed because two reports carry the same time, and against an older report that
// replaces a newer one.
func TestReportsOfTheSameTimeCountInTheirOrder(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.advance(5 * time.Second)
	b.report(0)
	b.load.Incarnation = "b"
	b.report(0)
	assert.Equal(t, b.view().State, Cold)
	b.load.Incarnation = "a"
	b.report(time.Second)
	assert.Equal(t, b.view().Load.Incarnation, "b")
}

// Guards against late reports of work on the process before raising the limit of the one that replaced it.
func TestWorkOfTheLastIncarnationDoesNotRaiseTheLimit(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(3)
	b.advance(time.Second)
	grants := b.dispatch(full)
	assert.Equal(t, len(grants), 3)
	b.load.Incarnation = "b"
	b.advance(500 * time.Millisecond)
	b.report(700 * time.Millisecond) // Taken at this moment or later, so perhaps after the grants.
	b.event(grants[0].Number, message.GrantCompleted, 10)
	assert.Equal(t, b.view().Limit, 1)
	assert.Equal(t, b.view().State, Cold)
	for range 3 {
		b.cell.LoadFailed(b.now, "e1")
	}
	b.event(grants[1].Number, message.GrantProgress, 10)
	b.event(grants[2].Number, message.GrantCompleted, 10)
	assert.Equal(t, b.view().State, Suspect, "only the present process can show that it works")
}

// Guards against places that stay taken until the next load report although their requests have completed.
func TestCompletedWorkFreesItsPlaceAtOnce(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(4)
	grants := b.dispatch(full)
	assert.Equal(t, len(grants), 4)
	b.advance(time.Second)
	b.load.Running = 4
	b.report(500 * time.Millisecond)
	for _, g := range grants {
		b.event(g.Number, message.GrantCompleted, 10)
	}
	b.enqueue(5)
	assert.Equal(t, len(b.dispatch(full)), 4)
}

// Guards against an endpoint that another owner loads as well receiving up to the whole limit from this one.
func TestReportBoundsTheExcessOfTwoOwners(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.load.Running, b.load.Waiting = 2, 1
	b.advance(time.Second)
	b.report(0)
	b.advance(time.Millisecond)
	b.enqueue(5)
	assert.Equal(t, len(b.dispatch(full)), 1)
}

// Guards against a grant that lapses before it is made, because its request waited longer than the time to start.
func TestTimeToStartIsExtendedByTheWait(t *testing.T) {
	b := newBench(t)
	b.enqueue(1)
	b.advance(5 * time.Second)
	b.report(0)
	grants := b.dispatch(full)
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].StartWithin, 6*time.Second)
}

// Guards against a request that waits until its deadline in a cell that cannot run it, while another cell could.
func TestRequestThatNoEndpointCanRunIsRefusedAtOnce(t *testing.T) {
	b := newBench(t)
	b.report(0)
	assert.Assert(t, b.cell.Enqueue(b.now, Waiting{
		Deadline: b.now.Add(time.Hour), Request: message.PlaceRequest{Exclude: []string{"e1"}},
	}) == nil)
	decisions := b.cell.Dispatch(b.now, full)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Reply.Refusal.Reason, verdict.ReasonNoEndpoint)
}

// Guards against an endpoint that is only a little slower in its cold start, and so looks warm after its first answer.
func TestLimitRisesOnlyAfterTheCompletionsOfAColdStart(t *testing.T) {
	b := newBench(t)
	b.cell.params.WarmAfter = 0
	b.report(0)
	for n := range defaultWarmAfter {
		b.enqueue(2)
		g := b.dispatch(full)
		assert.Equal(t, len(g), 1, "after %d completions", n)
		b.event(g[0].Number, message.GrantCompleted, 10)
	}
	assert.Equal(t, len(b.dispatch(full)), 2)
}
