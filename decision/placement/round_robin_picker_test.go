package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a picker that skips endpoints, or restarts at the first one when some are filtered out.
func TestRoundRobinPickerCyclesThroughCandidates(t *testing.T) {
	p := &RoundRobinPicker{last: -1}
	all := []Scored{{Index: 0}, {Index: 1}, {Index: 2}}
	assert.Equal(t, all[p.Pick(all)].Index, 0)
	assert.Equal(t, all[p.Pick(all)].Index, 1)
	some := []Scored{{Index: 0}, {Index: 1}}
	assert.Equal(t, some[p.Pick(some)].Index, 0)
	assert.Equal(t, all[p.Pick(all)].Index, 1)
	assert.Equal(t, all[p.Pick(all)].Index, 2)
}
