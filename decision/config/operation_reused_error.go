package config

import "fmt"

// OperationReusedError reports that the operation id was already used for a different change.
type OperationReusedError struct {
	OperationID string
	// Revision is the configuration revision of the change that used the id.
	Revision int64
}

// Error implements error.
func (e *OperationReusedError) Error() string {
	return fmt.Sprintf("operation id %q was used for a different change, accepted at revision %d", e.OperationID, e.Revision)
}
