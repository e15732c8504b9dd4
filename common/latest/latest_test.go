package latest

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a reader that misses a change published between its read and its wait.
func TestWatchReportsEveryPublish(t *testing.T) {
	v := New(1)
	value, changed := v.Watch()
	assert.Equal(t, value, 1)
	v.Publish(2)
	<-changed
	assert.Equal(t, v.Load(), 2)
}
