package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against long runs that take the memory which short requests need all the time, and against a share that follows former loads.
func TestShareOfShortRequestsIsLearnt(t *testing.T) {
	var u MemoryUse
	assert.Equal(t, u.ShortShare(), 0.0)
	u.Record(start, 3000, 9*time.Second, true)
	for range 2 {
		u.Record(start, 2500, 600*time.Millisecond, false)
	}
	assert.Assert(t, u.ShortShare() > 0.09 && u.ShortShare() < 0.11, "%v", u.ShortShare())
	u.Record(start, 2500, 10*time.Second, false)
	assert.Equal(t, u.ShortShare(), maxShortShare)
	for i := range 6 {
		u.Record(start.Add(time.Duration(i)*10*time.Second), 3000, 9*time.Second, true)
	}
	assert.Assert(t, u.ShortShare() < 0.1, "%v", u.ShortShare())
}
