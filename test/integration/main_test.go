// Package integration tests node processes against fakes of the endpoints, the key-value service and the host list.
package integration

import (
	"os"
	"testing"

	"azuredyke.dev/azuredyke/test/harness"
)

// nodesPerSite is the number of nodes in tests that do not need a specific number.
const nodesPerSite = 2

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinary()
	os.Exit(code)
}
