package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a service that is placed by speed although neither its endpoints nor the settings ask for it, and against nodes that
// ignore the speeds that the endpoints of a service state, or that other nodes have measured since.
func TestStatedSpeedsAreUsedWithoutTheSetting(t *testing.T) {
	table, _ := newTable(0, "a", "b")
	place := func() Placement {
		placed, refusal := table.Place(start, Request{Service: "s", PromptTokens: 10, Tokens: 100})
		assert.Equal(t, refusal, Refusal(""))
		return placed
	}
	placed := place()
	table.RecordMeasurement(start, placed.Run, Measurement{FirstEvent: 100})
	assert.Assert(t, !placed.BySpeed && !place().BySpeed)
	table.RecordMeasurement(start, placed.Run, Measurement{State: 1})
	assert.Assert(t, place().BySpeed)
	assert.Assert(t, !table.choosesBySpeed("another"))

	table, _ = newTable(0, "a", "b")
	table.UpdateOthersLoad(start, []Load{{Endpoint: "a", InFlight: 1}})
	assert.Assert(t, !place().BySpeed)
	table.UpdateOthersLoad(start, []Load{{Endpoint: "a", SpeedCount: 3}})
	assert.Assert(t, place().BySpeed)
}
