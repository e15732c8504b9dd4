package speed

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an estimate that one wrong time moves out of bounds, that stays after the endpoint has changed, and that is
// forgotten when the runs end.
func TestEstimateFollowsMeasuredTimesWithinBounds(t *testing.T) {
	var e Estimate
	assert.Equal(t, e.Slowdown(start), 1.0)
	e.Observe(start, 1e9, 1000)
	assert.Assert(t, e.Learned(start) > 3.9 && e.Learned(start) <= Slowest)
	e = Estimate{}
	now := start
	for range 40 {
		e.Observe(now, 2, 1)
		now = now.Add(500 * time.Millisecond)
	}
	assert.Assert(t, e.Learned(now.Add(5*time.Second)) > 1.7)
	for range 40 {
		e.Observe(now, 0.5, 1)
		now = now.Add(500 * time.Millisecond)
	}
	assert.Assert(t, e.Learned(now) < 0.85, "%v", e.Learned(now))
	assert.Assert(t, e.Learned(now.Add(time.Hour)) > 0.99)
}

// Guards against a slow endpoint that is preferred because it says that it is fast, always or at this moment.
func TestStatedSlowdownDoesNotOutweighMeasuredTimes(t *testing.T) {
	var fast, slow Estimate
	now := start
	for range 40 {
		fast.Observe(now, 0.7, 1)
		slow.Observe(now, 1.7, 1)
		slow.RecordState(now, 0.1)
		now = now.Add(500 * time.Millisecond)
	}
	slow.RecordState(now, 0.1)
	assert.Assert(t, math.Abs(slow.Slowdown(now)/slow.Learned(now)-1) < 0.01)
	fast.RecordState(now, 100)
	fast.RecordState(now, 100)
	assert.Assert(t, math.Abs(fast.Slowdown(now)/fast.Learned(now)-1) < 0.01)
	for range 20 {
		slow.RecordState(now, 100)
		slow.RecordState(now, 0.1)
	}
	assert.Assert(t, slow.Slowdown(now) > fast.Slowdown(now))
}

// Guards against a state that still counts when it is older than the periods in which hosts are slow.
func TestStatedSlowdownCountsWhileFresh(t *testing.T) {
	var e Estimate
	for i := range 20 {
		e.RecordState(start.Add(time.Duration(i)*100*time.Millisecond), 1)
	}
	now := start.Add(2 * time.Second)
	e.RecordState(now, 2.5)
	assert.Assert(t, e.Slowdown(now) > 1.4 && e.Slowdown(now) <= maxStateFactor)
	assert.Equal(t, e.Slowdown(now.Add(stateValidity+time.Millisecond)), 1.0)
	e.RecordState(now, 0)
	assert.Assert(t, e.Slowdown(now) > 1.4)
}

// Guards against shared sums that mean something else to the receiver, that change with every measurement, and that stay for ever.
func TestSharedSumsGiveOthersTheSameSpeed(t *testing.T) {
	var sender, receiver Estimate
	now := start
	changes := 0
	for range 100 {
		sender.Observe(now, 1.7, 1)
		now = now.Add(500 * time.Millisecond)
		if sender.ShareDue(now) {
			changes++
			sum, count := sender.Share(now)
			receiver.SetOthers(now, sum, count)
		}
	}
	assert.Assert(t, changes > 0 && changes < 8, "%d changes", changes)
	assert.Assert(t, math.Abs(receiver.Learned(now)/1.7-1) < 0.1, "%v", receiver.Learned(now))
	now = now.Add(3 * time.Minute)
	assert.Assert(t, sender.ShareDue(now))
	sum, count := sender.Share(now)
	assert.Assert(t, sum == 0 && count == 0 && !sender.ShareDue(now))
	receiver.SetOthers(now, 1<<40, 1)
	assert.Assert(t, receiver.Learned(now) <= Slowest)
	receiver.SetOthers(now, 0, 0)
	assert.Equal(t, receiver.Learned(now), 1.0)
}
