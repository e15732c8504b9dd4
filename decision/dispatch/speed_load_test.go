package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against long runs that are placed on slow engines as often as on fast ones, and against streams with long pauses for it.
func TestLongRunsGoToFastEnginesAtHalfLoad(t *testing.T) {
	before, after := newSpeedSimulation(1, false, 0.5), newSpeedSimulation(1, true, 0.5)
	before.run(30*time.Second, nil)
	after.run(30*time.Second, nil)
	t.Log("before:", before)
	t.Log("after:", after)
	assert.Assert(t, after.longRatio() >= 1.5, "%v", after)
	assert.Assert(t, 2*after.paused < before.paused, "before: %v, after: %v", before, after)
	assert.Assert(t, after.late <= before.late+5, "before: %v, after: %v", before, after)
}

// Guards against lies about the speed that draw work to slow engines or keep it from fast ones, always or now and then, and against
// choices that depend on a figure that is no longer sent.
func TestWrongOrMissingStatementsChangeLittle(t *testing.T) {
	for name, stated := range map[string]func(e *simulatedEngine, now time.Time) float64{
		"always wrong": func(e *simulatedEngine, _ time.Time) float64 {
			if e.slowdown > 1 {
				return 0.1
			}
			return 100
		},
		"wrong now and then": func(e *simulatedEngine, now time.Time) float64 {
			if (e.slowdown > 1) == (now.UnixMilli()/400%2 == 0) {
				return 0.1
			}
			return 4
		},
		"stops": func(e *simulatedEngine, now time.Time) float64 {
			if now.Sub(start) > 10*time.Second {
				return 0
			}
			return e.slowdown
		},
	} {
		s := newSpeedSimulation(2, true, 0.5)
		for _, e := range s.engines {
			e.stated = stated
		}
		s.run(18*time.Second, nil)
		t.Log(name, s)
		assert.Assert(t, s.longRatio() >= 1.5, "%s: %v", name, s)
	}
}

// Guards against an engine that keeps the preference of its former speed.
func TestChangedSpeedIsLearnt(t *testing.T) {
	s := newSpeedSimulation(3, true, 0.5)
	s.run(20*time.Second, nil)
	for i, e := range s.engines {
		e.slowdown = 0.7
		if i%3 == 0 {
			e.slowdown = 1.7
		}
	}
	s.run(20*time.Second, nil)
	clear(s.longOn)
	s.run(15*time.Second, nil)
	t.Log(s)
	// The engines that were the slowest are now as fast as the other third.
	assert.Assert(t, s.longRatio() <= 1/1.5, "%v", s)
}

// Guards against nodes without contact that forget the speeds, and against all of their work on the same engines.
func TestPartitionedNodesKeepPreferringFastEngines(t *testing.T) {
	s := newSpeedSimulation(4, true, 0.5)
	s.run(15*time.Second, nil)
	for _, n := range s.nodes[:31] {
		n.alone = true
	}
	clear(s.longOn)
	s.run(20*time.Second, nil)
	t.Log(s)
	most := 0
	for _, n := range s.longOn {
		most = max(most, n)
	}
	assert.Assert(t, s.longRatio() >= 1.5 && most < 25, "%v, most %d", s, most)
}

// Guards against slow engines that stay idle while requests wait for the memory of fast ones.
func TestSlowEnginesGetWorkThatFastOnesHaveNoMemoryFor(t *testing.T) {
	s := newSpeedSimulation(5, true, 3)
	s.run(20*time.Second, nil)
	t.Log(s)
	slow := 0
	for i, e := range s.engines {
		if i%3 == 2 {
			assert.Assert(t, s.longOn[e.id] > 0, "%s got nothing", e.id)
			slow += s.longOn[e.id]
		}
	}
	before := newSpeedSimulation(5, false, 3)
	before.run(20*time.Second, nil)
	t.Log("before:", before)
	assert.Assert(t, s.ended*100 >= before.ended*97, "before: %v, after: %v", before, s)
	assert.Assert(t, slow > 0)
}

// Guards against 63 nodes that place their requests on the fastest engine at the same moment, because all know the same figures.
func TestFastestEngineIsNotFlooded(t *testing.T) {
	s := newSpeedSimulation(6, true, 0.5)
	s.run(20*time.Second, nil)
	chosen := map[string]int{}
	for _, n := range s.nodes {
		for _, e := range n.table.endpoints {
			e.others, e.own = Load{}, Load{}
		}
		// Everybody knows that engine e00 is by far the fastest.
		n.table.endpoints["e00"].speed.SetOthers(s.now, -130*20, 200)
		placed, refusal := n.table.Place(s.now, Request{Service: "s", PromptTokens: 3079, Tokens: 3827})
		assert.Equal(t, refusal, Refusal(""))
		chosen[placed.Endpoint.ID]++
	}
	for id, n := range chosen {
		assert.Assert(t, n <= 16, "%d of 63 nodes chose %s", n, id)
	}
	assert.Assert(t, chosen["e00"] >= 2, "%d", chosen["e00"])
}
