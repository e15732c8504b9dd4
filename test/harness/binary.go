package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/zeebo/errs"
)

// buildDir is the directory of the binary, removed by Clean.
var buildDir string

// binary builds azuredyked once in a test process and returns its path.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "azuredyke-test-")
	if err != nil {
		return "", err
	}
	buildDir = dir
	path := filepath.Join(dir, "azuredyked")
	out, err := exec.Command("go", "build", "-o", path, "azuredyke.dev/azuredyke/cmd/azuredyked").CombinedOutput()
	if err != nil {
		return "", errs.New("go build: %w: %s", err, out)
	}
	return path, nil
})

// Clean removes the binary. It is called once, after all tests of a process.
func Clean() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}
