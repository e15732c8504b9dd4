package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against new work for an endpoint whose tokens are late, and against it staying without work once they come.
func TestLateTokenStopsNewWorkUntilATokenArrives(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(2)
	grants := b.dispatch(full)
	assert.Equal(t, len(grants), 2)
	b.event(grants[0].Number, message.GrantStalled, 0)
	b.enqueue(5)
	b.advance(time.Minute)
	assert.Equal(t, len(b.dispatch(full)), 0)
	b.event(grants[1].Number, message.GrantProgress, 3)
	assert.Equal(t, b.view().State, Warming)
	b.event(grants[0].Number, message.GrantCompleted, 10)
	b.event(grants[1].Number, message.GrantCompleted, 10)
	assert.Assert(t, b.view().Limit < 4, "a recovered endpoint starts from the cold limit")
}

// Guards against a suspect endpoint that gets several requests at once, gets them without a growing wait, or never any.
func TestSuspectIsProbedWithBackOff(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(1)
	b.event(b.dispatch(full)[0].Number, message.GrantFailed, 0)
	b.advance(100 * time.Millisecond)
	b.report(0)
	b.enqueue(50)
	want := []time.Duration{
		time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
		30 * time.Second, 30 * time.Second,
	}
	b.advance(-100 * time.Millisecond)
	for _, wait := range want {
		b.advance(wait - time.Millisecond)
		assert.Equal(t, len(b.dispatch(full)), 0)
		b.advance(time.Millisecond)
		probe := b.dispatch(full)
		assert.Equal(t, len(probe), 1)
		b.cell.ApplyReport(b.now, message.GrantReport{Fence: testFence, Number: probe[0].Number, Event: message.GrantFailed})
	}
	b.advance(30 * time.Second)
	probe := b.dispatch(full)
	b.event(probe[0].Number, message.GrantProgress, 1)
	assert.Equal(t, b.view().State, Warming)
	assert.Equal(t, b.view().Limit, 1)
}

// Guards against work for an endpoint whose load reports cannot be read.
func TestFailedLoadReportsStopNewWork(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.cell.LoadFailed(b.now, "e1")
	b.cell.LoadFailed(b.now, "e1")
	assert.Equal(t, b.view().State, Warm)
	b.cell.LoadFailed(b.now, "e1")
	b.enqueue(5)
	b.advance(time.Minute)
	assert.Equal(t, len(b.dispatch(full)), 0)
	b.report(0)
	assert.Equal(t, len(b.dispatch(full)), 1, "one probe")
}

// Guards against an endpoint that refuses as busy being asked again before it had time to become free.
func TestBusyEndpointGetsNoWorkUntilANewerReport(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(2)
	g := b.dispatch(full)[0]
	b.advance(time.Millisecond)
	b.event(g.Number, message.GrantRefused, 0)
	b.enqueue(1)
	assert.Equal(t, len(b.dispatch(full)), 0)
	b.advance(time.Millisecond)
	b.report(0)
	assert.Equal(t, len(b.dispatch(full)), 1)
}
