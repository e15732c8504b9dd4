// Package edge tests node processes against fakes of the users' platform.
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
