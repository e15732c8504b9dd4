package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

const testFence = 7

// full is the authority of an owner whose lease is confirmed.
var full = Authority{Owned: true, Confirmed: true}

// bench drives one cell with the endpoint "e1" on a clock of its own.
type bench struct {
	t      *testing.T
	cell   *Cell
	now    time.Time
	ticket uint64
	load   message.LoadReport
}

func newBench(t *testing.T) *bench {
	t.Helper()
	now := time.Unix(1000, 0)
	b := &bench{t: t, now: now, load: message.LoadReport{Endpoint: "e1", Incarnation: "a"}}
	b.cell = NewCell("notes/kolkata/0", testFence, now, Params{
		StartWithin: time.Second, ColdLimit: 1, MaxConcurrency: 4, MaxQueue: 100, WarmAfter: 1,
	})
	b.cell.SetEndpoints(now, []message.Endpoint{{ID: "e1"}}, nil)
	return b
}

// advance moves the clock.
func (b *bench) advance(d time.Duration) { b.now = b.now.Add(d) }

// report delivers a load report that was taken the given time ago.
func (b *bench) report(age time.Duration) { b.cell.ApplyLoad(b.now, b.now.Add(-age), b.load) }

// enqueue adds n requests that can wait for a day.
func (b *bench) enqueue(n int) {
	b.t.Helper()
	for range n {
		b.ticket++
		refused := b.cell.Enqueue(b.now, Waiting{
			Ticket: b.ticket, Deadline: b.now.Add(24 * time.Hour), Request: message.PlaceRequest{Workspace: "w"},
		})
		assert.Assert(b.t, refused == nil)
	}
}

// dispatch returns the grants that are made now.
func (b *bench) dispatch(a Authority) []message.Grant {
	var grants []message.Grant
	for _, d := range b.cell.Dispatch(b.now, a) {
		if d.Reply.Grant != nil {
			grants = append(grants, *d.Reply.Grant)
		}
	}
	return grants
}

// dispatchComputed returns the grants that are made now when each prompt is computed at once.
func (b *bench) dispatchComputed(a Authority) []message.Grant {
	var all []message.Grant
	for {
		grants := b.dispatch(a)
		if len(grants) == 0 {
			return all
		}
		for _, g := range grants {
			b.event(g.Number, message.GrantProgress, 1)
		}
		all = append(all, grants...)
	}
}

// event reports an event of a grant.
func (b *bench) event(number uint64, event message.GrantEvent, tokens int) {
	b.cell.ApplyReport(b.now, message.GrantReport{
		Fence: testFence, Number: number, Event: event, Tokens: tokens, Sent: true,
		Elapsed: time.Duration(tokens) * 20 * time.Millisecond,
	})
}

func (b *bench) view() EndpointView {
	b.t.Helper()
	v := b.cell.View()
	assert.Equal(b.t, len(v.Endpoints), 1)
	return v.Endpoints[0]
}

// warm makes the endpoint warm by completing one request after the other.
func (b *bench) warm() {
	b.t.Helper()
	b.report(0)
	for range 20 {
		b.enqueue(1)
		for _, g := range b.dispatch(full) {
			b.event(g.Number, message.GrantCompleted, 10)
		}
	}
	b.advance(time.Millisecond)
	b.report(0)
	assert.Equal(b.t, b.view().State, Warm)
}
