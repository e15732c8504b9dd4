package kvserver

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against tasks and handlers that outlive their server.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
