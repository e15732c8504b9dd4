package overload

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a blocked request that blocks one which needs less, and against less urgent requests that take what it waits for.
func TestScanKeepsRoomForMoreUrgentRequests(t *testing.T) {
	large := Shape{Service: "s", Rank: 1, Tokens: 4000, PromptTokens: 3000, FirstEventBy: after(1000)}
	small := Shape{Service: "s", Rank: 1, Tokens: 2000, PromptTokens: 1900, FirstEventBy: after(1000)}
	s := NewScan()
	s.Block(large, true)
	assert.Assert(t, s.IsHopeless(large) && !s.IsHopeless(small))
	other, urgent, late, patient := large, large, large, large
	other.Service, urgent.Rank, late.Late, patient.FirstEventBy = "o", 0, true, after(2000)
	assert.Assert(t, !s.IsHopeless(other) && !s.IsHopeless(urgent) && !s.IsHopeless(late) && !s.IsHopeless(patient))
	aged := large
	aged.Aged = true
	assert.Assert(t, !s.IsHopeless(aged))
	assert.Equal(t, s.MoreUrgent(small, Pressure{}), MoreUrgent{})
	less := small
	less.Rank = 2
	assert.Equal(t, s.MoreUrgent(less, Pressure{}).Short, Demand{Requests: 1, Tokens: 4000, PromptTokens: 3000, LargestTokens: 4000, LargestPrompt: 3000})
	assert.Equal(t, s.MoreUrgent(less, Pressure{}).HeadroomTokens(10, true, 0, 0, 0), 4000.0)
	for range 19 {
		s.Block(large, false)
	}
	assert.Equal(t, s.MoreUrgent(less, s.demand).HeadroomTokens(10, true, 0, 0, 0), 16_000.0)
}
