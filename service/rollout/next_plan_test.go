package rollout

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// Guards against a plan that leaves a final phase of its order, starts anew where it is to go on, or lets a version serve as an old one
// that has been replaced or was never completed.
func TestNextPlanFollowsTheOrder(t *testing.T) {
	order := func(target string, revision int64) *rollout.Order {
		return &rollout.Order{Service: "s", Target: target, Duration: 1, Revision: revision}
	}
	plan := func(target string, revision int64, p rollout.Phase, old ...string) *rollout.Plan {
		return &rollout.Plan{Order: *order(target, revision), Phase: p, OldVersions: old}
	}
	versions := []string{"", "v1", "v2", "v3"}
	for _, c := range []struct {
		name    string
		order   *rollout.Order
		present *rollout.Plan
		want    *rollout.Plan
	}{
		{"nothing", nil, nil, nil},
		{"first", order("v2", 5), nil, plan("v2", 5, rollout.Observing, "", "v1", "v3")},
		{"same", order("v2", 5), plan("v2", 5, rollout.Observing, "v1"), nil},
		{"same, completed", order("v2", 5), plan("v2", 5, rollout.Completed, "v1"), nil},
		{"older", order("v2", 4), plan("v2", 5, rollout.Promoting, "v1"), nil},
		{"removed, observing", nil, plan("v2", 5, rollout.Observing, "v1"), plan("v2", 5, rollout.Reverted, "v1")},
		{"removed, promoting", nil, plan("v2", 5, rollout.Promoting, "v1"), plan("v2", 5, rollout.Reverted, "v1")},
		{"removed, completed", nil, plan("v2", 5, rollout.Completed, "v1"), nil},
		{"removed, reverted", nil, plan("v2", 5, rollout.Reverted, "v1"), nil},
		{"repeated, observing", order("v2", 6), plan("v2", 5, rollout.Observing, "v1"), plan("v2", 6, rollout.Observing, "v1")},
		{"repeated, promoting", order("v2", 6), plan("v2", 5, rollout.Promoting, "v1"), plan("v2", 6, rollout.Promoting, "v1")},
		{"repeated, completed", order("v2", 6), plan("v2", 5, rollout.Completed, "v1"), plan("v2", 6, rollout.Completed, "v1")},
		{"repeated, reverted", order("v2", 6), plan("v2", 5, rollout.Reverted, "v1"), plan("v2", 6, rollout.Observing, "v1")},
		{"replaced, observing", order("v3", 6), plan("v2", 5, rollout.Observing, "v1"), plan("v3", 6, rollout.Observing, "v1")},
		{"replaced, promoting", order("v3", 6), plan("v2", 5, rollout.Promoting, "v1"), plan("v3", 6, rollout.Observing, "v1")},
		{"after reverted", order("v3", 6), plan("v2", 5, rollout.Reverted, "v1"), plan("v3", 6, rollout.Observing, "v1")},
		{"after completed", order("v3", 6), plan("v2", 5, rollout.Completed, "", "v1"), plan("v3", 6, rollout.Observing, "v2")},
		{"back", order("v1", 6), plan("v2", 5, rollout.Completed, "", "v1"), plan("v1", 6, rollout.Observing, "v2", "v3")},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := nextPlan(c.order, c.present, versions)
			if next != nil {
				assert.Assert(t, next.Reason != "")
				next.Reason = ""
			}
			assert.DeepEqual(t, next, c.want)
		})
	}
}

// Guards against a stored plan that is taken for that of another service, or for one in an unknown phase.
func TestPlanIsDecoded(t *testing.T) {
	p := &rollout.Plan{
		Order: rollout.Order{Service: "s", Target: "v2", Duration: 12, Revision: 5}, Phase: rollout.Promoting, OldVersions: []string{"v1"},
		Reason: "r", Decider: "n", Term: 9,
	}
	decoded, err := DecodePlan("s", EncodePlan(p))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, p)
	_, err = DecodePlan("t", EncodePlan(p))
	assert.Assert(t, err != nil)
	p.Phase = 17
	_, err = DecodePlan("s", EncodePlan(p))
	assert.Assert(t, err != nil)
	_, err = DecodePlan("s", []byte("no plan"))
	assert.Assert(t, err != nil)
}
