package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

const testFence = 7

// confirmedOwner is the authority of an owner whose lease is confirmed.
var confirmedOwner = Authority{Owned: true, Confirmed: true}

// fixture drives one cell with the endpoint "e1" on a simulated clock.
type fixture struct {
	t      *testing.T
	cell   *Cell
	now    time.Time
	ticket uint64
	load   message.LoadReport
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	now := time.Unix(1000, 0)
	f := &fixture{t: t, now: now, load: message.LoadReport{Endpoint: "e1", Incarnation: "a"}}
	f.cell = NewCell("notes/kolkata/0", testFence, now, Params{
		StartWithin: time.Second, ColdLimit: 1, MaxConcurrency: 4, MaxQueue: 100, WarmAfter: 1,
	})
	f.cell.SetEndpoints(now, []message.Endpoint{{ID: "e1"}}, nil)
	return f
}

// advance moves the simulated clock.
func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// reportLoad applies a load report that was taken the given time ago.
func (f *fixture) reportLoad(age time.Duration) { f.cell.ApplyLoad(f.now, f.now.Add(-age), f.load) }

// enqueue adds n requests that can wait for a day.
func (f *fixture) enqueue(n int) {
	f.t.Helper()
	for range n {
		f.ticket++
		refused := f.cell.Enqueue(f.now, WaitingRequest{
			Ticket: f.ticket, Deadline: f.now.Add(24 * time.Hour), Request: message.PlaceRequest{Workspace: "w"},
		})
		assert.Assert(f.t, refused == nil)
	}
}

// dispatch returns the grants of one Dispatch call.
func (f *fixture) dispatch(a Authority) []message.Grant {
	var grants []message.Grant
	for _, d := range f.cell.Dispatch(f.now, a) {
		if d.Reply.Grant != nil {
			grants = append(grants, *d.Reply.Grant)
		}
	}
	return grants
}

// dispatchPrefilled calls Dispatch until it grants nothing more, and reports the first token of each grant at once.
func (f *fixture) dispatchPrefilled(a Authority) []message.Grant {
	var all []message.Grant
	for {
		grants := f.dispatch(a)
		if len(grants) == 0 {
			return all
		}
		for _, g := range grants {
			f.reportEvent(g.Number, message.GrantProgress, 1)
		}
		all = append(all, grants...)
	}
}

// reportEvent applies a report about a grant.
func (f *fixture) reportEvent(number uint64, event message.GrantEvent, tokens int) {
	f.cell.ApplyReport(f.now, message.GrantReport{
		Fence: testFence, Number: number, Event: event, Tokens: tokens, Sent: true,
		Elapsed: time.Duration(tokens) * 20 * time.Millisecond,
	})
}

func (f *fixture) endpointView() EndpointView {
	f.t.Helper()
	v := f.cell.View()
	assert.Equal(f.t, len(v.Endpoints), 1)
	return v.Endpoints[0]
}

// warm makes the endpoint warm by completing one request after the other.
func (f *fixture) warm() {
	f.t.Helper()
	f.reportLoad(0)
	for range 20 {
		f.enqueue(1)
		for _, g := range f.dispatch(confirmedOwner) {
			f.reportEvent(g.Number, message.GrantCompleted, 10)
		}
	}
	f.advance(time.Millisecond)
	f.reportLoad(0)
	assert.Equal(f.t, f.endpointView().State, Warm)
}
