package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/rollout"
)

var testOrder = rollout.Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Revision: 10}

// newRolloutTable returns a table of 10 engines of version v1, 10 of v2 and 2 of v3, with an order for v2 and a plan in a phase.
func newRolloutTable(seed uint64, p rollout.Phase) (*Table, *fleet.Snapshot) {
	var ids []string
	for i := range 22 {
		ids = append(ids, fmt.Sprintf("e%02d", i))
	}
	_, s := newTable(0, ids...)
	for i := range s.Endpoints["s"] {
		s.Endpoints["s"][i].Version = []string{"v1", "v2", "v3"}[i/10]
	}
	s.Orders = map[string]rollout.Order{"s": testOrder}
	s.Plans = map[string]fleet.StoredPlan{}
	if p != rollout.NoPhase {
		s.Plans["s"] = fleet.StoredPlan{Plan: &rollout.Plan{Order: testOrder, Phase: p, OldVersions: []string{"v1"}}}
	}
	with := params
	with.CanaryShare = 0.08
	t := NewTable(start.Add(-time.Hour), with, rand.New(rand.NewPCG(seed, 2)))
	t.SetSnapshot(start, s)
	return t, s
}

// sendsByVersion places and ends requests and returns their numbers by version.
func sendsByVersion(t *Table, count int, r Request) map[string]int {
	sends := map[string]int{}
	for range count {
		placed, refusal := t.Place(start, r)
		if refusal != "" {
			sends[string(refusal)]++
			continue
		}
		sends[placed.Endpoint.Version]++
		t.Release(start, placed.Run, Succeeded)
	}
	return sends
}

// Guards against choices that differ from those before roll-outs although there is no order: by the versions of endpoints, or by
// another use of the random source.
func TestVersionsDoNotMatterWithoutOrder(t *testing.T) {
	choices := func(versions bool) []string {
		_, s := newRolloutTable(7, rollout.NoPhase)
		s.Orders = nil
		for i := range s.Endpoints["s"] {
			if !versions {
				s.Endpoints["s"][i].Version = ""
			}
		}
		table := NewTable(start.Add(-time.Hour), params, rand.New(rand.NewPCG(7, 2)))
		table.SetNodes(20)
		table.SetSnapshot(start, s)
		table.SetStateAge(time.Hour)
		var chosen []string
		for range 300 {
			r := request(100)
			r.Backup = true
			placed, refusal := table.Place(start, r)
			assert.Assert(t, placed.Rollout == nil)
			chosen = append(chosen, placed.Endpoint.ID+placed.Backup.ID+string(refusal))
		}
		return chosen
	}
	assert.DeepEqual(t, choices(true), choices(false))
}

// Guards against requests on versions that the phase, or the state of the order, does not allow.
func TestPhaseDecidesWhichVersionsAreUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		phase  rollout.Phase
		change func(t *Table, s *fleet.Snapshot)
		// used are the versions that get requests.
		used []string
	}{
		{"ordered", rollout.NoPhase, nil, []string{"v1", "v3"}},
		{"observing", rollout.Observing, nil, []string{"v1", "v2"}},
		{"promoting", rollout.Promoting, nil, []string{"v2"}},
		{"completed", rollout.Completed, nil, []string{"v2", "v3"}},
		{"reverted", rollout.Reverted, nil, []string{"v1"}},
		{"observing, stale", rollout.Observing, func(t *Table, _ *fleet.Snapshot) { t.SetStateAge(3 * time.Second) }, []string{"v1"}},
		{"promoting, stale", rollout.Promoting, func(t *Table, _ *fleet.Snapshot) { t.SetStateAge(time.Hour) }, []string{"v2"}},
		{"observing, stopped", rollout.Observing, func(t *Table, _ *fleet.Snapshot) { t.SetRolloutStopped("s", 10, true) }, []string{"v1"}},
		{"promoting, stopped", rollout.Promoting, func(t *Table, _ *fleet.Snapshot) { t.SetRolloutStopped("s", 10, true) }, []string{"v1"}},
		{"stopped for another order", rollout.Promoting, func(t *Table, _ *fleet.Snapshot) { t.SetRolloutStopped("s", 9, true) }, []string{"v2"}},
		{"order removed", rollout.Observing, func(_ *Table, s *fleet.Snapshot) { s.Orders = nil }, []string{"v1"}},
		{"order removed, promoting", rollout.Promoting, func(_ *Table, s *fleet.Snapshot) { s.Orders = nil }, []string{"v1"}},
		{"order removed, completed", rollout.Completed, func(_ *Table, s *fleet.Snapshot) { s.Orders = nil }, []string{"v2", "v3"}},
		{"order removed, reverted", rollout.Reverted, func(_ *Table, s *fleet.Snapshot) { s.Orders = nil }, []string{"v1", "v3"}},
		{"replaced", rollout.Observing, func(_ *Table, s *fleet.Snapshot) { reorder(s, "v3") }, []string{"v1"}},
		{"replaced, promoting", rollout.Promoting, func(_ *Table, s *fleet.Snapshot) { reorder(s, "v3") }, []string{"v1"}},
		{"next order", rollout.Completed, func(_ *Table, s *fleet.Snapshot) { reorder(s, "v3") }, []string{"v2"}},
		{"repeated", rollout.Promoting, func(_ *Table, s *fleet.Snapshot) { reorder(s, "v2") }, []string{"v2"}},
		{"repeated after reverted", rollout.Reverted, func(_ *Table, s *fleet.Snapshot) { reorder(s, "v2") }, []string{"v1"}},
		{"no old versions", rollout.Observing, func(_ *Table, s *fleet.Snapshot) { s.Plans["s"].Plan.OldVersions = nil }, []string{"v1", "v2", "v3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, s := newRolloutTable(1, c.phase)
			if c.change != nil {
				c.change(table, s)
				table.SetSnapshot(start, s)
			}
			sends := sendsByVersion(table, 500, request(10))
			assert.Equal(t, len(sends), len(c.used), "%v", sends)
			for _, version := range c.used {
				assert.Assert(t, sends[version] > 0, "%v", sends)
			}
		})
	}
}

