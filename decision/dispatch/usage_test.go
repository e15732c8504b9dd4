package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against times that are compared with the load of one moment instead of the load while they were measured.
func TestUsageGivesMeanLoadBetweenTwoTimes(t *testing.T) {
	var u usage
	_, _, ok := u.meanSince(usage{})
	assert.Assert(t, !ok)
	u.advance(start, 0, 0)
	first := u
	u.advance(start.Add(100*time.Millisecond), 4, 1000)
	u.advance(start.Add(400*time.Millisecond), 8, 0)
	u.advance(start.Add(300*time.Millisecond), 100, 1)
	inFlight, busy, ok := u.meanSince(first)
	assert.Assert(t, ok && inFlight > 6.99 && inFlight < 7.01 && busy > 0.24 && busy < 0.26, "%v %v", inFlight, busy)
}
