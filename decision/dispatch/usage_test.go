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

// Guards against a mean load without the requests of the other nodes, because their load is cleared before it is replaced.
func TestUsageCountsOthersLoadUntilItIsReplaced(t *testing.T) {
	table, _ := newTable(0, "a")
	loads := []Load{{Endpoint: "a", InFlight: 4, Tokens: 100}}
	table.SetOthersLoad(start, loads)
	table.SetOthersLoad(start.Add(time.Second), loads)
	assert.Equal(t, table.endpoints["a"].usage.inFlight, 4.0)
	table.ExpireOthersLoad(start.Add(time.Second + othersLoadExpiry))
	assert.Equal(t, table.endpoints["a"].usage.inFlight, 4*(1+othersLoadExpiry.Seconds()))
}

// Guards against shares of workspaces that are too small after ordered admission was enabled while runs were open, and against reports
// of workspaces that have only plain calls.
func TestUsageOfWorkspacesSurvivesReload(t *testing.T) {
	table, s := newOrderedTable("a")
	p := table.params
	p.OrderedAdmission = false
	table.SetParams(p)
	r := Request{Service: "s", Workspace: "w", PromptTokens: 70, Tokens: 100}
	early, _ := table.Place(start, r)
	p.OrderedAdmission = true
	table.SetParams(p)
	table.SetSnapshot(start, s)
	_, refusal := table.Place(start, r)
	assert.Equal(t, refusal, Refusal(""))
	table.Release(start, early.Run, Succeeded)
	assert.Equal(t, table.usage["w"], 100)
	_, refusal = table.Place(start, Request{Service: "s", Workspace: "plain"})
	assert.Equal(t, refusal, Refusal(""))
	assert.Equal(t, len(NewQueue(table).Pressure(start).Usage), 1)
}
