package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/overload"
)

func explain(q *Queue, now time.Time, r Request) Explanation {
	return q.Explain(now, heldFor(r, now), rand.New(rand.NewPCG(7, 8)))
}

// heldFor returns a request that arrives at now and may wait for a second.
func heldFor(r Request, now time.Time) HeldRequest {
	h := HeldRequest{Request: r, WaitUntil: now.Add(200 * time.Millisecond)}
	h.WaitingRequest = overload.WaitingRequest{
		Priority: r.Priority, Arrived: now, Deadline: now.Add(10 * time.Second), FirstEventBy: r.FirstEventBy, HoldUntil: now.Add(time.Second),
	}
	return h
}

// Guards against an endpoint that is shown as usable, or with the wrong reason, although the choice passes over it.
func TestExplanationNamesTheObstacle(t *testing.T) {
	long := Request{Service: "s", PromptTokens: 1000, Tokens: 1400, Priority: 2}
	for _, c := range []struct {
		obstacle Obstacle
		left     time.Duration
		ordered  bool
		prepare  func(table *Table, e *endpoint, r *Request)
	}{
		{obstacle: ""},
		{obstacle: Leaving, prepare: func(_ *Table, e *endpoint, _ *Request) { e.Leaving = true }},
		{obstacle: DataCentreOut, prepare: func(_ *Table, e *endpoint, _ *Request) { e.dataCentreOut = true }},
		{obstacle: Excluded, prepare: func(_ *Table, _ *endpoint, r *Request) { r.Exclude = []string{"a"} }},
		{obstacle: Paused, left: time.Second, prepare: func(_ *Table, e *endpoint, _ *Request) { e.statement.pause(start, time.Second) }},
		{obstacle: Avoided, left: minAvoid, prepare: func(_ *Table, e *endpoint, _ *Request) { e.recordOutcome(start, Unreachable) }},
		{obstacle: SlotsTaken, prepare: func(_ *Table, e *endpoint, _ *Request) { e.others.InFlight = 8 }},
		{obstacle: ColdLimit, prepare: func(table *Table, e *endpoint, _ *Request) {
			e.coldUntil, table.nodeStarted = start.Add(time.Second), start
		}},
		{obstacle: MemoryTaken, prepare: func(_ *Table, e *endpoint, _ *Request) { e.others.InFlight, e.others.Tokens = 1, 9000 }},
		{obstacle: MemoryTaken, ordered: true, prepare: func(_ *Table, e *endpoint, _ *Request) { e.others.InFlight, e.others.Tokens = 1, 9000 }},
		{obstacle: PrefillBacklog, ordered: true, prepare: func(_ *Table, e *endpoint, _ *Request) { e.others.Prefill = 9000 }},
		{obstacle: MemoryReserved, ordered: true, prepare: func(table *Table, e *endpoint, _ *Request) {
			e.others.InFlight, e.others.Tokens = 1, 8000
			table.limits["s"].reserve.RecordDeparture(start, 4)
		}},
	} {
		table, _ := newTable(0, "a", "b")
		if c.ordered {
			table, _ = newOrderedTable("a", "b")
		}
		r := long
		if c.prepare != nil {
			c.prepare(table, table.endpoints["a"], &r)
		}
		x := explain(NewQueue(table), start, r)
		assert.Equal(t, x.OrderedAdmission, c.ordered)
		assert.Equal(t, x.Endpoints[0].Obstacle, c.obstacle)
		assert.Equal(t, x.Endpoints[0].Left, c.left)
		assert.Equal(t, x.Endpoints[1].Obstacle, Obstacle(""))
		assert.Assert(t, x.Endpoints[1].Score() > 0)
		if c.obstacle != "" {
			assert.Equal(t, x.Chosen, "b", "%s", c.obstacle)
		}
	}
}

