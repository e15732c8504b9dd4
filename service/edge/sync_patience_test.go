package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against changes that are too large to arrive within the usual time, and are sent again and again without ever arriving.
func TestSyncPatienceGrowsUntilAReplyArrives(t *testing.T) {
	var p syncPatience
	assert.Equal(t, p.current(), syncTimeout)
	for _, want := range []time.Duration{2 * syncTimeout, maxSyncTimeout, maxSyncTimeout} {
		p.recordTimeout()
		assert.Equal(t, p.current(), want)
	}
	p.recordReply()
	assert.Equal(t, p.current(), syncTimeout)
}