// reorder replaces the order in force by a newer one.
func reorder(s *fleet.Snapshot, target string) {
	s.Orders = map[string]rollout.Order{"s": {Service: "s", Target: target, Duration: time.Minute, Revision: 20}}
}

// Guards against a sum of the sends of many nodes to the target that exceeds the bound of 0.1 of all requests plus 50, also where
// processes restart, and against a target that gets nothing.
func TestExposureHoldsOverManyNodes(t *testing.T) {
	for _, nodes := range []int{1, 72, 400} {
		total, target := 0, 0
		for i := range nodes {
			for process := range 2 {
				table, s := newRolloutTable(uint64(2*i+process), rollout.Observing)
				if process == 0 {
					// The first process of a node has run before the order.
					ordered := *s
					s.Orders = nil
					table = NewTable(start.Add(-time.Hour), table.params, rand.New(rand.NewPCG(uint64(i), 3)))
					table.SetNodes(nodes)
					table.SetSnapshot(start, s)
					table.SetSnapshot(start, &ordered)
				}
				table.SetNodes(nodes)
				sends := sendsByVersion(table, 40, request(10))
				total, target = total+40, target+sends["v2"]
			}
		}
		assert.Assert(t, target > 0 && float64(target) <= 0.1*float64(total)+50, "%d of %d requests at %d nodes", target, total, nodes)
	}
}

// Guards against a bound that starts anew with each change of the endpoints.
func TestExposureOutlastsSnapshots(t *testing.T) {
	table, s := newRolloutTable(1, rollout.Observing)
	target := 0
	for range 50 {
		table.SetSnapshot(start, s)
		target += sendsByVersion(table, 20, request(10))["v2"]
	}
	assert.Assert(t, target > 50 && target <= 100, "%d of 1000", target)
}

// Guards against a request that is refused although the old version could serve it, and against a target that gets more than its
// share because the old endpoints are full.
func TestOldVersionServesWhatTheTargetCannot(t *testing.T) {
	table, s := newRolloutTable(1, rollout.Observing)
	for i := range s.Endpoints["s"] {
		s.Endpoints["s"][i].Leaving = s.Endpoints["s"][i].Version == "v2"
	}
	table.SetSnapshot(start, s)
	assert.DeepEqual(t, sendsByVersion(table, 100, request(10)), map[string]int{"v1": 100})

	table, _ = newRolloutTable(1, rollout.Observing)
	sends := map[string]int{}
	for range 200 {
		placed, refusal := table.Place(start, request(10))
		sends[placed.Endpoint.Version+string(refusal)]++
		if placed.Endpoint.Version == "v2" {
			table.Release(start, placed.Run, Succeeded)
		}
	}
	assert.Equal(t, sends["v1"], 80, "%v", sends)
	assert.Assert(t, sends["v2"] <= 16, "%v", sends)
}

// Guards against a share of the target that lands on all of its endpoints, so that a fault under load is not seen, or on different
// ones for each node.
func TestCanaryShareGoesToTheSameEndpoints(t *testing.T) {
	used := map[string]int{}
	for seed := range uint64(30) {
		table, _ := newRolloutTable(seed, rollout.Observing)
		for range 200 {
			placed, _ := table.Place(start, request(10))
			if placed.Endpoint.Version == "v2" {
				used[placed.Endpoint.ID]++
			}
			table.Release(start, placed.Run, Succeeded)
		}
	}
	assert.Equal(t, len(used), 1, "%v", used)
}

// Guards against a backup or a copy at an endpoint that the roll-out does not allow, from which the run could not go on.
func TestCopiesStayInTheGroupOfTheRun(t *testing.T) {
	for phase, want := range map[rollout.Phase]map[string]bool{
		rollout.Observing: {"v1 v1": true, "v2 v2": true}, rollout.Promoting: {"v2 v2": true}, rollout.Reverted: {"v1 v1": true},
		rollout.Completed: {"v2 v2": true, "v2 v3": true, "v3 v2": true, "v3 v3": true},
	} {
		table, _ := newRolloutTable(1, phase)
		for range 300 {
			r := request(10)
			r.Backup = true
			placed, refusal := table.Place(start, r)
			assert.Equal(t, refusal, Refusal(""))
			assert.Assert(t, want[placed.Endpoint.Version+" "+placed.Backup.Version], "%s: %s %s", phase, placed.Endpoint.Version, placed.Backup.Version)
			table.Release(start, placed.Run, Succeeded)
		}
	}
	// A run that was placed on the old version before the phase changed is copied to the target.
	table, _ := newRolloutTable(1, rollout.Promoting)
	copied := request(10)
	copied.Resumed, copied.CopyPending, copied.Group = true, true, rollout.OldGroup
	placed, refusal := table.Place(start, copied)
	assert.Equal(t, refusal, Refusal(""))
	assert.Equal(t, placed.Endpoint.Version, "v2")
	// A run of the target that goes on from its copy is not lost because the share is used up.
	table, _ = newRolloutTable(1, rollout.Observing)
	table.SetStateAge(time.Hour)
	resumed := request(10)
	resumed.Resumed, resumed.RequiredEndpoint, resumed.Group = true, "e10", rollout.TargetGroup
	placed, refusal = table.Place(start, resumed)
	assert.Equal(t, refusal, Refusal(""))
	assert.Equal(t, placed.Endpoint.ID, "e10")
}
