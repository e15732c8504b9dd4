// Package docs checks that the pages agree with the code.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../.."

var (
	named   = regexp.MustCompile("`(Test[A-Z]\\w+)`")
	defined = regexp.MustCompile(`(?m)^func (Test[A-Z]\w+)\(`)
)

// Guards against a promise whose test was renamed or removed.
func TestPromisesNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "promises.md"))
	assert.NilError(t, err)
	tests := map[string]bool{}
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range defined.FindAllStringSubmatch(string(source), -1) {
			tests[match[1]] = true
		}
		return nil
	})
	assert.NilError(t, err)
	for _, match := range named.FindAllStringSubmatch(string(page), -1) {
		assert.Check(t, tests[match[1]], "docs/promises.md names %s", match[1])
	}
}
