package config

import "fmt"

// OperationReusedError says that an operation id was accepted for a different change.
type OperationReusedError struct {
	OperationID string
	// Revision is the configuration revision of the change that has the id.
	Revision int64
}

// Error implements error.
func (e *OperationReusedError) Error() string {
	return fmt.Sprintf("operation id %q was used for a different change, accepted at revision %d", e.OperationID, e.Revision)
}
