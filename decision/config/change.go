package config

// Change is one operator's change of one object.
type Change struct {
	Ref Ref
	// Expected is the object's revision that the change was made against; 0 means that it must not exist, and
	// AnyRevision accepts whatever is stored.
	Expected int64
	// Proposed is nil for a deletion.
	Proposed *Object
	// SetOut, when it is not nil, changes only DataCentre.Out of the stored object; Proposed is then nil.
	SetOut *bool
	// OperationID is chosen by the operator; the same id is applied once.
	OperationID string
	Actor       string
	Reason      string
	// Force accepts a change that validation warns about.
	Force bool
}

// AnyRevision as Change.Expected accepts whatever is stored.
const AnyRevision int64 = -1

// Proposal returns what the object becomes on top of what is stored; nil deletes it.
func (c Change) Proposal(stored *Object) (*Object, error) {
	if c.SetOut == nil {
		return c.Proposed, nil
	}
	if stored == nil || stored.DataCentre == nil {
		return nil, &NotFoundError{Ref: c.Ref}
	}
	changed := *stored.DataCentre
	changed.Out = *c.SetOut
	return &Object{Ref: c.Ref, DataCentre: &changed}, nil
}
