package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a second attempt on the endpoint that failed the first.
func TestExcludeFilter(t *testing.T) {
	r := &Request{Exclude: []string{"e1"}}
	assert.Assert(t, !ExcludeFilter{}.Permits(r, &Candidate{ID: "e1"}))
	assert.Assert(t, ExcludeFilter{}.Permits(r, &Candidate{ID: "e2"}))
}
