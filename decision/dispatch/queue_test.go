package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/overload"
)

// newHeld returns a request that arrives at start and may wait for 4 s.
func newHeld(workspace string, priority, tokens int) *HeldRequest {
	h := &HeldRequest{Request: Request{Service: "s", PromptTokens: 70, Tokens: tokens, Priority: priority, Workspace: workspace}, RunTime: time.Second}
	h.Workspace, h.Priority, h.Arrived, h.WaitUntil = workspace, priority, start, start
	h.Deadline, h.HoldUntil = start.Add(8*time.Second), start.Add(4*time.Second)
	return h
}

// Guards against a request that is held although so many wait at other nodes that it can't start in time, and against one that is
// refused although it can.
func TestQueueShedsWhatCannotStartInTime(t *testing.T) {
	table, _ := newOrderedTable("a")
	q := NewQueue(table)
	assert.Equal(t, q.Offer(start, newHeld("w", 0, 9000))[0].Refusal, Refusal(""))
	assert.Equal(t, len(q.Offer(start, newHeld("w", 0, 6000))), 0)
	var others overload.Pressure
	for range 20 {
		others.AddWaiting(overload.Shape{Service: "s", Tokens: 6000, PromptTokens: 70, Long: true})
	}
	q.SetOthers(start, others)
	decisions := q.Offer(start, newHeld("w", 0, 6000))
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Refusal, Overloaded)
	assert.Equal(t, decisions[0].RetryAfter, 10*time.Second)
	assert.Equal(t, q.Len(), 1)
}

// Guards against a workspace that takes the memory of an engine before the workspace that uses least, also if it asked first.
func TestQueuePrefersWorkspaceWithSmallestUsage(t *testing.T) {
	table, _ := newOrderedTable("a")
	q := NewQueue(table)
	running := q.Offer(start, newHeld("large", 0, 9000))[0].Placement.Run
	large, small := newHeld("large", 0, 6000), newHeld("small", 0, 6000)
	assert.Equal(t, len(q.Offer(start, large))+len(q.Offer(start, small)), 0)
	others := overload.Pressure{Usage: []overload.WorkspaceUsage{{Workspace: "large", Used: 5000}}}
	others.AddWaiting(overload.Shape{Service: "other"})
	q.SetOthers(start, others)
	table.Release(start, running, Succeeded)
	decisions := q.Scan(start, nil)
	assert.Equal(t, len(decisions), 1)
	assert.Assert(t, decisions[0].Held == small)
}

// Guards against a late request of a less urgent class that is queued inside an engine at the end of its wait, and against one of the
// most urgent class that is refused although it can still be answered.
func TestEndOfWait(t *testing.T) {
	for priority, want := range map[int]Refusal{0: "", 2: AllEndpointsFull} {
		table, _ := newOrderedTable("a")
		q := NewQueue(table)
		q.Offer(start, newHeld("w", 0, 9000))
		h := newHeld("w", priority, 6000)
		h.FirstEventBy = start.Add(time.Second)
		assert.Equal(t, len(q.Offer(start, h)), 0)
		decisions := q.Scan(start.Add(4*time.Second), nil)
		assert.Equal(t, len(decisions), 1)
		assert.Equal(t, decisions[0].Refusal, want)
	}
}

// Guards against an aged request that is not tried because a newer one, which leaves room for more urgent ones, found none.
func TestQueueTriesAgedRequestsBehindNewerOnes(t *testing.T) {
	table, _ := newOrderedTable("a")
	q := NewQueue(table)
	q.Offer(start, newHeld("w", 2, 5000))
	running := q.Offer(start, newHeld("w", 2, 4000))[0].Placement.Run
	aged, urgent, newer := newHeld("w", 2, 3000), newHeld("w", 0, 6000), newHeld("w", 2, 3000)
	assert.Equal(t, len(q.Offer(start, aged)), 0)
	now := start.Add(3 * time.Second)
	urgent.Arrived, urgent.HoldUntil = now, now.Add(4*time.Second)
	newer.Arrived, newer.HoldUntil, newer.Deadline = now, now.Add(3*time.Second), now.Add(4*time.Second)
	assert.Equal(t, len(q.Offer(now, urgent))+len(q.Offer(now, newer)), 0)
	table.Release(now, running, Succeeded)
	decisions := q.Scan(now, nil)
	assert.Equal(t, len(decisions), 1)
	assert.Assert(t, decisions[0].Held == aged)
}

// Guards against a Retry-After time by requests that have just been sent or that count twice.
func TestRetryAfterCountsWhatStillWaits(t *testing.T) {
	table, _ := newOrderedTable("a")
	q := NewQueue(table)
	first := q.Offer(start, newHeld("w", 0, 9000))[0].Placement.Run
	sent, waiting, last := newHeld("w", 0, 6000), newHeld("w", 0, 9000), newHeld("w", 2, 5000)
	for _, h := range []*HeldRequest{sent, waiting, last} {
		assert.Equal(t, len(q.Offer(start, h)), 0)
	}
	last.HoldUntil, last.FirstEventBy, last.Deadline = start, start, start.Add(time.Minute)
	table.Release(start, first, Succeeded)
	decisions := q.Scan(start, nil)
	assert.Equal(t, len(decisions), 2)
	assert.Assert(t, decisions[0].Held == sent && decisions[1].Held == last)
	// Only the request of 9,000 tokens waits before it on an engine of 10,000.
	assert.Equal(t, decisions[1].RetryAfter, 900*time.Millisecond)
}

// Guards against log lines of refused requests that say that nothing more urgent waited.
func TestRefusedRequestsKeepTheirInputs(t *testing.T) {
	table, _ := newOrderedTable("a")
	q := NewQueue(table)
	q.Offer(start, newHeld("w", 0, 9000))
	urgent, last := newHeld("w", 0, 6000), newHeld("w", 2, 5000)
	assert.Equal(t, len(q.Offer(start, urgent))+len(q.Offer(start, last)), 0)
	last.HoldUntil, last.FirstEventBy = start, start
	decisions := q.Scan(start, nil)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Refusal, AllEndpointsFull)
	assert.Equal(t, decisions[0].Held.Request.MoreUrgent.Requests(), 1)
}
