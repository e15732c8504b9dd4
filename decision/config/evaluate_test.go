package config

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newDataCentre(name string, out bool) *Object {
	return &Object{Ref: Ref{KindDataCentre, name}, DataCentre: &DataCentre{Region: "bengal", Out: out}}
}

func notesService() *Object {
	return &Object{Ref: Ref{KindService, "notes"}, Service: &Service{
		Type: ServiceTypeModel, ColdLimit: 1, MaxConcurrency: 16, Cells: 1, QueueTimeout: time.Second,
	}}
}

// Guards against two operators overwriting each other's change of one object.
func TestEvaluateReportsConflictWithBothSides(t *testing.T) {
	s := NewSnapshot(0, nil)
	s, _, err := Evaluate(s, Change{Ref: Ref{KindDataCentre, "howrah"}, Proposed: newDataCentre("howrah", false)})
	assert.NilError(t, err)
	out := Change{Ref: Ref{KindDataCentre, "howrah"}, Expected: 1, Proposed: newDataCentre("howrah", true)}
	s, _, err = Evaluate(s, out)
	assert.NilError(t, err)
	assert.Equal(t, s.Revision(), int64(2))
	_, _, err = Evaluate(s, out)
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Stored.Revision, int64(2))
	assert.Assert(t, conflict.Proposed.DataCentre.Out)
}

// Guards against a change that leaves a service without a data centre and gives no warning.
func TestEvaluateWarnsWhenServiceHasNoDataCentre(t *testing.T) {
	s := NewSnapshot(5, []*Object{newDataCentre("howrah", false), notesService()})
	out := Change{Ref: Ref{KindDataCentre, "howrah"}, Expected: AnyRevision, Proposed: newDataCentre("howrah", true)}
	_, _, err := Evaluate(s, out)
	assert.ErrorContains(t, err, "service/notes: has no data centre left to run in")
	out.Force = true
	next, warnings, err := Evaluate(s, out)
	assert.NilError(t, err)
	assert.Equal(t, len(warnings), 1)
	assert.Equal(t, len(next.DataCentresFor("notes", "")), 0)
}

// Guards against placement rules that refer to objects that do not exist.
func TestEvaluateRefusesDanglingReferences(t *testing.T) {
	rule := &Object{
		Ref:           Ref{KindPlacementRule, "r"},
		PlacementRule: &PlacementRule{Service: "none", DataCentres: []string{"nowhere"}},
	}
	_, _, err := Evaluate(NewSnapshot(0, nil), Change{Ref: rule.Ref, Proposed: rule})
	assert.ErrorContains(t, err, `service "none" does not exist`)
	assert.ErrorContains(t, err, `data centre "nowhere" does not exist`)
}

// Guards against a change of the number of cells, which would give endpoints two owners.
func TestEvaluateRefusesCellCountChange(t *testing.T) {
	s := NewSnapshot(1, []*Object{notesService()})
	changed := notesService()
	changed.Service.Cells = 2
	_, _, err := Evaluate(s, Change{Ref: changed.Ref, Expected: AnyRevision, Proposed: changed})
	assert.ErrorContains(t, err, "cells: cannot be changed after creation")
}
