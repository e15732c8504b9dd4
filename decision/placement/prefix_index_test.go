package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an index that grows without limit or evicts recently sent blocks.
func TestPrefixIndexEvictsLeastRecentlySent(t *testing.T) {
	x := NewPrefixIndex()
	var matched [maxSlots]int
	x.Add(3, []uint64{1})
	x.Add(3, []uint64{2})
	for h := uint64(3); h <= maxPrefixEntries; h++ {
		x.Add(3, []uint64{h})
	}
	x.Add(3, []uint64{1})
	x.Add(3, []uint64{1 << 40})
	assert.Equal(t, len(x.byHash), maxPrefixEntries)
	x.Match([]uint64{1}, &matched)
	assert.Equal(t, matched[3], 1, "sent again")
	x.Match([]uint64{2}, &matched)
	assert.Equal(t, matched[3], 0, "least recently sent")
	for h := range uint64(3 * maxPrefixEntries) {
		x.Add(4, []uint64{h + 1<<50})
	}
	assert.Equal(t, len(x.byHash), maxPrefixEntries)
	assert.Equal(t, len(x.entries), maxPrefixEntries+1)
	x.Match([]uint64{1<<50 + 3*maxPrefixEntries - 1}, &matched)
	assert.Equal(t, matched[4], 1)
	assert.Equal(t, matched[3], 0, "a reused entry keeps no endpoint")
}

// Guards against affinity to an endpoint whose cache is empty after a restart.
func TestRemoveSlotRemovesEndpoint(t *testing.T) {
	x := NewPrefixIndex()
	x.Add(70, []uint64{1, 2})
	x.Add(1, []uint64{1, 2})
	x.RemoveSlot(70)
	var matched [maxSlots]int
	x.Match([]uint64{1, 2}, &matched)
	assert.Equal(t, matched[70], 0)
	assert.Equal(t, matched[1], 2)
}
