package gather

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Guards against updates that are sent only because a speed was measured, and against speeds that no update carries.
func TestSpeedGoesWithTheNextUpdate(t *testing.T) {
	r := NewReporter(1)
	r.Next(start)
	measured := dispatch.Load{Endpoint: "x", SpeedSum: -40, SpeedCount: 12}
	r.SetLoad(start, []dispatch.Load{measured})
	assert.Equal(t, r.Due(), start.Add(reportIdleInterval))
	u := r.Next(start.Add(reportIdleInterval))
	assert.DeepEqual(t, u.Loads, []dispatch.Load{measured})
	s := NewLoadSums(1)
	s.Next(start)
	s.ApplyNodeUpdate(start, "a", Update{Epoch: 1, Seq: 1, Full: true, Loads: u.Loads})
	s.ApplyNodeUpdate(start, "b", fullUpdate(1, dispatch.Load{Endpoint: "x", InFlight: 1, SpeedSum: 10, SpeedCount: 5}))
	s.ApplyDataCentreUpdate(start, "west", "r", fullUpdate(1, dispatch.Load{Endpoint: "x", SpeedSum: 7, SpeedCount: 7}))
	assert.DeepEqual(t, s.LoadOfOthers("b"), []dispatch.Load{{Endpoint: "x", SpeedSum: -33, SpeedCount: 19}})
	s.Next(start)
	s.ApplyNodeUpdate(start, "a", Update{Epoch: 1, Seq: 2, Full: true})
	assert.Equal(t, s.Due(), start.Add(relayIdleInterval))
	assert.DeepEqual(t, s.LoadOfOthers("b"), []dispatch.Load{{Endpoint: "x", SpeedSum: 7, SpeedCount: 7}})
}

// Guards against fields that enlarge the updates of nodes without the feature, and against more than 8 bytes for an endpoint.
func TestSpeedFieldsAreCompact(t *testing.T) {
	size := func(l dispatch.Load) int {
		data, err := cbor.Marshal(l)
		assert.NilError(t, err)
		return len(data)
	}
	load := dispatch.Load{Endpoint: "i-0123456789", InFlight: 4, Tokens: 14_000, Prefill: 3000}
	plain := size(load)
	assert.Equal(t, plain, 25)
	load.SpeedSum, load.SpeedCount = -900, 250
	assert.Assert(t, size(load) <= plain+8, "%d", size(load))
}

// Guards against a change of speed that is held back for ever by a node without requests.
func TestIdleNodeReportsSpeedWithinIdleInterval(t *testing.T) {
	r := NewReporter(1)
	now := start
	r.Next(now)
	r.SetLoad(now.Add(time.Millisecond), []dispatch.Load{{Endpoint: "x", SpeedSum: 1, SpeedCount: 10}})
	assert.Assert(t, !r.Due().After(now.Add(reportIdleInterval)))
}
