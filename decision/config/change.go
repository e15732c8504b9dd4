package config

// Change is one operator's change of one object.
type Change struct {
	Ref Ref
	// Expected is the object's revision that the change was made against; 0 means that it must not exist, and
	// AnyRevision accepts whatever is stored.
	Expected int64
	// Proposed is nil for a deletion.
	Proposed *Object
	// OperationID is chosen by the operator; the same id is applied once.
	OperationID string
	Actor       string
	Reason      string
	// Force accepts a change that validation warns about.
	Force bool
}

// AnyRevision as Change.Expected accepts whatever is stored.
const AnyRevision int64 = -1
