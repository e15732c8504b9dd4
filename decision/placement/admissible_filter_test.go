package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request on an endpoint whose state or limit forbids it.
func TestAdmissibleFilter(t *testing.T) {
	assert.Assert(t, AdmissibleFilter{}.Permits(&Request{}, &Candidate{Admits: true}))
	assert.Assert(t, !AdmissibleFilter{}.Permits(&Request{}, &Candidate{}))
}
