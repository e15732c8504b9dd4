package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// Guards against new work for a leaving endpoint when one of the three sources says so before the others.
func TestEachSourceMakesAnEndpointLeave(t *testing.T) {
	sources := map[string]func(b *bench, g message.Grant){
		"host list": func(b *bench, _ message.Grant) {
			b.cell.SetEndpoints(b.now, []message.Endpoint{{ID: "e1"}}, map[string]bool{"e1": true})
		},
		"missing in host list": func(b *bench, _ message.Grant) { b.cell.SetEndpoints(b.now, nil, nil) },
		"load report": func(b *bench, _ message.Grant) {
			b.load.Leaving = true
			b.report(0)
		},
		"refusal": func(b *bench, g message.Grant) {
			b.cell.ApplyReport(b.now, message.GrantReport{
				Fence: testFence, Number: g.Number, Event: message.GrantRefused, Leaving: true,
			})
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.warm()
			b.enqueue(1)
			g := b.dispatch(full)[0]
			b.advance(time.Millisecond)
			leave(b, g)
			assert.Equal(t, b.view().State, Leaving)
			b.enqueue(5)
			b.advance(time.Millisecond)
			b.report(0)
			assert.Equal(t, len(b.dispatch(full)), 0)
		})
	}
}

// Guards against requests that wait until their deadline in a cell whose endpoints are all leaving, and against refusals
// before a new owner has heard of its endpoints.
func TestRequestsAreRefusedWhenAllEndpointsLeave(t *testing.T) {
	b := newBench(t)
	b.cell.activeFrom = b.now.Add(time.Second)
	b.cell.SetEndpoints(b.now, nil, nil)
	b.enqueue(2)
	assert.Equal(t, len(b.cell.Dispatch(b.now, full)), 0)
	b.advance(time.Second)
	decisions := b.cell.Dispatch(b.now, full)
	assert.Equal(t, len(decisions), 2)
	assert.Equal(t, decisions[0].Reply.Refusal.Reason, verdict.ReasonNoEndpoint)
}

// Guards against an endpoint that was taken off the list and came back being loaded as if it were warm.
func TestEndpointThatComesBackIsCold(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.cell.SetEndpoints(b.now, []message.Endpoint{{ID: "e1"}}, map[string]bool{"e1": true})
	b.cell.SetEndpoints(b.now, []message.Endpoint{{ID: "e1"}}, nil)
	assert.Equal(t, b.view().State, Cold)
	assert.Equal(t, b.view().Limit, 1)
}

// Guards against new work for a data centre that is out, against requests that wait there although another data centre
// could run them, and against endpoints that are not cold on its return.
func TestDataCentreOutRefusesAtOnceAndReturnsCold(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.enqueue(9)
	assert.Equal(t, len(b.dispatch(full)), 4)
	out := full
	out.Out = true
	decisions := b.cell.Dispatch(b.now, out)
	assert.Equal(t, len(decisions), 5)
	for _, d := range decisions {
		assert.Equal(t, d.Reply.Refusal.Reason, verdict.ReasonNoEndpoint)
	}
	b.enqueue(1)
	assert.Equal(t, len(b.dispatch(out)), 0)
	b.dispatch(full)
	assert.Equal(t, b.view().State, Cold)
	assert.Equal(t, b.view().Limit, 1)
}

// Guards against work from before an outage of the data centre raising limits after it.
func TestWorkFromBeforeTheReturnDoesNotRaiseTheLimit(t *testing.T) {
	b := newBench(t)
	b.load.Running, b.load.CompletedTotal = 1, 5
	b.report(0)
	b.load.Running, b.load.CompletedTotal = 0, 6
	out := full
	out.Out = true
	b.dispatch(out)
	b.dispatch(full)
	b.report(0)
	assert.Equal(t, b.view().State, Cold)
	assert.Equal(t, b.view().Limit, 1, "inherited work")

	b = newBench(t)
	b.load.Running, b.load.CompletedTotal = 1, 5
	b.report(0)
	b.dispatch(out)
	b.dispatch(full)
	b.report(0)
	b.load.Running, b.load.CompletedTotal = 0, 6
	b.advance(time.Millisecond)
	b.report(0)
	assert.Equal(t, b.view().Limit, 1, "the report before may be from before the return")

	b = newBench(t)
	b.report(0)
	b.enqueue(1)
	g := b.dispatch(full)[0]
	b.dispatch(out)
	b.dispatch(full)
	b.event(g.Number, message.GrantCompleted, 10)
	assert.Equal(t, b.view().Limit, 1, "own work")
}
