package config

import "fmt"

// ConflictError reports that the object has changed since the revision that a change was made against.
type ConflictError struct {
	Ref Ref
	// Stored is nil when the object does not exist.
	Stored   *Object
	Proposed *Object
	Expected int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Stored == nil {
		return fmt.Sprintf("%s does not exist, but the change was made against revision %d", e.Ref, e.Expected)
	}
	return fmt.Sprintf("%s is at revision %d, but the change was made against revision %d",
		e.Ref, e.Stored.Revision, e.Expected)
}
