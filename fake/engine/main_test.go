package engine

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that are still running after their engine has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
