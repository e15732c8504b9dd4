package edge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/test/harness"
)

// exposureBound returns the number of requests that a version which is not known to be good may get.
func exposureBound(arrivals map[string]int) float64 {
	total := 0
	for _, count := range arrivals {
		total += count
	}
	return 0.1*float64(total) + 50
}

// observe orders a roll-out of the desks to v2 and waits until v2 gets its share.
func observe(t *testing.T, s *harness.EdgeSite) {
	t.Helper()
	s.OrderRollout("desk", "v2", time.Minute)
	s.Eventually("the roll-out is in progress", func() bool { return s.RolloutStatus("desk") == "in_progress v2" })
	time.Sleep(time.Second)
	inProgress := time.Now()
	s.Eventually("the target gets requests", func() bool { return arrivalsByVersion(t, s, "desk", inProgress)["v2"] > 0 })
}

// Guards against a deployment without roll-outs whose nodes act on an order.
func TestOrderWithoutTheFeatureChangesNothing(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	addVersions(s)
	s.Start()
	s.OrderRollout("desk", "v2", 2*time.Second)
	begun := time.Now()
	for range 100 {
		assert.Equal(t, lookupStatus(t, s, s.Nodes[0], "r"), http.StatusOK)
	}
	arrivals := arrivalsByVersion(t, s, "desk", begun)
	assert.Assert(t, arrivals["v1"] > 20 && arrivals["v2"] > 20, "%v", arrivals)
	entries, err := s.KV.Range(t.Context(), "azuredyke/rollout")
	assert.NilError(t, err)
	assert.Equal(t, len(entries.Entries), 0)
	assert.Equal(t, s.RolloutStatus("desk"), "")
}

// Guards against a version that gets requests before it has a plan, more than its share while it is observed, or none at all; and
// against a service without an order that is affected.
func TestTargetGetsItsShareWhileItIsObserved(t *testing.T) {
	s := startRolloutSite(t)
	startRolloutLoad(t, s)
	s.OrderRollout("desk", "v2", time.Minute)
	ordered := time.Now()
	s.Eventually("the roll-out is in progress", func() bool { return s.RolloutStatus("desk") == "in_progress v2" })
	time.Sleep(4 * time.Second)
	arrivals := arrivalsByVersion(t, s, "desk", ordered.Add(time.Second))
	assert.Assert(t, arrivals["v2"] > 0 && float64(arrivals["v2"]) <= exposureBound(arrivals), "%v", arrivals)
	others := arrivalsByVersion(t, s, "engines", ordered)
	assert.Assert(t, others["v1"] > 0 && others["v2"] > others["v1"]/4, "%v", others)
	overview := s.RolloutDecider().Rollouts()
	assert.Equal(t, len(overview), 1)
	assert.Equal(t, overview[0].Phase, "observing")
	assert.Assert(t, len(overview[0].Fleet) > 0 && overview[0].Unconfirmed == 3, "%+v", overview)
}

// Guards against a target that goes on to get requests after operators removed its order, or replaced it by another one.
func TestChangedOrderReturnsTheTraffic(t *testing.T) {
	for name, change := range map[string]func(*harness.EdgeSite){
		"reverted v2":    func(s *harness.EdgeSite) { s.RemoveRollout("desk") },
		"in_progress v3": func(s *harness.EdgeSite) { s.OrderRollout("desk", "v3", time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			s := startRolloutSite(t)
			startRolloutLoad(t, s)
			observe(t, s)
			change(s)
			s.Eventually("the change is in the status", func() bool { return s.RolloutStatus("desk") == name })
			time.Sleep(1500 * time.Millisecond)
			later := time.Now()
			time.Sleep(time.Second)
			arrivals := arrivalsByVersion(t, s, "desk", later)
			assert.Assert(t, arrivals["v1"] > 0 && arrivals["v2"] == 0, "%v", arrivals)
		})
	}
}

