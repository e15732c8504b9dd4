package edge

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/metrics"
	"azuredyke.dev/azuredyke/common/settings"
	decision "azuredyke.dev/azuredyke/decision/rollout"
	"azuredyke.dev/azuredyke/platform/records"
	"azuredyke.dev/azuredyke/service/rollout"
)

// rolloutEntries returns an order, an order that cannot be used, and a plan.
func rolloutEntries() []backing.Entry {
	plan := &decision.Plan{
		Order: decision.Order{Service: "s", Target: "v2", Duration: 1, Revision: 2}, Phase: decision.Promoting, OldVersions: []string{"v1"},
	}
	return []backing.Entry{
		{Key: "op/rollout/s", Value: []byte(`{"service":"s","target":"v2","durationS":12}`), ModRevision: 2},
		{Key: "op/rollout/t", Value: []byte(`{"target":"v2"}`), ModRevision: 3},
		{Key: rollout.PlanPrefix + "s", Value: rollout.EncodePlan(plan), ModRevision: 4},
		{Key: rollout.PlanPrefix + "t", Value: []byte("no plan"), ModRevision: 5},
	}
}

// Guards against orders and plans that do not reach the placement, and orders that are ignored without a count.
func TestViewFollowsOrdersAndPlans(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	v := newView(zap.NewNop(), Member{ID: "self"}, records.DecodeChange)
	v.rollouts, v.ordersIgnored = true, scope.Counter("ignored")
	storeReadMessage{result: backing.RangeResult{Entries: rolloutEntries(), Revision: 5}}.apply(v)
	snapshot := v.current.Load().Fleet
	assert.Equal(t, len(snapshot.Orders), 1)
	assert.Equal(t, snapshot.Orders["s"].Target, "v2")
	assert.Equal(t, len(snapshot.Plans), 1)
	assert.Equal(t, snapshot.Plans["s"].Plan.Phase, decision.Promoting)
	assert.Equal(t, snapshot.Plans["s"].Revision, int64(4))
	assert.Equal(t, scope.Snapshot().Counters()["ignored+"].Value(), int64(1))
}

// Guards against a deployment without roll-outs in which orders or plans in the store change the choice of endpoints, start tasks,
// or make calls and messages.
func TestNothingOfRolloutsWithoutTheFeature(t *testing.T) {
	v := newView(zap.NewNop(), Member{ID: "self"}, records.DecodeChange)
	storeReadMessage{result: backing.RangeResult{Entries: rolloutEntries(), Revision: 5}}.apply(v)
	snapshot := v.current.Load().Fleet
	assert.Equal(t, len(snapshot.Orders)+len(snapshot.Plans), 0)

	registry := metrics.NewRegistry()
	defer func() { _ = registry.Close() }()
	off := New(zap.NewNop(), settings.Edge{Node: settings.Node{ID: "self"}}, Dependencies{Metrics: registry})
	assert.Assert(t, off.rollouts == nil && off.decider == nil && off.server.rollouts == nil && !off.view.rollouts)
	on := New(zap.NewNop(), settings.Edge{Node: settings.Node{ID: "self"}, Features: settings.Features{Rollouts: true}}, Dependencies{Metrics: registry})
	assert.Assert(t, on.rollouts != nil && on.decider != nil && on.server.rollouts != nil && on.view.rollouts)
	assert.Equal(t, len(on.tasks()), len(off.tasks())+2)
}
