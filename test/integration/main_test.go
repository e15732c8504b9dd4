// Package integration tests real nodes as processes against the stand-ins of the platform.
package integration

import (
	"os"
	"testing"

	"azuredyke.dev/azuredyke/test/harness"
)

// siteNodes is the number of nodes of a site.
const siteNodes = 2

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinary()
	os.Exit(code)
}