// Guards against an order that cannot be read and that ends the roll-out in progress, or stops the node.
func TestUnreadableOrderLeavesTheRolloutInProgress(t *testing.T) {
	s := startRolloutSite(t)
	startRolloutLoad(t, s)
	s.OrderRollout("desk", "v2", time.Minute)
	s.Eventually("the roll-out is in progress", func() bool { return s.RolloutStatus("desk") == "in_progress v2" })
	for _, value := range []string{"{", `{"service":"desk","target":"v3"}`, `{"service":"desk","target":"v3","durationS":-1}`} {
		s.PutRaw("op/rollout/desk", []byte(value))
	}
	time.Sleep(2 * time.Second)
	later := time.Now()
	time.Sleep(2 * time.Second)
	assert.Equal(t, s.RolloutStatus("desk"), "in_progress v2")
	assert.Assert(t, arrivalsByVersion(t, s, "desk", later)["v2"] > 0)
	assert.Equal(t, strings.Count(s.Nodes[0].Log(), `"msg":"config: entry not usable"`), 3)
}

// Guards against a roll-out that nobody decides after its decider was lost, and against a decider that acts beyond its lease.
func TestDeciderIsReplaced(t *testing.T) {
	for name, disturb := range map[string]func(*harness.EdgeNode){
		"killed":                 func(n *harness.EdgeNode) { n.Kill() },
		"paused":                 func(n *harness.EdgeNode) { n.Pause() },
		"cut off from the store": func(n *harness.EdgeNode) { n.StoreLink.Stall() },
	} {
		t.Run(name, func(t *testing.T) {
			s := startRolloutSite(t)
			s.OrderRollout("desk", "v2", time.Minute)
			s.Eventually("the roll-out is in progress", func() bool { return s.RolloutStatus("desk") == "in_progress v2" })
			first := s.RolloutDecider()
			disturb(first)
			s.OrderRollout("desk", "v3", time.Minute)
			s.Eventually("another decider has written the next plan", func() bool { return s.RolloutStatus("desk") == "in_progress v3" })
			second := s.RolloutDecider()
			assert.Assert(t, second != nil && second != first)
			if name == "paused" {
				first.Continue()
				s.Eventually("the first one has noticed", func() bool { return strings.Contains(first.Log(), "this node is no longer the decider") })
			}
			assert.Equal(t, s.RolloutStatus("desk"), "in_progress v3")
		})
	}
}

// Guards against a plan that is never written, or a second decider, because the answers of the store are lost.
func TestRolloutWithLostAnswers(t *testing.T) {
	s := startRolloutSite(t)
	s.Store.SetLoseAnswers(true)
	s.OrderRollout("desk", "v2", time.Minute)
	time.Sleep(3 * time.Second)
	s.Store.SetLoseAnswers(false)
	s.Eventually("the roll-out is in progress", func() bool { return s.RolloutStatus("desk") == "in_progress v2" })
	s.Store.SetLoseAnswers(true)
	s.OrderRollout("desk", "v3", time.Minute)
	s.Eventually("the next plan is written", func() bool { return s.RolloutStatus("desk") == "in_progress v3" })
	s.Store.SetLoseAnswers(false)
	s.Eventually("the lost answer is resolved", func() bool { return strings.Contains(s.RolloutDecider().Log(), "lost answer resolved") })
}

// Guards against a target that goes on to get requests while nobody can write that it is to be reverted.
func TestTargetGetsNothingWhileTheStoreIsSilent(t *testing.T) {
	s := startRolloutSite(t)
	load := startRolloutLoad(t, s)
	observe(t, s)
	s.RolloutDecider().StoreLink.Stall()
	time.Sleep(2500 * time.Millisecond)
	silent := time.Now()
	time.Sleep(300 * time.Millisecond)
	arrivals := arrivalsByVersion(t, s, "desk", silent)
	assert.Assert(t, arrivals["v1"] > 0 && arrivals["v2"] == 0, "%v", arrivals)
	s.Eventually("the target gets requests under another decider", func() bool {
		return arrivalsByVersion(t, s, "desk", time.Now().Add(-time.Second))["v2"] > 0
	})
	assert.Equal(t, len(load.lostStreams()), 0)
}
