// Package docs checks that the documentation agrees with the code.
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
	mentionedTest   = regexp.MustCompile("`(Test[A-Z]\\w+)`")
	testDeclaration = regexp.MustCompile(`(?m)^func (Test[A-Z]\w+)\(`)
)

// Guards against a promise in docs/promises.md whose test has been renamed or removed.
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
		for _, match := range testDeclaration.FindAllStringSubmatch(string(source), -1) {
			tests[match[1]] = true
		}
		return nil
	})
	assert.NilError(t, err)
	for _, match := range mentionedTest.FindAllStringSubmatch(string(page), -1) {
		assert.Check(t, tests[match[1]], "docs/promises.md names %s, which no test file defines", match[1])
	}
}
