package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request on an endpoint that has not loaded its model, and against endpoints without a list of models that
// get no requests.
func TestModelFilter(t *testing.T) {
	r := &Request{Model: "m"}
	assert.Assert(t, ModelFilter{}.Permits(r, &Candidate{Models: []string{"x", "m"}}))
	assert.Assert(t, !ModelFilter{}.Permits(r, &Candidate{Models: []string{"x"}}))
	assert.Assert(t, ModelFilter{}.Permits(r, &Candidate{}))
	assert.Assert(t, ModelFilter{}.Permits(&Request{}, &Candidate{Models: []string{"x"}}))
}
