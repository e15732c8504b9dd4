package rollout

import (
	"testing"

	"gotest.tools/v3/assert"
)

func tallyOf(sends int) Tally {
	t := Tally{}
	for range sends {
		t.RecordSend(OldGroup, "r")
	}
	return t
}

// Guards against counts that are lost or counted twice when messages are repeated or late, or a process is replaced.
func TestNewestTallyOfEachProcessCounts(t *testing.T) {
	n := NodeTallies{}
	assert.Assert(t, n.Apply("a", TallyVersion{Epoch: 1, Sequence: 1}, tallyOf(3)))
	assert.Assert(t, n.Apply("a", TallyVersion{Epoch: 1, Sequence: 3}, tallyOf(5)))
	assert.Assert(t, !n.Apply("a", TallyVersion{Epoch: 1, Sequence: 2}, tallyOf(4)))
	assert.Assert(t, n.Apply("b", TallyVersion{Epoch: 7, Sequence: 1}, tallyOf(10)))
	assert.Assert(t, n.Apply("a", TallyVersion{Epoch: 2, Sequence: 1}, tallyOf(1)))
	assert.Assert(t, !n.Apply("a", TallyVersion{Epoch: 1, Sequence: 4}, tallyOf(6)))
	sum := n.Sum()
	assert.Equal(t, sum.Sends(OldGroup), int64(16))
}

// Guards against evidence that is counted twice when two relays report one data centre, or lost when one of them has just started.
func TestRelaysOfOneDataCentreAreNotAdded(t *testing.T) {
	d := DataCentreTallies{}
	assert.Assert(t, d.Apply("east", "r1", TallyVersion{Epoch: 1, Sequence: 9}, tallyOf(9)))
	assert.Assert(t, d.Apply("east", "r2", TallyVersion{Epoch: 1, Sequence: 1}, tallyOf(8)))
	assert.Assert(t, d.Apply("east", "r1", TallyVersion{Epoch: 2, Sequence: 1}, tallyOf(2)))
	assert.Assert(t, !d.Apply("east", "r1", TallyVersion{Epoch: 1, Sequence: 10}, tallyOf(20)))
	assert.Assert(t, d.Apply("west", "r3", TallyVersion{Epoch: 1, Sequence: 1}, tallyOf(4)))
	sum := d.Sum()
	assert.Equal(t, sum.Sends(OldGroup), int64(13))
}
