package gather

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Guards against a node that counts its own requests twice, and against load of nodes that are gone.
func TestOthersLeaveOutTheNodeAndTheSilent(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSums()
	s.Report(now, "a", []dispatch.Load{{Endpoint: "x", InFlight: 1, Tokens: 10}})
	s.Report(now, "b", []dispatch.Load{{Endpoint: "x", InFlight: 2, Tokens: 20}, {Endpoint: "y", InFlight: 3}})
	s.DataCentre(now, "west", []dispatch.Load{{Endpoint: "x", InFlight: 4, Prefill: 7}})
	assert.DeepEqual(t, s.Others(now, "a"), []dispatch.Load{{Endpoint: "x", InFlight: 6, Tokens: 20, Prefill: 7}, {Endpoint: "y", InFlight: 3}})
	assert.DeepEqual(t, s.Own(now), []dispatch.Load{{Endpoint: "x", InFlight: 3, Tokens: 30}, {Endpoint: "y", InFlight: 3}})
	s.Report(now.Add(silence+time.Second), "a", nil)
	assert.Equal(t, len(s.Others(now.Add(silence+time.Second), "a")), 0)
}

// Guards against two nodes that disagree on who relays.
func TestRelaysDoNotDependOnTheOrder(t *testing.T) {
	assert.DeepEqual(t, Relays([]string{"c", "a", "b"}), Relays([]string{"b", "c", "a"}))
	assert.DeepEqual(t, Relays([]string{"c", "a", "b"}), []string{"a", "b"})
	assert.Equal(t, len(Relays(nil)), 0)
}
