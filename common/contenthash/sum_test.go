package contenthash

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against different requests with one hash, and against a hash that differs from those in stored claims.
func TestSumSeparatesNamesAndContent(t *testing.T) {
	assert.Equal(t, Sum([]byte("body"), "workspace", "/path"), uint64(9735338297218067037))
	seen := map[uint64]bool{}
	for _, s := range []uint64{Sum(nil, "ab", "c"), Sum(nil, "a", "bc"), Sum([]byte("c"), "ab"), Sum(nil), Sum(nil, "")} {
		assert.Assert(t, !seen[s])
		seen[s] = true
	}
}
