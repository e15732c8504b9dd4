package fleet

import (
	"fmt"
	"time"
)

// Change is one change of the State, read from the key-value service.
type Change interface {
	// String describes the change for logs.
	fmt.Stringer
	// apply makes the change, and reports whether the state differs afterwards.
	apply(s *State, now time.Time) bool
}
