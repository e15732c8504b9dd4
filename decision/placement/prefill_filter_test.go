package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against several prompts in one step, which delays the tokens of every running answer.
func TestPrefillFilterSpreadsPrompts(t *testing.T) {
	f := PrefillFilter{}
	long := &Request{PromptTokens: 4000}
	assert.Assert(t, f.Permits(long, &Candidate{}), "an idle endpoint takes a prompt of any length")
	assert.Assert(t, !f.Permits(long, &Candidate{Prefill: 10}))
	short := &Request{PromptTokens: 100}
	assert.Assert(t, f.Permits(short, &Candidate{Prefill: maxPendingPrefill - 100}))
	assert.Assert(t, !f.Permits(short, &Candidate{Prefill: maxPendingPrefill - 99}))
}
