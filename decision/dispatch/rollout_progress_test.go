package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// Guards against a node that confirms a phase while its requests still run on old endpoints.
func TestProgressCountsRunsOnOldEndpoints(t *testing.T) {
	table, s := newRolloutTable(1, rollout.NoPhase)
	first, _ := table.Place(start, request(10))
	s.Plans["s"] = fleet.StoredPlan{Plan: &rollout.Plan{Order: testOrder, Phase: rollout.Promoting, OldVersions: []string{"v1", "v3"}}}
	table.SetSnapshot(start, s)
	assert.Assert(t, !table.RolloutAllowsRuns("s", first.Endpoint.Version))
	assert.Assert(t, table.RolloutAllowsRuns("s", "v2"))
	assert.Assert(t, table.RolloutAllowsRuns("other", "v1"))
	assert.DeepEqual(t, table.RolloutProgress(), []RolloutProgress{{Service: "s", Revision: 10, Phase: rollout.Promoting, OldRuns: 1}})
	table.Release(start, first.Run, Succeeded)
	assert.Equal(t, table.RolloutProgress()[0].OldRuns, 0)
}
