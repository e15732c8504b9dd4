package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against one request that crashes endpoint after endpoint, because its caller retries it.
func TestRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable()
	assert.Equal(t, table.Reserve(now, 1), Clear)
	table.Crashed(now, 1, "e1/a")
	assert.Equal(t, table.Reserve(now, 1), Suspect)
	assert.Equal(t, table.Reserve(now, 1), Busy, "a suspect must not run twice at once")
	table.Crashed(now, 1, "e2/a")
	assert.Equal(t, table.Reserve(now, 1), Quarantined)
	assert.Equal(t, table.Reserve(now.Add(quarantineDuration), 1), Clear)
}

// Guards against refusing requests that only shared an endpoint with a request that crashed it.
func TestSuspectIsClearedByCompletingAlone(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable()
	table.Crashed(now, 1, "e1/a")
	table.Crashed(now, 2, "e1/a")
	assert.Equal(t, table.Reserve(now, 2), Suspect)
	table.Finished(now, 2, true)
	assert.Equal(t, table.Reserve(now, 2), Clear)
	assert.Equal(t, table.Reserve(now, 1), Suspect)
}

// Guards against running a request on another node after it has crashed two endpoints.
func TestMergeCarriesMarksBetweenNodes(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := NewTable(), NewTable()
	old := a.Crashed(now, 1, "e1/a")
	b.Merge(now, a.Crashed(now, 1, "e2/a"))
	assert.Equal(t, b.Reserve(now, 1), Quarantined)
	b.Merge(now, old)
	assert.Equal(t, b.Reserve(now, 1), Quarantined, "an older mark must not weaken a newer one")
}

// Guards against counting one crash twice because two nodes observed it.
func TestMergeCountsEachCrashOnce(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := NewTable(), NewTable()
	a.Crashed(now, 1, "e1/a")
	a.Merge(now, b.Crashed(now, 1, "e1/a"))
	assert.Equal(t, a.Reserve(now, 1), Suspect)
}
