package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// rolloutDuration is the duration of the orders that are decided.
const rolloutDuration = 12 * time.Second

// awaitStatus waits for the final status of a roll-out and returns the time at which it was seen.
func awaitStatus(t *testing.T, s *harness.EdgeSite, service, want string, deadline time.Time) time.Time {
	t.Helper()
	s.Eventually("the roll-out is "+want, func() bool { return s.RolloutStatus(service) == want })
	seen := time.Now()
	assert.Assert(t, !seen.After(deadline), "%v after the deadline", seen.Sub(deadline))
	return seen
}

// Guards against a good version that is not completed in time, and against streams that are lost when the old endpoints stop at
// completed, without draining.
func TestGoodVersionCompletesAndNoStreamIsLost(t *testing.T) {
	s := harness.NewEdgeSite(t, 3, harness.EnableRollouts)
	for _, version := range []string{"v1", "v2"} {
		for i := range 3 {
			s.AddWorkerWith(fmt.Sprintf("engine-%s-%d", version, i), true, func(w *workers.Worker) { w.Version, w.EventsOf = version, rolloutEvents })
		}
	}
	s.AddWorker("desk-1", false)
	s.Start()
	load := startRolloutLoad(t, s)
	time.Sleep(2 * time.Second)
	s.OrderRollout("engines", "v2", rolloutDuration)
	completed := awaitStatus(t, s, "engines", "completed v2", time.Now().Add(rolloutDuration))
	for i := range 3 {
		id := fmt.Sprintf("engine-v1-%d", i)
		s.KillWorker(id)
		s.RemoveWorkerEntry(id)
	}
	time.Sleep(2 * time.Second)
	load.end()
	assert.DeepEqual(t, load.lostStreams(), []string(nil))
	arrivals := arrivalsByVersion(t, s, "engines", completed)
	assert.Assert(t, arrivals["v2"] > 0 && arrivals["v1"] == 0, "%v", arrivals)
}

// Guards against a failing version that is not reverted, gets more than its bound, or gets requests long after its 50th bad answer.
func TestNodesRevertAFailingVersion(t *testing.T) {
	s := startRolloutSite(t)
	startRolloutLoad(t, s)
	time.Sleep(time.Second)
	for i := range 2 {
		s.Fleet.SetBehaviour(t.Context(), fmt.Sprintf("desk-v2-%d", i), workers.Fail)
	}
	ordered := time.Now()
	s.OrderRollout("desk", "v2", rolloutDuration)
	awaitStatus(t, s, "desk", "reverted v2", ordered.Add(rolloutDuration))
	time.Sleep(time.Second)
	reverted := time.Now()
	time.Sleep(2 * time.Second)
	assert.Equal(t, arrivalsByVersion(t, s, "desk", reverted)["v2"], 0)
	// The nodes see the order within a second; until then every version gets requests.
	arrivals := arrivalsByVersion(t, s, "desk", ordered.Add(time.Second))
	assert.Assert(t, float64(arrivals["v2"]) <= exposureBound(arrivals), "%v", arrivals)
}

// Guards against a failing version that is completed, or never reverted, because its decider is lost while the verdict is due.
func TestFailingVersionIsRevertedWithoutItsDecider(t *testing.T) {
	for name, disturb := range map[string]func(*harness.EdgeNode){
		"killed": func(n *harness.EdgeNode) { n.Kill() },
		"paused": func(n *harness.EdgeNode) { n.Pause() },
		"silent": func(n *harness.EdgeNode) { n.StoreLink.Stall() },
	} {
		t.Run(name, func(t *testing.T) {
			s := startRolloutSite(t)
			startRolloutLoad(t, s)
			ordered := time.Now()
			s.OrderRollout("desk", "v2", rolloutDuration)
			s.Eventually("the roll-out is in progress", func() bool { return s.RolloutStatus("desk") == "in_progress v2" })
			for i := range 2 {
				s.Fleet.SetBehaviour(t.Context(), fmt.Sprintf("desk-v2-%d", i), workers.Fail)
			}
			time.Sleep(700 * time.Millisecond)
			disturb(s.RolloutDecider())
			awaitStatus(t, s, "desk", "reverted v2", ordered.Add(rolloutDuration))
		})
	}
}

// Guards against a target without endpoints that is completed, which stops the whole service.
func TestTargetWithoutEndpointsIsReverted(t *testing.T) {
	s := startRolloutSite(t)
	startRolloutLoad(t, s)
	ordered := time.Now()
	s.OrderRollout("desk", "v9", rolloutDuration)
	awaitStatus(t, s, "desk", "reverted v9", ordered.Add(rolloutDuration))
	time.Sleep(time.Second)
	later := time.Now()
	time.Sleep(time.Second)
	assert.Assert(t, arrivalsByVersion(t, s, "desk", later)["v1"] > 0)
}