// Guards against a request that is shown as sent although it would wait or be refused.
func TestExplanationNamesTheRefusal(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		table, _ := newTable(0, "a")
		if ordered {
			table, _ = newOrderedTable("a")
		}
		r := Request{Service: "s", PromptTokens: 1000, Tokens: 1400}
		table.endpoints["a"].others.InFlight = 8
		x := explain(NewQueue(table), start, r)
		assert.Equal(t, x.Chosen, "")
		assert.Equal(t, x.Refusal, AllEndpointsFull)
		assert.Assert(t, x.Waits)
		// The pause outlasts the wait.
		table.RecordPause(start, &catalog.Endpoint{ID: "a", Service: "s"}, time.Minute)
		x = explain(NewQueue(table), start, r)
		assert.Equal(t, x.Refusal, AllEndpointsPaused)
		assert.Assert(t, !x.Waits)
	}
}

// Guards against an explanation that ignores the requests that wait at the node, to which a less urgent one leaves room.
func TestExplanationRegardsWaitingRequests(t *testing.T) {
	table, _ := newOrderedTable("a")
	table.endpoints["a"].others = Load{InFlight: 1, Tokens: 8500}
	queue := NewQueue(table)
	lessUrgent := Request{Service: "s", PromptTokens: 500, Tokens: 510, Priority: 2}
	assert.Equal(t, explain(queue, start, lessUrgent).Chosen, "a")
	urgent := heldFor(Request{Service: "s", PromptTokens: 2000, Tokens: 2010}, start)
	assert.Equal(t, len(queue.Offer(start, &urgent)), 0)
	x := explain(queue, start, lessUrgent)
	assert.Assert(t, x.Waits)
	assert.Equal(t, x.Waiting, 1)
	assert.Equal(t, x.Endpoints[0].Obstacle, MemoryReserved)
	assert.Equal(t, queue.Len(), 1)
}

// Guards against explanations that change later choices: by a placement, a budget, what was learnt, or a draw of the random source.
func TestExplanationsDoNotChangeChoices(t *testing.T) {
	for _, p := range []Params{{}, {OrderedAdmission: true}, {EndpointSpeed: true}, {OrderedAdmission: true, EndpointSpeed: true}} {
		assert.Equal(t, digestOfChoices(p, true), digestOfChoices(p, false), "%+v", p)
	}
}

// digestOfChoices returns a digest of the choices for random requests, with or without explanations between them.
func digestOfChoices(features Params, explained bool) uint32 {
	table, s := newOrderedTable("a", "b", "c", "d", "e", "f")
	p := params
	p.OrderedAdmission, p.EndpointSpeed = features.OrderedAdmission, features.EndpointSpeed
	table.SetParams(p)
	table.SetNodes(20)
	queue, random, digest := NewQueue(table), rand.New(rand.NewPCG(3, 4)), fnv.New32a()
	var open []uint64
	record := func(d Decision) {
		fmt.Fprint(digest, d.Placement.Endpoint.ID, d.Placement.Backup.ID, d.Refusal, d.RetryAfter)
		if d.Refusal == "" {
			open = append(open, d.Placement.Run)
		}
	}
	for i := range 1500 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if i%300 == 0 {
			s.Endpoints["s"][i/300%6].Leaving = i%600 == 0
			table.SetSnapshot(now, s)
		}
		r := Request{
			Service: "s", PromptTokens: random.IntN(3000), Priority: random.IntN(3), Repeat: random.IntN(20) == 0, Backup: random.IntN(2) == 0,
			FirstEventBy: now.Add(time.Second),
		}
		r.Tokens = r.PromptTokens + random.IntN(800)
		if explained {
			explain(queue, now, r)
			_ = explain(queue, now, Request{Service: "unknown"})
		}
		if h := heldFor(r, now); features.OrderedAdmission {
			for _, d := range queue.Offer(now, &h) {
				record(d)
			}
		} else {
			var d Decision
			d.Placement, d.Refusal = table.Place(now, r)
			record(d)
		}
		if len(open) > 25 {
			table.RecordMeasurement(now, open[0], Measurement{FirstEvent: 300 * time.Millisecond})
			table.ObservePrefill(now, open[0])
			table.RecordFirstEvent(open[len(open)-5])
			table.Release(now, open[0], Succeeded)
			open = open[1:]
		}
		fmt.Fprint(digest, table.OwnLoads(), queue.Pressure(now))
	}
	return digest.Sum32()
}
