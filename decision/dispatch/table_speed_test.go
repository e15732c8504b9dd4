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
			assert.Assert(t, placed.Measured)
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
