package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against list fields that reject a single value written without brackets, a common mistake in documents. A single
// number field must still reject a list.
func TestSingleValueIsAcceptedForAList(t *testing.T) {
	for _, models := range []any{"notes", []any{"notes"}} {
		o, err := documentToObject(document{Kind: "service", Name: "s", Spec: map[string]any{"models": models}})
		assert.NilError(t, err)
		assert.DeepEqual(t, o.GetService().GetModels(), []string{"notes"})
	}
	_, err := documentToObject(document{Kind: "service", Name: "s", Spec: map[string]any{"cold_limit": []any{1}}})
	assert.Assert(t, err != nil)
}
