package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against other requests on an endpoint that runs a request which may crash it.
func TestAloneFilter(t *testing.T) {
	alone, other := &Request{Alone: true}, &Request{}
	assert.Assert(t, AloneFilter{}.Permits(alone, &Candidate{}))
	assert.Assert(t, !AloneFilter{}.Permits(alone, &Candidate{InFlight: 1}))
	assert.Assert(t, AloneFilter{}.Permits(other, &Candidate{InFlight: 1}))
	assert.Assert(t, !AloneFilter{}.Permits(other, &Candidate{InFlight: 1, Alone: true}))
}
