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

// Guards against a less urgent request that leaves room for more urgent ones to the end of its time, while they keep arriving.
func TestAgedRequestLeavesNoRoom(t *testing.T) {
	w := waiting("w", 2, 4000, 39_000)
	assert.Assert(t, !w.IsAged(after(4000)))
	assert.Assert(t, w.IsAged(after(4001)))
}

// Guards against requests of one priority that each leave room for the others, so that it stays unused, and against room that is left
// for requests which can't be in time.
func TestRoomIsLeftForMoreUrgentRequestsInTime(t *testing.T) {
	less := NewRank(2, false, false)
	assert.Assert(t, less.LeavesRoomFor(NewRank(0, false, false)))
	assert.Assert(t, less.LeavesRoomFor(NewRank(1, false, true)))
	assert.Assert(t, !less.LeavesRoomFor(NewRank(0, true, false)))
	assert.Assert(t, !less.LeavesRoomFor(less))
	assert.Assert(t, NewRank(2, true, true).LeavesRoomFor(less))
	assert.Assert(t, NewRank(2, false, true).LeavesRoomFor(less))
	assert.Assert(t, !less.LeavesRoomFor(NewRank(2, false, true)))
	assert.Assert(t, !less.LeavesRoomFor(NewRank(3, false, false)))
}

// Guards against a request that waits until it can no longer be answered in time, or longer than its caller does.
func TestRequestWaitsForCallerAndDeadline(t *testing.T) {
	arrived := start
	assert.Equal(t, HoldUntil(arrived, after(39_000), 4*time.Second, 180*time.Millisecond, 11*time.Second), after(16_000))
	assert.Equal(t, HoldUntil(arrived, after(20_000), 4*time.Second, 180*time.Millisecond, 11*time.Second), after(9000))
	assert.Equal(t, HoldUntil(arrived, after(39_000), 0, 500*time.Millisecond, time.Second), after(4000))
	assert.Equal(t, HoldUntil(arrived, after(39_000), 0, 0, time.Second), after(2000))
}
