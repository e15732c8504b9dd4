package engine

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against tasks and handlers that outlive their engine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
