package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reassigning keys between the remaining members when one member is removed.
func TestRemovalReassignsOnlyKeysOfMember(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint(i)
		before := First(key, all)
		after := First(key, all[:3])
		if before != "d" {
			assert.Equal(t, after, before)
			continue
		}
		moved++
	}
	assert.Assert(t, moved > 150 && moved < 350, "%d of 1000 keys belonged to one of four members", moved)
	assert.Equal(t, First("x", nil), "")
}
