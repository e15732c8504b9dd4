package config

// Change is a change of one object by an operator.
type Change struct {
	Ref Ref
	// Expected is the revision of the object that the change was made against. 0 means that the object must not exist;
	// AnyRevision skips the check.
	Expected int64
	// Proposed is nil for a deletion.
	Proposed *Object
	// SetOut, if not nil, changes only DataCentre.Out of the stored object. Proposed is then nil.
	SetOut *bool
	// OperationID is chosen by the operator. A change is applied only once for each id.
	OperationID string
	Actor       string
	Reason      string
	// Force accepts the change despite warnings of the validation.
	Force bool
}

// AnyRevision as Change.Expected skips the check of the stored revision.
const AnyRevision int64 = -1

// Apply returns the object after the change of the stored object; nil means that the change deletes it. The error is a
// *NotFoundError.
func (c Change) Apply(stored *Object) (*Object, error) {
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
