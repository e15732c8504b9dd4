package config

import "fmt"

// RestoredError reports that the key-value service was restored to an older state, since it holds an older configuration
// than the one in force. The restored configuration is not put in force, and changes to it are refused.
type RestoredError struct {
	// InForce and Stored are the configuration revisions in force and in the key-value service.
	InForce, Stored int64
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the key-value service was restored to configuration revision %d, but revision %d is in force; "+
		"changes are refused until the service holds revision %d or newer", e.Stored, e.InForce, e.InForce)
}
