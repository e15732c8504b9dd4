package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// Guards against new work for a leaving endpoint that only one of the sources reports as leaving.
func TestEachSourceMakesAnEndpointLeave(t *testing.T) {
	sources := map[string]func(f *fixture, g message.Grant){
		"host list": func(f *fixture, _ message.Grant) {
			f.cell.SetEndpoints(f.now, []message.Endpoint{{ID: "e1"}}, map[string]bool{"e1": true})
		},
		"missing in host list": func(f *fixture, _ message.Grant) { f.cell.SetEndpoints(f.now, nil, nil) },
		"load report": func(f *fixture, _ message.Grant) {
			f.load.Leaving = true
			f.reportLoad(0)
		},
		"refusal": func(f *fixture, g message.Grant) {
			f.cell.ApplyReport(f.now, message.GrantReport{
				Fence: testFence, Number: g.Number, Event: message.GrantRefused, Leaving: true,
			})
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.warm()
			f.enqueue(1)
			g := f.dispatch(confirmedOwner)[0]
			f.advance(time.Millisecond)
			leave(f, g)
			assert.Equal(t, f.endpointView().State, Leaving)
			f.enqueue(5)
			f.advance(time.Millisecond)
			f.reportLoad(0)
			assert.Equal(t, len(f.dispatch(confirmedOwner)), 0)
		})
	}
}

// Guards against requests that wait until their deadline in a cell whose endpoints are all leaving, and against
// refusals by a new owner before it has its list of endpoints.
func TestRequestsAreRefusedWhenAllEndpointsLeave(t *testing.T) {
	f := newFixture(t)
	f.cell.activeFrom = f.now.Add(time.Second)
	f.cell.SetEndpoints(f.now, nil, nil)
	f.enqueue(2)
	assert.Equal(t, len(f.cell.Dispatch(f.now, confirmedOwner)), 0)
	f.advance(time.Second)
	decisions := f.cell.Dispatch(f.now, confirmedOwner)
	assert.Equal(t, len(decisions), 2)
	assert.Equal(t, decisions[0].Reply.Refusal.Reason, verdict.ReasonNoEndpoint)
}

// Guards against an endpoint that keeps its warm limit after it was marked as leaving and listed again.
func TestEndpointThatComesBackIsCold(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.cell.SetEndpoints(f.now, []message.Endpoint{{ID: "e1"}}, map[string]bool{"e1": true})
	f.cell.SetEndpoints(f.now, []message.Endpoint{{ID: "e1"}}, nil)
	assert.Equal(t, f.endpointView().State, Cold)
	assert.Equal(t, f.endpointView().Limit, 1)
}

// Guards against new work for a data centre that is out, against requests that wait there although another data centre
// could run them, and against endpoints that are not cold after its return.
func TestDataCentreOutRefusesAtOnceAndReturnsCold(t *testing.T) {
	f := newFixture(t)
	f.warm()
	f.enqueue(9)
	assert.Equal(t, len(f.dispatch(confirmedOwner)), 4)
	out := confirmedOwner
	out.DataCentreOut = true
	decisions := f.cell.Dispatch(f.now, out)
	assert.Equal(t, len(decisions), 5)
	for _, d := range decisions {
		assert.Equal(t, d.Reply.Refusal.Reason, verdict.ReasonNoEndpoint)
	}
	f.enqueue(1)
	assert.Equal(t, len(f.dispatch(out)), 0)
	f.dispatch(confirmedOwner)
	assert.Equal(t, f.endpointView().State, Cold)
	assert.Equal(t, f.endpointView().Limit, 1)
}

// Guards against work from before an outage of the data centre raising limits after it.
func TestWorkBeforeDataCentreReturnDoesNotRaiseLimit(t *testing.T) {
	f := newFixture(t)
	f.load.Running, f.load.CompletedTotal = 1, 5
	f.reportLoad(0)
	f.load.Running, f.load.CompletedTotal = 0, 6
	out := confirmedOwner
	out.DataCentreOut = true
	f.dispatch(out)
	f.dispatch(confirmedOwner)
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().State, Cold)
	assert.Equal(t, f.endpointView().Limit, 1, "inherited work")

	f = newFixture(t)
	f.load.Running, f.load.CompletedTotal = 1, 5
	f.reportLoad(0)
	f.dispatch(out)
	f.dispatch(confirmedOwner)
	f.reportLoad(0)
	f.load.Running, f.load.CompletedTotal = 0, 6
	f.advance(time.Millisecond)
	f.reportLoad(0)
	assert.Equal(t, f.endpointView().Limit, 1, "the previous report may be from before the return")

	f = newFixture(t)
	f.reportLoad(0)
	f.enqueue(1)
	g := f.dispatch(confirmedOwner)[0]
	f.dispatch(out)
	f.dispatch(confirmedOwner)
	f.reportEvent(g.Number, message.GrantCompleted, 10)
	assert.Equal(t, f.endpointView().Limit, 1, "own work")
}
