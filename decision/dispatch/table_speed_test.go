package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against measured times that do not lead to any choice: long runs must prefer the engine that takes less time for each
// event, and a prompt the engine that computes it first.
func TestLongRunsPreferFasterEngine(t *testing.T) {
	table, _ := newTable(0, "fast", "slow")
	p := params
	p.EndpointSpeed = true
	table.SetParams(p)
	now := start
	for range 20 {
		for id, interval := range map[string]time.Duration{"fast": 20, "slow": 50} {
			r := request(100)
			r.RequiredEndpoint = id
			placed, refusal := table.Place(now, r)
			assert.Equal(t, refusal, Refusal(""))
			assert.Assert(t, placed.BySpeed)
			table.RecordMeasurement(now.Add(200*time.Millisecond), placed.Run, Measurement{FirstEvent: 200 * time.Millisecond})
			table.RecordMeasurement(now.Add(700*time.Millisecond), placed.Run, Measurement{Events: 10, Elapsed: 10 * interval * time.Millisecond})
			table.Release(now.Add(700*time.Millisecond), placed.Run, Succeeded)
		}
		now = now.Add(time.Second)
	}
	chosen := map[string]int{}
	for range 100 {
		r := Request{Service: "s", PromptTokens: 300, Tokens: 1000}
		placed, _ := table.Place(now, r)
		chosen[placed.Endpoint.ID]++
		assert.Assert(t, placed.Slowdown > 0.25 && placed.Slowdown < 4)
		table.Release(now, placed.Run, Cancelled)
	}
	assert.Equal(t, chosen["fast"], 100)
	// Prompts that wait at the fast engine turn the choice for a short answer.
	busy := Request{Service: "s", PromptTokens: 4000, Tokens: 4010, RequiredEndpoint: "fast"}
	_, refusal := table.Place(now, busy)
	assert.Equal(t, refusal, Refusal(""))
	placed, _ := table.Place(now, Request{Service: "s", PromptTokens: 2000, Tokens: 2010})
	assert.Equal(t, placed.Endpoint.ID, "slow")
}

// Guards against a node that learns the speed of an engine only by running on it, against nodes without the feature that send or
// use speeds, and against a speed that is shared with every measurement.
func TestSpeedIsSharedBetweenNodes(t *testing.T) {
	p := params
	p.EndpointSpeed = true
	measuring, _ := newTable(0, "fast", "slow")
	measuring.SetParams(p)
	now := start
	for range 30 {
		for id, interval := range map[string]time.Duration{"fast": 20, "slow": 50} {
			r := request(100)
			r.RequiredEndpoint = id
			placed, _ := measuring.Place(now, r)
			measuring.RecordFirstEvent(placed.Run)
			measuring.RecordMeasurement(now.Add(500*time.Millisecond), placed.Run, Measurement{Events: 10, Elapsed: 10 * interval * time.Millisecond})
			measuring.Release(now.Add(500*time.Millisecond), placed.Run, Succeeded)
		}
		now = now.Add(time.Second)
	}
	measuring.OwnLoads()
	assert.Assert(t, !measuring.OwnLoadsChanged())
	measuring.ShareSpeeds(now)
	loads := measuring.OwnLoads()
	assert.Equal(t, len(loads), 2)
	assert.Assert(t, loads[0].SpeedSum < 0 && loads[1].SpeedSum > 0 && loads[0].SpeedCount > 0)
	measuring.ShareSpeeds(now.Add(time.Second))
	assert.Assert(t, !measuring.OwnLoadsChanged())

	learning, snapshot := newTable(0)
	learning.SetParams(p)
	learning.SetOthersLoad(now, loads)
	_, listed := newTable(0, "fast", "slow")
	learning.SetSnapshot(now, listed)
	learning.UpdateOthersLoad(now, loads)
	assert.Assert(t, learning.endpoints["slow"].speed.Learned(now) > 1.8*learning.endpoints["fast"].speed.Learned(now))
	// The short prompt that waits at the fast engine outweighs its faster start, but not its shorter intervals.
	_, refusal := learning.Place(now, Request{Service: "s", PromptTokens: 100, Tokens: 108, RequiredEndpoint: "fast"})
	assert.Equal(t, refusal, Refusal(""))
	short, _ := learning.Place(now, Request{Service: "s", PromptTokens: 1, Tokens: 9})
	assert.Equal(t, short.Endpoint.ID, "slow")
	learning.Release(now, short.Run, Cancelled)
	for range 20 {
		placed, refusal := learning.Place(now, Request{Service: "s", PromptTokens: 1, Tokens: 700})
		assert.Equal(t, refusal, Refusal(""))
		assert.Equal(t, placed.Endpoint.ID, "fast")
		learning.Release(now, placed.Run, Cancelled)
	}
	// The speed outlasts the load of nodes that can't be reached.
	later := now.Add(othersLoadExpiry)
	learning.ExpireOthersLoad(later)
	assert.Equal(t, learning.endpoints["slow"].others, Load{})
	assert.Assert(t, learning.endpoints["slow"].speed.Learned(later) > 1.5*learning.endpoints["fast"].speed.Learned(later))
	learning.SetSnapshot(later, snapshot)

	// A node without the setting uses the speeds that others share, and shares none before it has measured some.
	hearing, _ := newTable(0, "fast", "slow")
	hearing.SetOthersLoad(now, loads)
	hearing.ShareSpeeds(now)
	assert.Assert(t, hearing.endpoints["slow"].speed.Learned(now) > 1.5*hearing.endpoints["fast"].speed.Learned(now))
	assert.Equal(t, len(hearing.OwnLoads()), 0)
	measuring.SetParams(params)
	measuring.ShareSpeeds(now)
	assert.Equal(t, len(measuring.OwnLoads()), 0)
}
