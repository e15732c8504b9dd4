package config

import "fmt"

// RestoredError says that the key-value service holds an older configuration than the one in force, so it was restored
// to an older state. The restored state is not followed, and no change is made on top of it.
type RestoredError struct {
	InForce, Stored int64
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the key-value service was restored to configuration revision %d, but revision %d is in force; "+
		"changes are refused until the service holds revision %d or newer", e.Stored, e.InForce, e.InForce)
}
