package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an existing problem that prevents operators from an unrelated change, such as taking a second data centre
// out.
func TestEvaluateIgnoresExistingProblems(t *testing.T) {
	s := NewSnapshot(5, []*Object{newDataCentre("howrah", true), notesService()})
	rename := Change{Ref: Ref{KindModel, "m"}, Proposed: &Object{Ref: Ref{KindModel, "m"}, Model: &Model{Version: "1"}}}
	_, warnings, err := Evaluate(s, rename)
	assert.NilError(t, err)
	assert.Equal(t, len(warnings), 0)
}

// Guards against accepting errors of the changed object because they existed before the change.
func TestEvaluateRefusesErrorsOfChangedObject(t *testing.T) {
	broken := notesService()
	broken.Service.ColdLimit = 0
	s := NewSnapshot(5, []*Object{broken})
	again := notesService()
	again.Service.ColdLimit = 0
	_, _, err := Evaluate(s, Change{Ref: again.Ref, Expected: AnyRevision, Proposed: again})
	assert.ErrorContains(t, err, "cold_limit")
}

// Guards against objects that are too large for a value of the key-value service.
func TestValidateBoundsListsAndTexts(t *testing.T) {
	long := strings.Repeat("x", maxTextBytes+1)
	for name, o := range map[string]*Object{
		"region":   {Ref: Ref{KindDataCentre, "d"}, DataCentre: &DataCentre{Region: long}},
		"version":  {Ref: Ref{KindModel, "m"}, Model: &Model{Version: long}},
		"adapters": {Ref: Ref{KindModel, "m"}, Model: &Model{Adapters: make([]string, maxListItems+1)}},
		"hashes":   {Ref: Ref{KindWorkspace, "w"}, Workspace: &Workspace{KeyHashes: make([]string, maxListItems+1)}},
		"upper":    {Ref: Ref{KindWorkspace, "w"}, Workspace: &Workspace{KeyHashes: []string{strings.Repeat("AB", 32)}}},
	} {
		assert.Assert(t, len(Validate(NewSnapshot(1, []*Object{o}))) > 0, name)
	}
}

// Guards against taking a data centre out with a stale copy of it, which would revert another operator's change.
func TestSetOutKeepsOtherFields(t *testing.T) {
	s := NewSnapshot(5, []*Object{newDataCentre("howrah", false)})
	out := true
	next, _, err := Evaluate(s, Change{Ref: Ref{KindDataCentre, "howrah"}, Expected: AnyRevision, SetOut: &out})
	assert.NilError(t, err)
	assert.Assert(t, next.DataCentre("howrah").Out)
	assert.Equal(t, next.DataCentre("howrah").Region, "bengal")
}
