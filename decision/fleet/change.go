package fleet

import (
	"fmt"
	"time"
)

// Change is one fact that was read from the key-value service.
type Change interface {
	// String describes the change for logs.
	fmt.Stringer
	// apply reports whether the state is different afterwards.
	apply(s *State, now time.Time) bool
}
