// Package edge tests nodes as processes against the stand-ins of the users' platform.
package edge

import (
	"os"
	"testing"

	"azuredyke.dev/azuredyke/test/harness"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinary()
	os.Exit(code)
}
