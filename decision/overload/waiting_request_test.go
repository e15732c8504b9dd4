package overload

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// waiting returns a request that arrived at start and may wait for 8 s.
func waiting(workspace string, priority, objectiveMs, deadlineMs int) *WaitingRequest {
	return &WaitingRequest{
		Workspace: workspace, Priority: priority, Arrived: start, FirstEventBy: after(objectiveMs), Deadline: after(deadlineMs), HoldUntil: after(8000),
	}
}

// Guards against an order in which a criterion of less weight goes before one of more weight.
func TestOrderOfWaitingRequests(t *testing.T) {
	share := NewFairShare([]WorkspaceUsage{{Workspace: "large", Used: 3000, Waiting: 100}, {Workspace: "small", Used: 1000, Waiting: 100}})
	want := []*WaitingRequest{
		waiting("small", 0, 3000, 6000), waiting("small", 0, 3000, 7000), waiting("large", 0, 3000, 6000), waiting("small", 0, 500, 6000),
		waiting("large", 0, 500, 6000), waiting("small", 2, 4000, 39_000), waiting("large", 2, 4000, 30_000),
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortStableFunc(got, func(a, b *WaitingRequest) int { return a.Compare(after(1000), b, share) })
	for i := range want {
		assert.Assert(t, got[i] == want[i], "position %d: %+v", i, got[i])
	}
}

// Guards against a less urgent request that waits to its end behind more urgent ones that keep arriving.
func TestWaitingRequestIsRaisedWithTime(t *testing.T) {
	w := waiting("w", 2, 4000, 39_000)
	assert.Equal(t, w.Level(after(1999)), 2)
	assert.Equal(t, w.Level(after(2000)), 1)
	assert.Equal(t, w.Level(after(3000)), 0)
	assert.Equal(t, w.Level(after(3999)), 0)
	assert.Equal(t, w.Level(after(4001)), 2)
	w.FirstEventBy = time.Time{}
	assert.Equal(t, w.Level(after(4000)), 1)
	assert.Equal(t, w.Level(after(9000)), 0)
}

// Guards against a request that waits until it can no longer be answered in time, or longer than its caller does.
func TestRequestWaitsForCallerAndDeadline(t *testing.T) {
	arrived := start
	assert.Equal(t, HoldUntil(arrived, after(39_000), 4*time.Second, 180*time.Millisecond, 11*time.Second), after(16_000))
	assert.Equal(t, HoldUntil(arrived, after(20_000), 4*time.Second, 180*time.Millisecond, 11*time.Second), after(9000))
	assert.Equal(t, HoldUntil(arrived, after(39_000), 0, 500*time.Millisecond, time.Second), after(4000))
	assert.Equal(t, HoldUntil(arrived, after(39_000), 0, 0, time.Second), after(2000))
}
